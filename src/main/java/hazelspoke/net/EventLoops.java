package hazelspoke.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/** Where the event loops of this program are made. */
public final class EventLoops {
  private EventLoops() {}

  /** A group of one loop, over the sockets of the JDK. */
  public static EventLoopGroup single() {
    return new MultiThreadIoEventLoopGroup(1, waiting(NioIoHandler.newFactory()));
  }

  /** The handlers of a factory, as loops here use them. */
  static IoHandlerFactory waiting(IoHandlerFactory handlers) {
    return handlers;
  }
}
