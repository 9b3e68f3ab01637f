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
  void theyCarryHereAndLeaveNothingBehind(@TempDir Path folder) {
    assertThat(UnixSocketSupport.isAvailable(folder.resolve("probe"))).isTrue();
    assertThat(folder).isEmptyDirectory();
  }

  @Test
  void whereTheyCannotBeMadeTheyCarryNothing(@TempDir Path folder) {
    assertThat(UnixSocketSupport.isAvailable(folder.resolve("no").resolve("folder"))).isFalse();
    assertThat(UnixSocketSupport.isAvailable(folder.resolve("x".repeat(200)))).isFalse();
  }

  /** Connected all right, and nobody came: the case in which a start waited for 2 s. */
  @Test
  void aCallThatNeverArrivesIsNotWaitedFor(@TempDir Path folder) throws Exception {
    UnixDomainSocketAddress elsewhere = UnixDomainSocketAddress.of(folder.resolve("elsewhere"));
    try (ServerSocketChannel deaf = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        ServerSocketChannel here = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
      deaf.bind(elsewhere);
      here.bind(UnixDomainSocketAddress.of(folder.resolve("here")));
      assertThat(UnixSocketSupport.isAvailable(here, elsewhere)).isFalse();
    }
  }
}
