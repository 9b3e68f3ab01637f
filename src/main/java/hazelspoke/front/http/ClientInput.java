package hazelspoke.front.http;

import hazelspoke.core.Awaited;
import hazelspoke.core.Client.Presence;
import hazelspoke.core.UnreadInput;
import hazelspoke.core.WaitTracker;
import hazelspoke.net.SocketPolling;
import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * The reading side of a client's connection: pauses, what may be unread meanwhile, and whether the
 * client may have disconnected behind it.
 */
final class ClientInput {
  /**
   * A client may have disconnected behind bytes that are unread for longer. Nothing may be begun
   * for a client that disconnected more than 100 ms ago.
   */
  private static final double MAX_UNREAD_AGE_MS = 50;

  /**
   * A client whose socket still holds bytes sends as many as there is room for at once. Fewer than
   * this within a round trip are new.
   */
  private static final long MAX_NEW_BYTES = 16_384;

  private final ClientServer server;
  private final Channel channel;
  private final WaitTracker waitTracker;

  /** Estimates since when the last bytes of a request waited to be read. */
  private final UnreadInput unread = new UnreadInput();

  /** Whether bytes that were unread for long are being read before the request is sent. */
  private boolean isReadingAhead;

  private boolean recheckScheduled;

  ClientInput(ClientServer server, Channel channel, WaitTracker waitTracker) {
    this.server = server;
    this.channel = channel;
    this.waitTracker = waitTracker;
  }

  /**
   * Reports a read.
   *
   * @param filledBuffer whether the read filled its buffer, so that it may have left bytes unread
   * @param isStream whether the body of a request is forwarded while it is received
   */
  void onRead(int byteCount, boolean filledBuffer, boolean isStream) {
    double nowMs = server.nowMs();
    waitTracker.progress(Awaited.PEER_TO_SEND);
    // A stream that is read as it arrives fills buffers too; only after a wait they tell of more.
    boolean mayHaveLeftBytes = filledBuffer && (!isStream || unread.hasUnread(nowMs));
    unread.onRead(byteCount, nowMs, server.estimatedWaitMs(), mayHaveLeftBytes);
  }

  /** Reports that a request begins, of which only the head was read. */
  void onRequestBegun() {
    isReadingAhead = false;
  }

  /** Reports that the last request has ended and no further one has begun. */
  void reset() {
    unread.reset();
  }

  /** Pauses reading. */
  void pause() {
    unread.onPause(server.nowMs());
    channel.config().setAutoRead(false);
  }

  /** Continues to read after a pause. */
  void resume() {
    channel.config().setAutoRead(true);
  }

  /** How long the bytes that were read last may have waited, in milliseconds. */
  double waitedMs() {
    return unread.waitedMs(server.nowMs());
  }

  /** See {@link UnreadInput#mayBeCompleteSinceMs}. */
  double mayBeCompleteSinceMs(long missingBytes) {
    return unread.mayBeCompleteSinceMs(missingBytes, server.nowMs());
  }

  /** Runs a task once it is known whether more follows what was read after a pause. */
  void recheckWhenCaughtUp(Runnable task) {
    if (recheckScheduled || !unread.isCatchingUp(server.nowMs())) {
      return;
    }
    recheckScheduled = true;
    Runnable recheck =
        () -> {
          recheckScheduled = false;
          task.run();
        };
    long delayMs = (long) UnreadInput.CATCH_UP_MS + 1;
    channel.eventLoop().schedule(recheck, delayMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Reads what the client has sent, also while reading is paused if it has been unread for long.
   *
   * @param isRequestOpen whether the request still awaits its answer; false once the client is
   *     known to have disconnected
   * @param afterRead called after each read
   */
  Presence checkPresence(BooleanSupplier isRequestOpen, Runnable afterRead) {
    if (!isReadingAhead && isRecent()) {
      SocketPolling.readPending(channel);
      afterRead.run();
      return isRequestOpen.getAsBoolean() ? Presence.WAITING : Presence.GONE;
    }
    long byteCount = readAhead(isRequestOpen, afterRead);
    isReadingAhead = byteCount > (isReadingAhead ? MAX_NEW_BYTES : 0);
    if (!isRequestOpen.getAsBoolean()) {
      return Presence.GONE;
    }
    if (!mayRead()) {
      return Presence.UNKNOWN;
    }
    if (isReadingAhead) {
      return Presence.CATCHING_UP;
    }
    // Nothing but new bytes has arrived for a round trip.
    unread.reset();
    if (!channel.config().isAutoRead()) {
      unread.onPause(server.nowMs());
    }
    return Presence.WAITING;
  }

  /** Reads all that is pending, as far as there is room. Returns the number of bytes read. */
  private long readAhead(BooleanSupplier isRequestOpen, Runnable afterRead) {
    long positionBefore = unread.position();
    long position = positionBefore;
    boolean progressed = true;
    while (progressed && isRequestOpen.getAsBoolean() && mayRead()) {
      SocketPolling.readOnce(channel);
      afterRead.run();
      progressed = unread.position() > position;
      position = unread.position();
    }
    return position - positionBefore;
  }

  /** Whether reading is not paused, or there is room to read although it is. */
  private boolean mayRead() {
    return channel.config().isAutoRead() || server.hasRoomForBodies();
  }

  /** Whether no bytes that are unread for long can hide a close by the client. */
  private boolean isRecent() {
    return unread.unreadForMs(server.nowMs()) < MAX_UNREAD_AGE_MS;
  }
}
