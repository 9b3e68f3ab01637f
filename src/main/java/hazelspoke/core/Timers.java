package hazelspoke.core;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Runs a {@link DeadlineQueue} on the event loop with a single timer of the loop. */
final class Timers {
  /**
   * The maximum number of entries that run in one event-loop iteration; more wait for the next one,
   * so that sockets are read in between.
   */
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

  /** Schedules an entry to run in a later event-loop iteration, after {@code delayMs}. */
  void add(DeadlineQueue.Entry entry, double delayMs) {
    queue.add(entry, clock.nowMs() + Math.max(0, delayMs));
    arm();
  }

  /** Cancels an entry; does nothing if it has run. */
  void remove(DeadlineQueue.Entry entry) {
    queue.remove(entry);
  }

  /**
   * Schedules the loop's timer for the first entry. A timer that fires early because its entry was
   * removed costs one event-loop iteration and schedules the next. This is cheaper than
   * rescheduling at each answer.
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
   * Runs entries that were due by this time immediately. After a stall the loop reads its sockets
   * before its timer fires, which can take as long as handling all requests that have arrived.
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
