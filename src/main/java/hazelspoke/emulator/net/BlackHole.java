package hazelspoke.emulator.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * An address at which connections are never established, as for a machine that has vanished: a
 * listener that accepts nothing and whose accept queue is full, so that the kernel drops further
 * attempts.
 */
final class BlackHole implements AutoCloseable {
  private static final int FILLER_CONNECTIONS = 4;

  private final ServerSocketChannel listener;
  private final List<SocketChannel> fillers = new ArrayList<>();

  BlackHole(InetSocketAddress address) throws IOException {
    listener = ServerSocketChannel.open();
    try {
      listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      listener.bind(address, 1);
      for (int i = 0; i < FILLER_CONNECTIONS; i++) {
        SocketChannel channel = SocketChannel.open();
        fillers.add(channel);
        channel.configureBlocking(false);
        channel.connect(address);
      }
    } catch (IOException e) {
      close();
      throw e;
    }
  }

  @Override
  public void close() throws IOException {
    for (SocketChannel channel : fillers) {
      channel.close();
    }
    listener.close();
  }
}
