package hazelspoke.core;

/**
 * The one clock of a gateway: Unix time in milliseconds as it was at the start, carried on by the
 * monotonic clock. It never runs backwards, and start times that discovery lists can be compared
 * with it as they are.
 */
public final class Clock {
  private static final double NANOS_PER_MS = 1e6;

  private final double anchorMs = System.currentTimeMillis();
  private final long anchorNanos = System.nanoTime();

  public double nowMs() {
    return anchorMs + (System.nanoTime() - anchorNanos) / NANOS_PER_MS;
  }
}
