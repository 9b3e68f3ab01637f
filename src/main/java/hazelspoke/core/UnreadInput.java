package hazelspoke.core;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates when the bytes that a connection has not read yet arrived at it. Bytes wait in the
 * kernel while reading is paused, and while the event loop reads a message in several iterations of
 * one buffer each. The sender may have finished its message in the meantime.
 */
public final class UnreadInput {
  /**
   * The bytes that the sockets of both sides hold together under the usual limits of Linux. A
   * sender is not further ahead of the reader than that.
   */
  static final long MAX_UNREAD_BYTES = 8L << 20;

  private static final long MARK_INTERVAL_BYTES = 1L << 20;

  /** When the reader was at a position; the oldest is at most the maximum behind. */
  private record Mark(long position, double timeMs) {}

  private final Deque<Mark> marks = new ArrayDeque<>();

  /**
   * Once reads have left nothing behind for this time, nothing is unread: what the sender could not
   * send during a pause has arrived.
   */
  public static final double CATCH_UP_MS = 20;

  /** The earliest arrival of the bytes that were not read yet; NaN if there were none. */
  private double unreadSinceMs = Double.NaN;

  /** Whether reading was paused since nothing was unread. */
  private boolean wasPaused;

  /** Since when reads after a pause left nothing behind; NaN if the last one may have. */
  private double emptySinceMs = Double.NaN;

  /** The earliest arrival of the bytes that were read last. */
  private double arrivedAtMs;

  private long position;

  /** Until when too many bytes of the message were missing to be in the sockets. */
  private double outOfReachUntilMs = Double.NEGATIVE_INFINITY;

  /**
   * Reports a read.
   *
   * @param bytes the number of bytes read
   * @param nowMs the time of the read
   * @param waitedMs how long bytes may have waited that were read as soon as possible
   * @param mayHaveLeftBytes whether the read may have left bytes unread, as it filled its buffer
   */
  public void onRead(int bytes, double nowMs, double waitedMs, boolean mayHaveLeftBytes) {
    boolean hadUnread = hasUnread(nowMs);
    double arrivalMs = nowMs - waitedMs;
    arrivedAtMs = hadUnread ? Math.min(unreadSinceMs, arrivalMs) : arrivalMs;
    position += bytes;
    if (!mayHaveLeftBytes && !(hadUnread && wasPaused)) {
      reset();
      return;
    }
    if (!hadUnread) {
      reset();
    }
    unreadSinceMs = arrivedAtMs;
    if (mayHaveLeftBytes) {
      emptySinceMs = Double.NaN;
    } else if (Double.isNaN(emptySinceMs)) {
      emptySinceMs = nowMs;
    }
    advance(arrivalMs);
  }

  /** Bytes that are unread now cannot have been sent before the reader was at the oldest mark. */
  private void advance(double nowMs) {
    if (marks.isEmpty() || position - marks.getLast().position >= MARK_INTERVAL_BYTES) {
      marks.add(new Mark(position, nowMs));
    }
    while (position - marks.getFirst().position > MAX_UNREAD_BYTES) {
      unreadSinceMs = Math.max(unreadSinceMs, marks.poll().timeMs);
    }
  }

  /** Reports that reading is paused: further bytes wait from now on. */
  public void onPause(double nowMs) {
    if (!hasUnread(nowMs)) {
      reset();
      unreadSinceMs = nowMs;
    }
    wasPaused = true;
    emptySinceMs = Double.NaN;
  }

  /** Reports that no bytes are unread. */
  public void reset() {
    unreadSinceMs = Double.NaN;
    emptySinceMs = Double.NaN;
    wasPaused = false;
    marks.clear();
  }

  /** The number of bytes read so far. */
  public long position() {
    return position;
  }

  /** How long bytes may have been unread, in milliseconds; 0 if none are. */
  public double unreadForMs(double nowMs) {
    return hasUnread(nowMs) ? nowMs - unreadSinceMs : 0;
  }

  /** Whether bytes may be unread, or may still follow those that could not be sent before. */
  public boolean hasUnread(double nowMs) {
    // No comparison with NaN is true.
    boolean isEmpty = nowMs - emptySinceMs >= CATCH_UP_MS;
    return !Double.isNaN(unreadSinceMs) && !isEmpty;
  }

  /** Whether nothing was left by the last read, and the sender has had no time to send more. */
  public boolean isCatchingUp(double nowMs) {
    return !Double.isNaN(emptySinceMs) && hasUnread(nowMs);
  }

  /** How long the bytes that were read last may have waited at most, in milliseconds. */
  public double waitedMs(double nowMs) {
    return Math.max(0, nowMs - Math.max(arrivedAtMs, outOfReachUntilMs));
  }

  /**
   * The earliest time by which the sender may have sent the whole message; infinite if it has not,
   * as no bytes are unread or too many are missing.
   *
   * @param missingBytes the bytes of the message that were not read, or a negative number if its
   *     length is not known
   */
  public double mayBeCompleteSinceMs(long missingBytes, double nowMs) {
    if (missingBytes > MAX_UNREAD_BYTES) {
      outOfReachUntilMs = nowMs;
      return Double.POSITIVE_INFINITY;
    }
    return hasUnread(nowMs) ? Math.max(unreadSinceMs, outOfReachUntilMs) : Double.POSITIVE_INFINITY;
  }
}
