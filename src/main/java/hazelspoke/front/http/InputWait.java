package hazelspoke.front.http;

/**
 * Estimates when the bytes that are read from a connection arrived at it. Bytes wait in the kernel
 * while reading is paused, and while the event loop reads a message in several iterations of one
 * buffer each.
 */
final class InputWait {
  /** The earliest arrival of the bytes that were not read yet; NaN if there were none. */
  private double unreadSinceMs = Double.NaN;

  /** The earliest arrival of the bytes that were read last. */
  private double arrivedAtMs;

  /**
   * Reports a read.
   *
   * @param arrivedAtMs the estimated arrival of bytes that were read as soon as possible
   * @param mayHaveLeftBytes whether the read may have left bytes unread, as it filled its buffer
   */
  void onRead(double arrivedAtMs, boolean mayHaveLeftBytes) {
    boolean hadUnread = !Double.isNaN(unreadSinceMs);
    this.arrivedAtMs = hadUnread ? Math.min(unreadSinceMs, arrivedAtMs) : arrivedAtMs;
    unreadSinceMs = mayHaveLeftBytes ? this.arrivedAtMs : Double.NaN;
  }

  /** Reports that reading is paused: further bytes wait from now on. */
  void onPause(double nowMs) {
    if (Double.isNaN(unreadSinceMs)) {
      unreadSinceMs = nowMs;
    }
  }

  /** Reports that no bytes are unread. */
  void reset() {
    unreadSinceMs = Double.NaN;
  }

  /** How long the bytes that were read last may have waited at most, in milliseconds. */
  double waitedMs(double nowMs) {
    return Math.max(0, nowMs - arrivedAtMs);
  }
}
