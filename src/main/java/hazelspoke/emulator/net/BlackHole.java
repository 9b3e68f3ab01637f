package hazelspoke.emulator.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * An address at which connections never come up, as at a machine that has vanished: a listener that
 * accepts nobody and whose queue is full, so that the kernel answers no further one.
 */
final class BlackHole implements AutoCloseable {
  private static final int FILL = 4;

  private final ServerSocketChannel listener;
  private final List<SocketChannel> fill = new ArrayList<>();

  BlackHole(InetSocketAddress address) throws IOException {
    listener = ServerSocketChannel.open();
    try {
      listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      listener.bind(address, 1);
      for (int i = 0; i < FILL; i++) {
        SocketChannel channel = SocketChannel.open();
        fill.add(channel);
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
    for (SocketChannel channel : fill) {
      channel.close();
    }
    listener.close();
  }
}
