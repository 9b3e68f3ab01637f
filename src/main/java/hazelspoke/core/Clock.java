package hazelspoke.core;

import io.netty.util.concurrent.Ticker;

/**
 * The one clock of a gateway: Unix time in milliseconds as it was at the start, carried on by the
 * monotonic clock. It never runs backwards, and start times that discovery lists can be compared
 * with it as they are.
 */
public final class Clock {
  private static final double NANOS_PER_MS = 1e6;

  private final Ticker ticker;
  private final double anchorMs = System.currentTimeMillis();
  private final long anchorNanos;

  /** The system's. */
  public Clock() {
    this(Ticker.systemTicker());
  }

  /** One that is carried on by this ticker: a test makes its own time with it. */
  public Clock(Ticker ticker) {
    this.ticker = ticker;
    anchorNanos = ticker.nanoTime();
  }

  public double nowMs() {
    return anchorMs + (ticker.nanoTime() - anchorNanos) / NANOS_PER_MS;
  }
}
