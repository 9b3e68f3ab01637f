package hazelspoke.bench;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * The control: passes bytes on between a client and a host, one connection to one, and reads none
 * of them. It is what any gateway on this machine, in this language, has to spend on its sockets.
 */
public final class Relay {
  private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<InetSocketAddress> hosts;
  private int next;

  private Relay(List<InetSocketAddress> hosts) {
    this.hosts = hosts;
  }

  /** Starts one on loopback at this port, before these hosts; it runs until its process ends. */
  public static void start(int port, List<Integer> hostPorts) {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    Relay relay =
        new Relay(hostPorts.stream().map(host -> new InetSocketAddress(loopback, host)).toList());
    new ServerBootstrap()
        .group(relay.loop)
        .channel(NioServerSocketChannel.class)
        .childOption(ChannelOption.AUTO_READ, false)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel ch) {
                relay.connect(ch);
              }
            })
        .bind(loopback, port)
        .syncUninterruptibly();
  }

  private void connect(Channel client) {
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .handler(new Passing(client))
            .connect(hosts.get(next++ % hosts.size()));
    client.pipeline().addLast(new Passing(connecting.channel()));
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            client.config().setAutoRead(true);
          } else {
            client.close();
          }
        });
  }

  private static final class Passing extends ChannelInboundHandlerAdapter {
    private final Channel other;

    Passing(Channel other) {
      this.other = other;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      other.writeAndFlush(message, other.voidPromise());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      other.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
