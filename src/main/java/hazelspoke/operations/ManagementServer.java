package hazelspoke.operations;

import hazelspoke.net.Buffers;
import hazelspoke.net.EventLoops;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * HTTP listener for operators. It has its own address and thread, so that neither a busy event loop
 * nor a flood of clients delays them. Idle callers block nobody: the number of connections is
 * bounded, the oldest is closed in favor of a new one, and idle connections time out.
 */
public final class ManagementServer implements AutoCloseable {
  /** Maximum number of connections; beyond it the oldest is closed. */
  static final int MAX_CONNECTIONS = 16;

  /** File descriptors needed: the connections, the listener, and those of the event loop. */
  public static final int DESCRIPTORS = MAX_CONNECTIONS + 5;

  private static final int IDLE_TIMEOUT_S = 5;
  private static final int MAX_LINE_BYTES = 1_024;
  private static final int MAX_HEAD_BYTES = 8_192;
  private static final int MAX_BODY_BYTES = 1_024;

  private final EventLoopGroup group = EventLoops.daemon("management");

  /** Open connections, oldest first; accessed on the event loop only. */
  private final Set<Channel> connections = new LinkedHashSet<>();

  private final ManagedGateway gateway;

  /** Creates a server that does not listen yet. */
  public ManagementServer(ManagedGateway gateway) {
    this.gateway = gateway;
  }

  /**
   * Binds the listener.
   *
   * @return the bound address, with the chosen port if the given port is 0
   * @throws IllegalStateException if the address cannot be bound; the message is one line
   */
  public InetSocketAddress listen(InetSocketAddress address) {
    ChannelFuture binding =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, Buffers.receiveAllocator())
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel ch) {
                    accept(ch);
                  }
                })
            .bind(address)
            .awaitUninterruptibly();
    if (!binding.isSuccess()) {
      throw new IllegalStateException(
          "field config.management cannot be listened on: " + binding.cause().getMessage());
    }
    return (InetSocketAddress) binding.channel().localAddress();
  }

  private void accept(Channel ch) {
    while (connections.size() >= MAX_CONNECTIONS) {
      Channel oldest = connections.iterator().next();
      connections.remove(oldest);
      oldest.close();
    }
    connections.add(ch);
    ch.closeFuture().addListener(closed -> connections.remove(ch));
    HttpDecoderConfig limits =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEAD_BYTES);
    ch.pipeline()
        .addLast(
            new ReadTimeoutHandler(IDLE_TIMEOUT_S, TimeUnit.SECONDS),
            new HttpServerCodec(limits),
            new HttpObjectAggregator(MAX_BODY_BYTES, true),
            new ManagementHandler(gateway));
  }

  /** Stops at once, without completing pending calls. */
  @Override
  public void close() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }
}
