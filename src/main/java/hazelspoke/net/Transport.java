package hazelspoke.net;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Path;
import java.util.function.UnaryOperator;

/**
 * Of what make a gateway's sockets are, and where an address lies: at itself in service, in a file
 * of its own while a warm-up plays. Delay-free sending and reuse of the address are what TCP has
 * here unasked.
 */
public record Transport(
    Class<? extends ServerChannel> serverChannelType,
    Class<? extends Channel> clientChannelType,
    UnaryOperator<SocketAddress> bindAddress,
    UnaryOperator<SocketAddress> connectAddress) {
  public static final Transport TCP =
      new Transport(
          Listener.class,
          NioSocketChannel.class,
          UnaryOperator.identity(),
          UnaryOperator.identity());

  /** Sockets in the file system: whoever is called, it is the one that listens at {@code peer}. */
  public static Transport unixSockets(Path own, Path peer) {
    return new Transport(
        NioServerDomainSocketChannel.class,
        NioDomainSocketChannel.class,
        address -> UnixDomainSocketAddress.of(own),
        address -> UnixDomainSocketAddress.of(peer));
  }
}
