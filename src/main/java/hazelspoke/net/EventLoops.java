package hazelspoke.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadFactory;

/** Creates the event loops of this program. */
public final class EventLoops {
  private static final String THREAD = "event-loop";

  private EventLoops() {}

  /** A group of one event loop on JDK selectors, whose errors are logged to standard error. */
  public static EventLoopGroup single() {
    return single(new StandardErrorListener(THREAD));
  }

  /** A group of one event loop on JDK selectors. */
  public static EventLoopGroup single(LoopErrors.Listener listener) {
    return group(new DefaultThreadFactory(THREAD), NioIoHandler.newFactory(), listener);
  }

  /** The same, on a daemon thread of this name, whose errors are logged to standard error. */
  public static EventLoopGroup daemon(String thread) {
    return group(
        new DefaultThreadFactory(thread, true),
        NioIoHandler.newFactory(),
        new StandardErrorListener(thread));
  }

  /** A group of one event loop with these handlers. */
  static EventLoopGroup group(
      ThreadFactory threads, IoHandlerFactory handlers, LoopErrors.Listener listener) {
    return new GuardedGroup(threads, withoutBusyPolling(handlers), listener);
  }

  /** A group whose loop no error ends. */
  private static final class GuardedGroup extends MultiThreadIoEventLoopGroup {
    GuardedGroup(ThreadFactory threads, IoHandlerFactory handlers, LoopErrors.Listener listener) {
      // Passed on, as the superclass creates the loop before a field of this class could be set.
      super(1, threads, handlers, listener);
    }

    @Override
    protected IoEventLoop newChild(
        Executor executor, IoHandlerFactory handlers, Object... arguments) {
      LoopErrors.Listener listener = (LoopErrors.Listener) arguments[0];
      LoopErrors errors = new LoopErrors(listener, System::nanoTime);
      return new GuardedEventLoop(this, executor, handlers, errors);
    }
  }

  /** Logs the errors of a loop that has no log of its own. */
  private record StandardErrorListener(String thread) implements LoopErrors.Listener {
    @Override
    public void onError(String where, Throwable error) {
      System.err.println("hazelspoke: " + thread + ": " + where + ": " + error);
    }

    @Override
    public void onBeyondRepair(Throwable error) {
      System.err.println("hazelspoke: " + thread + ": its iterations keep failing: " + error);
    }
  }

  /** Wraps the handlers of a factory so that they wait for timers instead of polling. */
  static IoHandlerFactory withoutBusyPolling(IoHandlerFactory handlers) {
    return new IoHandlerFactory() {
      @Override
      public IoHandler newHandler(ThreadAwareExecutor executor) {
        return new TimerRoundingIoHandler(handlers.newHandler(executor));
      }

      @Override
      public boolean isChangingThreadSupported() {
        return handlers.isChangingThreadSupported();
      }
    };
  }
}
