package hazelspoke.core;

import io.netty.util.concurrent.Ticker;

/**
 * The clock of a gateway: Unix time in milliseconds at startup, advanced by the monotonic clock. It
 * never runs backwards, and its values can be compared with the start times that discovery lists.
 */
public final class Clock {
  private static final double NANOS_PER_MS = 1e6;

  private final Ticker ticker;
  private final double anchorMs = System.currentTimeMillis();
  private final long anchorNanos;

  /** A clock on the system ticker. */
  public Clock() {
    this(Ticker.systemTicker());
  }

  /** A clock on the given ticker, which tests use to control time. */
  public Clock(Ticker ticker) {
    this.ticker = ticker;
    anchorNanos = ticker.nanoTime();
  }

  public double nowMs() {
    return anchorMs + (ticker.nanoTime() - anchorNanos) / NANOS_PER_MS;
  }
}
