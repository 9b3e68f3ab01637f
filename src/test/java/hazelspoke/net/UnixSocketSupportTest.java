package hazelspoke.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class UnixSocketSupportTest {
  @Test
  void isAvailableHereAndRemovesTheSocketFile(@TempDir Path folder) {
    assertThat(UnixSocketSupport.isAvailable(folder.resolve("probe"))).isTrue();
    assertThat(folder).isEmptyDirectory();
  }

  @Test
  void isNotAvailableWhereSocketCannotBeCreated(@TempDir Path folder) {
    assertThat(UnixSocketSupport.isAvailable(folder.resolve("no").resolve("folder"))).isFalse();
    assertThat(UnixSocketSupport.isAvailable(folder.resolve("x".repeat(200)))).isFalse();
  }

  /**
   * The connection succeeds, but nothing arrives at the server. A start of the gateway waited 2 s
   * in this case.
   */
  @Test
  void doesNotWaitForConnectionThatNeverArrives(@TempDir Path folder) throws Exception {
    UnixDomainSocketAddress elsewhere = UnixDomainSocketAddress.of(folder.resolve("elsewhere"));
    try (ServerSocketChannel unrelated = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
      unrelated.bind(elsewhere);
      server.bind(UnixDomainSocketAddress.of(folder.resolve("here")));
      assertThat(UnixSocketSupport.canTransfer(server, elsewhere)).isFalse();
    }
  }
}
