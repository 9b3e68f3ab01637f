package hazelspoke.front.http;

import hazelspoke.core.Body;
import io.netty.channel.Channel;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * Discards what a client sends after its last response, until the connection is closed. A close
 * with unread input sends a reset, which can destroy the response on its way to the client.
 */
final class Linger {
  /** How long input is read after the last response. */
  private static final long PERIOD_MS = 1_000;

  /** Limit of the input discarded in that time, against clients that never stop sending. */
  private static final int MAX_BYTES = 262_144;

  /**
   * Time limit for reading the remainder of an accepted request after its response, so that its
   * sender sees no reset.
   */
  private static final double MAX_MS = 10_000;

  private final ClientServer server;
  private final Channel channel;
  private final Runnable close;
  private long discardedBytes;

  /** Whether the response was sent before the remainder of the accepted request was received. */
  private boolean awaitsRequestBody;

  private double startedAtMs;

  /** Time of the next check whether the client still sends. */
  private double nextCheckMs;

  /** When the last bytes were received. */
  private double lastBytesAtMs;

  /** Creates the linger of a connection; {@code close} closes it. */
  Linger(ClientServer server, Channel channel, Runnable close) {
    this.server = server;
    this.channel = channel;
    this.close = close;
  }

  /** Reports whether the remainder of an accepted request may follow the response. */
  void setAwaitsRequestBody(boolean awaits) {
    awaitsRequestBody = awaits;
  }

  /** Reports that bytes arrived. */
  void onBytes() {
    lastBytesAtMs = server.nowMs();
  }

  /** Releases a message or undecoded bytes, and reads no more beyond the limit. */
  void discard(Object message) {
    discardedBytes += HeldMessage.heldBytes(message);
    ReferenceCountUtil.release(message);
    if (discardedBytes > (awaitsRequestBody ? Body.MAX_BYTES : MAX_BYTES)) {
      channel.config().setAutoRead(false);
    }
  }

  /** Begins after the last response was written. */
  void start() {
    startedAtMs = server.nowMs();
    scheduleCheck();
  }

  private void scheduleCheck() {
    nextCheckMs = server.nowMs() + PERIOD_MS;
    channel.eventLoop().schedule(this::check, PERIOD_MS, TimeUnit.MILLISECONDS);
  }

  private void check() {
    double now = server.nowMs();
    // A stalled loop has received nothing, and its client may have stalled at the same time.
    boolean wasStalled = now - nextCheckMs > PERIOD_MS / 4.0;
    boolean stillSending =
        awaitsRequestBody
            && channel.config().isAutoRead()
            && (wasStalled || now - lastBytesAtMs < PERIOD_MS);
    if (stillSending && now - startedAtMs < MAX_MS) {
      scheduleCheck();
    } else {
      close.run();
    }
  }
}
