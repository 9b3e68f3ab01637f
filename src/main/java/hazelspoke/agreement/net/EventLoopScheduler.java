package hazelspoke.agreement.net;

import hazelspoke.agreement.engine.Scheduler;
import io.netty.channel.EventLoop;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/** Runs tasks on a Netty event loop. */
final class EventLoopScheduler implements Scheduler {
  private final EventLoop loop;

  EventLoopScheduler(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public long nanos() {
    return System.nanoTime();
  }

  @Override
  public void execute(Runnable task) {
    try {
      loop.execute(task);
    } catch (RejectedExecutionException e) {
      // The loop is shutting down; the task is dropped.
    }
  }

  @Override
  public void schedule(long delayNanos, Runnable task) {
    try {
      loop.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
    } catch (RejectedExecutionException e) {
      // Dropped as in execute.
    }
  }
}
