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
 * The socket types of a gateway and the mapping of addresses: unchanged in service, and to a socket
 * file during warm-up. Both TCP_NODELAY and address reuse are defaults for TCP sockets.
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

  /** Unix domain sockets: connections to any address go to the listener at {@code peerPath}. */
  public static Transport unixSockets(Path ownPath, Path peerPath) {
    return new Transport(
        NioServerDomainSocketChannel.class,
        NioDomainSocketChannel.class,
        address -> UnixDomainSocketAddress.of(ownPath),
        address -> UnixDomainSocketAddress.of(peerPath));
  }
}
