package hazelspoke.agreement.net;

import hazelspoke.agreement.engine.Scheduler;
import io.netty.channel.EventLoop;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/** Turns on an event loop. */
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
  public void execute(Runnable what) {
    try {
      loop.execute(what);
    } catch (RejectedExecutionException e) {
      // The loop is ending, and whatever was to come with it.
    }
  }

  @Override
  public void schedule(long nanos, Runnable what) {
    try {
      loop.schedule(what, nanos, TimeUnit.NANOSECONDS);
    } catch (RejectedExecutionException e) {
      // As above.
    }
  }
}
