package hazelspoke.emulator.model;

/**
 * Models the shared service behind discovery: it answers the calls of all gateways in order, at a
 * fixed number of lines per second, and rejects a call that would wait too long.
 */
public final class CallQueue {
  private static final double MS_PER_S = 1_000;

  private final double linesPerMs;
  private final double callLines;
  private final double timeoutMs;
  private double busyUntilMs;

  /**
   * @param linesPerS 0 for no limit
   */
  public CallQueue(double linesPerS, double callLines, double timeoutMs) {
    this.linesPerMs = linesPerS / MS_PER_S;
    this.callLines = callLines;
    this.timeoutMs = timeoutMs;
  }

  /** Returns when a call that lists {@code entries} is answered, or NaN if it is rejected. */
  public double call(int entries, double now) {
    if (linesPerMs <= 0) {
      return now;
    }
    double start = Math.max(now, busyUntilMs);
    double end = start + (callLines + entries) / linesPerMs;
    if (end - now > timeoutMs) {
      return Double.NaN;
    }
    busyUntilMs = end;
    return end;
  }
}
