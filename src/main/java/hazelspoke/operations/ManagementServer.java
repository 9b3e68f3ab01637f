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
 * Listens for operators on an address and a thread of its own, so that neither a busy loop nor a
 * flood of clients keeps them waiting. Callers who say nothing hold up nobody: there is room for
 * some, the longest of them makes room for the next, and all are given up after a while.
 */
public final class ManagementServer implements AutoCloseable {
  /** Callers at a time; the one that has been there longest makes room beyond. */
  static final int MOST_CALLERS = 16;

  /** What this needs of descriptors: the callers, the listener, and what its loop waits on. */
  public static final int DESCRIPTORS = MOST_CALLERS + 5;

  private static final int MOST_SILENT_S = 5;
  private static final int MOST_LINE_BYTES = 1_024;
  private static final int MOST_HEAD_BYTES = 8_192;
  private static final int MOST_BODY_BYTES = 1_024;

  private final EventLoopGroup group = EventLoops.daemon("management");

  /** Who is connected, the longest first; the loop's thread alone touches it. */
  private final Set<Channel> callers = new LinkedHashSet<>();

  private final ManagedGateway gateway;

  /** One for this gateway; it does not listen yet. */
  public ManagementServer(ManagedGateway gateway) {
    this.gateway = gateway;
  }

  /**
   * Begins to listen.
   *
   * @return where; of interest when the address left the port open
   * @throws IllegalStateException when it cannot; the message is one line
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
    while (callers.size() >= MOST_CALLERS) {
      Channel longest = callers.iterator().next();
      callers.remove(longest);
      longest.close();
    }
    callers.add(ch);
    ch.closeFuture().addListener(closed -> callers.remove(ch));
    HttpDecoderConfig limits =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MOST_LINE_BYTES)
            .setMaxHeaderSize(MOST_HEAD_BYTES);
    ch.pipeline()
        .addLast(
            new ReadTimeoutHandler(MOST_SILENT_S, TimeUnit.SECONDS),
            new HttpServerCodec(limits),
            new HttpObjectAggregator(MOST_BODY_BYTES, true),
            new ManagementHandler(gateway));
  }

  /** Ends at once, with whatever is under way. */
  @Override
  public void close() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }
}
