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
 * Checks whether Unix domain sockets transfer data between two endpoints in this process. Some
 * platforms lack them, and on others they can be created, connected and written to while nothing
 * arrives at the other end; waiting for such a peer would never end.
 */
public final class UnixSocketSupport {
  private UnixSocketSupport() {}

  /**
   * Tests the transfer of one byte without waiting. The kernel completes the connection in the call
   * itself and makes the byte available to the peer when the write returns (unix(7)), so what has
   * not arrived by then will not arrive.
   *
   * @param path a path that does not exist, in a writable folder; the socket file is deleted
   */
  public static boolean isAvailable(Path path) {
    UnixDomainSocketAddress address = UnixDomainSocketAddress.of(path);
    try (ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
      server.bind(address);
      return canTransfer(server, address);
    } catch (IOException | UnsupportedOperationException | SecurityException e) {
      return false;
    } finally {
      try {
        Files.deleteIfExists(path);
      } catch (IOException e) {
        // The owner of the folder deletes it.
      }
    }
  }

  /** Whether a connection to this address arrives at this server and transfers data. */
  static boolean canTransfer(ServerSocketChannel server, UnixDomainSocketAddress address)
      throws IOException {
    server.configureBlocking(false);
    try (SocketChannel client = SocketChannel.open(StandardProtocolFamily.UNIX)) {
      client.configureBlocking(false);
      if (!client.connect(address)) {
        return false;
      }
      try (SocketChannel accepted = server.accept()) {
        if (accepted == null) {
          return false;
        }
        accepted.configureBlocking(false);
        ByteBuffer buffer = ByteBuffer.allocate(1);
        return client.write(buffer) == 1 && accepted.read(buffer.clear()) == 1;
      }
    }
  }
}
