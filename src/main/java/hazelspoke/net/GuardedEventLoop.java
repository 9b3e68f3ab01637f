package hazelspoke.net;

import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/**
 * An event loop that no error ends. In Netty's own, an error outside the handlers of a channel ends
 * the thread, a timer that fails is silent about it, and a periodic one never runs again.
 */
final class GuardedEventLoop extends SingleThreadIoEventLoop {
  private final LoopErrors errors;

  GuardedEventLoop(
      IoEventLoopGroup parent, Executor executor, IoHandlerFactory handlers, LoopErrors errors) {
    super(parent, executor, handlers);
    this.errors = errors;
  }

  @Override
  protected void run() {
    boolean ended = false;
    while (!ended) {
      try {
        super.run();
        ended = true;
      } catch (Throwable error) {
        errors.onIterationFailed(error);
      }
    }
  }

  private Runnable guarded(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (Throwable error) {
        errors.onTaskFailed(error);
      }
    };
  }

  @Override
  public void execute(Runnable task) {
    boolean isNettysOwn = task instanceof LazyRunnable || !wakesUpForTask(task);
    super.execute(isNettysOwn ? task : guarded(task));
  }

  @Override
  public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
    return super.schedule(guarded(task), delay, unit);
  }

  @Override
  public ScheduledFuture<?> scheduleAtFixedRate(
      Runnable task, long initialDelay, long period, TimeUnit unit) {
    return super.scheduleAtFixedRate(guarded(task), initialDelay, period, unit);
  }

  @Override
  public ScheduledFuture<?> scheduleWithFixedDelay(
      Runnable task, long initialDelay, long delay, TimeUnit unit) {
    return super.scheduleWithFixedDelay(guarded(task), initialDelay, delay, unit);
  }
}
