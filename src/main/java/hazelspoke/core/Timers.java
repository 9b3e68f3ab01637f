package hazelspoke.core;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Carries {@link DeadlineQueue} out on the loop, with one timer of the loop's for all of them. */
final class Timers {
  /** So many are told in one turn; more wait for the next, so that sockets are not left unread. */
  private static final int MAX_PER_ITERATION = 256;

  private static final double NANOS_PER_MS = 1e6;

  private final EventLoop loop;
  private final Clock clock;
  private final DeadlineQueue queue = new DeadlineQueue();
  private ScheduledFuture<?> timer;
  private double armedForMs = Double.POSITIVE_INFINITY;

  Timers(EventLoop loop, Clock clock) {
    this.loop = loop;
    this.clock = clock;
  }

  int size() {
    return queue.size();
  }

  /** Has an entry told on a later turn, once {@code delayMs} have passed. */
  void add(DeadlineQueue.Entry entry, double delayMs) {
    queue.add(entry, clock.nowMs() + Math.max(0, delayMs));
    arm();
  }

  /** Takes one back, which is then not told; harmless for one that was. */
  void remove(DeadlineQueue.Entry entry) {
    queue.remove(entry);
  }

  /**
   * Sees to a timer for the first of them. One that comes too early, as what it was for was taken
   * back, costs a turn and sets the next: cheaper than to set anew at every answer.
   */
  private void arm() {
    double nextMs = queue.nextMs();
    if (nextMs >= armedForMs) {
      return;
    }
    if (timer != null) {
      timer.cancel(false);
    }
    armedForMs = nextMs;
    long nanos = (long) (Math.max(0, nextMs - clock.nowMs()) * NANOS_PER_MS);
    timer = loop.schedule(this::fire, nanos, TimeUnit.NANOSECONDS);
  }

  /**
   * Tells at once those that should have been told by then: a loop that stood still reads its
   * sockets before its timer fires, and that can take as long as the requests that have come.
   */
  void runDueUntil(double untilMs) {
    if (queue.nextMs() <= untilMs) {
      runDue(untilMs);
    }
  }

  private void fire() {
    timer = null;
    armedForMs = Double.POSITIVE_INFINITY;
    try {
      runDue(clock.nowMs());
    } finally {
      arm();
    }
  }

  private void runDue(double untilMs) {
    DeadlineQueue.Entry entry;
    for (int i = 0; i < MAX_PER_ITERATION && (entry = queue.pollDue(untilMs)) != null; i++) {
      entry.onDue();
    }
  }
}
