package hazelspoke.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.ThreadAwareExecutor;

/** Creates the event loops of this program. */
public final class EventLoops {
  private EventLoops() {}

  /** A group of one event loop on JDK selectors. */
  public static EventLoopGroup single() {
    return new MultiThreadIoEventLoopGroup(1, withoutBusyPolling(NioIoHandler.newFactory()));
  }

  /** The same, on a daemon thread of this name. */
  public static EventLoopGroup daemon(String thread) {
    return new MultiThreadIoEventLoopGroup(
        1, new DefaultThreadFactory(thread, true), withoutBusyPolling(NioIoHandler.newFactory()));
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
