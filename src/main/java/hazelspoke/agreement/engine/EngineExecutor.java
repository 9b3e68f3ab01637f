package hazelspoke.agreement.engine;

import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The engine's time and its turns. MicroRaft counts heartbeats in whole seconds, which is slow
 * within one site; so its second is a part of ours, for its clock and its delays alike.
 */
final class EngineExecutor extends Clock implements RaftNodeExecutor {
  private final Scheduler scheduler;
  private final long secondNanos;
  private final long begun;
  private final Consumer<Throwable> onDefect;

  /**
   * @param secondNanos a second of the engine's
   * @param onDefect hears what the engine throws on a turn of its own, which it never should
   */
  EngineExecutor(Scheduler scheduler, long secondNanos, Consumer<Throwable> onDefect) {
    this.scheduler = scheduler;
    this.onDefect = onDefect;
    this.secondNanos = secondNanos;
    begun = scheduler.nanos();
  }

  @Override
  public void execute(Runnable task) {
    scheduler.execute(() -> run(task));
  }

  @Override
  public void submit(Runnable task) {
    execute(task);
  }

  private void run(Runnable task) {
    try {
      task.run();
    } catch (AssertionError | IllegalStateException | NullPointerException e) {
      onDefect.accept(e);
    }
  }

  @Override
  public void schedule(Runnable task, long delay, TimeUnit unit) {
    scheduler.schedule((long) (unit.toNanos(delay) * (secondNanos / 1e9)), () -> run(task));
  }

  @Override
  public long millis() {
    return (long) ((scheduler.nanos() - begun) * 1e3 / secondNanos);
  }

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli(millis());
  }

  @Override
  public ZoneId getZone() {
    return ZoneOffset.UTC;
  }

  @Override
  public Clock withZone(ZoneId zone) {
    return this;
  }
}
