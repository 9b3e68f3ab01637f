package hazelspoke.core;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Carries {@link Deadlines} out on the loop, with one timer of the loop's for all of them. */
final class Timers {
  /** So many are told in one turn; more wait for the next, so that sockets are not left unread. */
  private static final int MOST_A_TURN = 256;

  private static final double NANOS_PER_MS = 1e6;

  private final EventLoop loop;
  private final Clock clock;
  private final Deadlines deadlines = new Deadlines();
  private ScheduledFuture<?> timer;
  private double armedFor = Double.POSITIVE_INFINITY;

  Timers(EventLoop loop, Clock clock) {
    this.loop = loop;
    this.clock = clock;
  }

  int size() {
    return deadlines.size();
  }

  /** Has an entry told on a later turn, once {@code delayMs} have passed. */
  void add(Deadlines.Entry entry, double delayMs) {
    deadlines.add(entry, clock.nowMs() + Math.max(0, delayMs));
    arm();
  }

  /** Takes one back, which is then not told; harmless for one that was. */
  void remove(Deadlines.Entry entry) {
    deadlines.remove(entry);
  }

  /**
   * Sees to a timer for the first of them. One that comes too early, as what it was for was taken
   * back, costs a turn and sets the next: cheaper than to set anew at every answer.
   */
  private void arm() {
    double next = deadlines.nextMs();
    if (next >= armedFor) {
      return;
    }
    if (timer != null) {
      timer.cancel(false);
    }
    armedFor = next;
    long nanos = (long) (Math.max(0, next - clock.nowMs()) * NANOS_PER_MS);
    timer = loop.schedule(this::fire, nanos, TimeUnit.NANOSECONDS);
  }

  /**
   * Tells at once those that should have been told by then: a loop that stood still reads its
   * sockets before its timer fires, and that can take as long as the requests that have come.
   */
  void runDueBy(double thenMs) {
    if (deadlines.nextMs() <= thenMs) {
      tellDue(thenMs);
    }
  }

  private void fire() {
    timer = null;
    armedFor = Double.POSITIVE_INFINITY;
    try {
      tellDue(clock.nowMs());
    } finally {
      arm();
    }
  }

  private void tellDue(double thenMs) {
    Deadlines.Entry entry;
    for (int i = 0; i < MOST_A_TURN && (entry = deadlines.pollDue(thenMs)) != null; i++) {
      entry.due();
    }
  }
}
