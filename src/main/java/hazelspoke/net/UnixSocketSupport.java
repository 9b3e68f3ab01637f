package hazelspoke.net;

import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Whether sockets in the file system carry anything between two ends in this process. Not every
 * platform has them, and one may let them be made, connected and written to with nobody ever
 * arriving at the other end: what waits for such a peer waits in vain.
 */
public final class UnixSocketSupport {
  private UnixSocketSupport() {}

  /**
   * Tries it with one byte, without waiting. The kernel completes a connection in the call itself
   * and has the byte at the other end when the write returns (unix(7)), so what is not there at
   * once does not come.
   *
   * @param at a path that does not exist, in a folder that may be written to; it is left as it was
   */
  public static boolean isAvailable(Path at) {
    UnixDomainSocketAddress address = UnixDomainSocketAddress.of(at);
    try (ServerSocketChannel listening = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
      listening.bind(address);
      return isAvailable(listening, address);
    } catch (IOException | UnsupportedOperationException | SecurityException e) {
      return false;
    } finally {
      try {
        Files.deleteIfExists(at);
      } catch (IOException e) {
        // Whoever owns the folder clears it.
      }
    }
  }

  /** Whether one who calls there arrives here. */
  static boolean isAvailable(ServerSocketChannel here, UnixDomainSocketAddress there)
      throws IOException {
    here.configureBlocking(false);
    try (SocketChannel calling = SocketChannel.open(StandardProtocolFamily.UNIX)) {
      calling.configureBlocking(false);
      if (!calling.connect(there)) {
        return false;
      }
      try (SocketChannel called = here.accept()) {
        if (called == null) {
          return false;
        }
        called.configureBlocking(false);
        ByteBuffer one = ByteBuffer.allocate(1);
        return calling.write(one) == 1 && called.read(one.clear()) == 1;
      }
    }
  }
}
