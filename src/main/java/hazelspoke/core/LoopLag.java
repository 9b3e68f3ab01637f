package hazelspoke.core;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * How far the loop is behind: a timer that comes late shows what everything else waits. Time lost
 * here is no host's, and what is read has waited in the kernel before; neither shows otherwise. It
 * also catches pauses of the machine and of the collector. It could hurt where the timer alone is
 * late; then what a client still has is taken for less than it is.
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

  /** All the time that was lost so far; of interest is how much it grows. */
  double totalLagMs() {
    return totalLagMs + currentLagMs();
  }

  /** The longest that the loop has been late so far, in milliseconds. */
  double maxLagMs() {
    return Math.max(maxLagMs, currentLagMs());
  }

  /**
   * How long what is read now has waited: since this turn began for certain, and for a part of the
   * turn before, in which it came.
   */
  double estimatedWaitMs() {
    return currentLagMs() + lastLagMs / 2;
  }
}
