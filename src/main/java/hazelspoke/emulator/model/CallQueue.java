package hazelspoke.emulator.model;

/**
 * The one service that answers everybody's calls to discovery, in turn, at a fixed number of lines
 * a second: when a call will be answered, or that it waits too long.
 */
public final class CallQueue {
  private static final double MS = 1_000;

  private final double linesPerMs;
  private final double callLines;
  private final double timeoutMs;
  private double freeAt;

  /**
   * @param linesPerS 0 for no limit
   */
  public CallQueue(double linesPerS, double callLines, double timeoutMs) {
    this.linesPerMs = linesPerS / MS;
    this.callLines = callLines;
    this.timeoutMs = timeoutMs;
  }

  /** When a call of so many entries is answered; NaN where it is turned away. */
  public double call(int entries, double now) {
    if (linesPerMs <= 0) {
      return now;
    }
    double start = Math.max(now, freeAt);
    double end = start + (callLines + entries) / linesPerMs;
    if (end - now > timeoutMs) {
      return Double.NaN;
    }
    freeAt = end;
    return end;
  }
}
