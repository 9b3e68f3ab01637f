package hazelspoke.bench;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Stub hosts that respond immediately, and a discovery service that lists them. */
final class StubHosts {
  private static final int BACKLOG = 1_024;
  private static final long KEEP_ALIVE_INTERVAL_S = 1;

  private final EventLoopGroup loops;
  private final List<InetSocketAddress> hosts = new ArrayList<>();

  StubHosts(EventLoopGroup loops, int count) {
    this.loops = loops;
    for (int i = 0; i < count; i++) {
      hosts.add(listen(Host::new));
    }
  }

  List<InetSocketAddress> hosts() {
    return hosts;
  }

  /** Starts a discovery service that lists these hosts. */
  InetSocketAddress discovery() {
    return listen(Discovery::new);
  }

  private InetSocketAddress listen(Supplier<ChannelInboundHandlerAdapter> handler) {
    return (InetSocketAddress)
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel ch) {
                    ch.pipeline().addLast(handler.get());
                  }
                })
            .bind(InetAddress.getLoopbackAddress(), 0)
            .syncUninterruptibly()
            .channel()
            .localAddress();
  }

  /** Returns the host list in the JSON form of the discovery service. */
  String list() {
    StringBuilder out = new StringBuilder("{\"index\":1,\"snapshot\":true,\"endpoints\":[");
    for (int i = 0; i < hosts.size(); i++) {
      out.append(i == 0 ? "" : ",")
          .append("{\"name\":\"h")
          .append(i)
          .append("\",\"address\":\"127.0.0.1:")
          .append(hosts.get(i).getPort())
          .append("\",\"zone\":\"a\",\"type\":\"k\",\"group\":0,\"status\":\"Ready\",")
          .append("\"weight\":1.0,\"since_ms\":0}");
    }
    return out.append("]}").toString();
  }

  private static final class Host extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (Messages.endsMessage(message)) {
        ctx.writeAndFlush(Messages.response(), ctx.voidPromise());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  /** Sends the host list in response to the first request, then periodic keep-alive lines. */
  private final class Discovery extends ChannelInboundHandlerAdapter {
    private boolean listSent;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      ((ByteBuf) message).release();
      if (!listSent) {
        listSent = true;
        ctx.write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        ctx.writeAndFlush(chunk(list() + "\n"));
        ctx.executor()
            .scheduleAtFixedRate(
                () -> ctx.writeAndFlush(chunk("\n")),
                KEEP_ALIVE_INTERVAL_S,
                KEEP_ALIVE_INTERVAL_S,
                TimeUnit.SECONDS);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }

    private static ByteBuf chunk(String text) {
      return bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static ByteBuf bytes(String text) {
      return Unpooled.wrappedBuffer(Messages.ascii(text));
    }
  }
}
