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
  private double due;
  private double last;
  private double beforeLast;
  private double lost;
  private double longest;

  LoopLag(EventLoop loop, Clock clock) {
    this.clock = clock;
    due = clock.nowMs() + TICK_MS;
    loop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    beforeLast = last;
    last = behind();
    lost += last;
    longest = Math.max(longest, last);
    due = clock.nowMs() + TICK_MS;
  }

  private double behind() {
    return Math.max(0, clock.nowMs() - due);
  }

  /** All the time that was lost so far; of interest is how much it grows. */
  double lostMs() {
    return lost + behind();
  }

  /** The longest that the loop has been late so far, in milliseconds. */
  double longestMs() {
    return Math.max(longest, behind());
  }

  /**
   * The longest that what is read now can have waited in the kernel, in milliseconds. Bytes of an
   * open connection came during the turn before at the earliest; those of a new one, which is
   * accepted in one turn and read in the next, during the turn before that. A turn runs the tick
   * once at most. Less than this would promise the client an answer for later than it listens.
   */
  double waitedMs() {
    return behind() + last + beforeLast;
  }
}
