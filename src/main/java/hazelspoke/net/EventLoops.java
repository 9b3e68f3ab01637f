package hazelspoke.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.ThreadAwareExecutor;

/** Where the event loops of this program are made. */
public final class EventLoops {
  private EventLoops() {}

  /** A group of one loop, over the sockets of the JDK. */
  public static EventLoopGroup single() {
    return new MultiThreadIoEventLoopGroup(1, withoutBusyPolling(NioIoHandler.newFactory()));
  }

  /** The same, on a daemon thread of this name. */
  public static EventLoopGroup daemon(String thread) {
    return new MultiThreadIoEventLoopGroup(
        1, new DefaultThreadFactory(thread, true), withoutBusyPolling(NioIoHandler.newFactory()));
  }

  /** The handlers of a factory, which wait for timers in place of polling. */
  static IoHandlerFactory withoutBusyPolling(IoHandlerFactory handlers) {
    return new IoHandlerFactory() {
      @Override
      public IoHandler newHandler(ThreadAwareExecutor executor) {
        return new WaitingIoHandler(handlers.newHandler(executor));
      }

      @Override
      public boolean isChangingThreadSupported() {
        return handlers.isChangingThreadSupported();
      }
    };
  }
}
