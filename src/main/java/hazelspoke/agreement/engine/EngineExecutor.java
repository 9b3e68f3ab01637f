package hazelspoke.agreement.engine;

import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Clock and executor of the engine. MicroRaft configures heartbeats in whole seconds, which is slow
 * within one site; so its clock and its delays are scaled, and one of its seconds is shorter than a
 * real one.
 */
final class EngineExecutor extends Clock implements RaftNodeExecutor {
  private final Scheduler scheduler;
  private final long secondNanos;
  private final long startNanos;
  private final Consumer<Throwable> onFault;

  /**
   * @param secondNanos real duration of one second of the engine's clock
   * @param onFault is given exceptions that the engine's own tasks throw
   */
  EngineExecutor(Scheduler scheduler, long secondNanos, Consumer<Throwable> onFault) {
    this.scheduler = scheduler;
    this.onFault = onFault;
    this.secondNanos = secondNanos;
    startNanos = scheduler.nanos();
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
      onFault.accept(e);
    }
  }

  @Override
  public void schedule(Runnable task, long delay, TimeUnit unit) {
    scheduler.schedule((long) (unit.toNanos(delay) * (secondNanos / 1e9)), () -> run(task));
  }

  @Override
  public long millis() {
    return (long) ((scheduler.nanos() - startNanos) * 1e3 / secondNanos);
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
