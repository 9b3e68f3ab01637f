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
 * The control of the benchmark: forwards bytes between a client and a host without parsing, with
 * one host connection per client connection. Its cost is the minimum that socket I/O takes any
 * gateway in this language on this machine.
 */
public final class Relay {
  private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<InetSocketAddress> hosts;
  private int next;

  private Relay(List<InetSocketAddress> hosts) {
    this.hosts = hosts;
  }

  /** Starts a relay to the hosts on this loopback port; it runs until the process ends. */
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
            .handler(new ForwardingHandler(client))
            .connect(hosts.get(next++ % hosts.size()));
    client.pipeline().addLast(new ForwardingHandler(connecting.channel()));
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            client.config().setAutoRead(true);
          } else {
            client.close();
          }
        });
  }

  private static final class ForwardingHandler extends ChannelInboundHandlerAdapter {
    private final Channel other;

    ForwardingHandler(Channel other) {
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
