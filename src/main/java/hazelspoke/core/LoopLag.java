package hazelspoke.core;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Measures the lag of the event loop by the delay of a periodic timer; everything else on the loop
 * waits as long. The lag must not be attributed to hosts, and received data has waited in the
 * kernel for that time, which is not visible otherwise. Pauses of the machine and of the garbage
 * collector are included. If only the timer is late, the remaining time of clients is
 * underestimated.
 */
final class LoopLag {
  private static final long TICK_MS = 5;

  private final Clock clock;
  private double dueMs;
  private double lastLagMs;
  private double totalLagMs;
  private double maxLagMs;

  LoopLag(EventLoop loop, Clock clock) {
    this.clock = clock;
    dueMs = clock.nowMs() + TICK_MS;
    loop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    lastLagMs = currentLagMs();
    totalLagMs += lastLagMs;
    maxLagMs = Math.max(maxLagMs, lastLagMs);
    dueMs = clock.nowMs() + TICK_MS;
  }

  private double currentLagMs() {
    return Math.max(0, clock.nowMs() - dueMs);
  }

  /** The total lag since startup, in milliseconds; only differences of it are meaningful. */
  double totalLagMs() {
    return totalLagMs + currentLagMs();
  }

  /** The largest lag since startup, in milliseconds. */
  double maxLagMs() {
    return Math.max(maxLagMs, currentLagMs());
  }

  /**
   * Estimates how long data that is being read has waited, in milliseconds: the lag of the current
   * event-loop iteration, plus half of the lag of the previous one, during which the data arrived.
   */
  double estimatedWaitMs() {
    return currentLagMs() + lastLagMs / 2;
  }
}
