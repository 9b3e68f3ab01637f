package hazelspoke.bench;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The benchmark control has to forward every request to a host and return its response. */
class RelayTest {
  @Test
  void forwardsRequestsAndResponses() throws Exception {
    EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    try {
      List<InetSocketAddress> hosts = new StubHosts(loops, 2).hosts();
      int port;
      try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        port = free.getLocalPort();
      }
      Relay.start(port, hosts.stream().map(InetSocketAddress::getPort).toList());
      LoadGenerator.Result result =
          new LoadGenerator(loops, new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1)
              .run(3, 0.1, 0.5, () -> {});
      assertThat(result.timesUs().getTotalCount()).isGreaterThan(3);
      assertThat(result.failed()).isZero();
    } finally {
      loops.shutdownGracefully();
    }
  }
}
