package hazelspoke.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** A host whose queue of new connections is full: what comes now comes up once it is let in. */
final class FullBacklogListener implements AutoCloseable {
  private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
  private final List<Socket> filling = new ArrayList<>();

  FullBacklogListener() throws IOException {
    boolean room = true;
    while (room) {
      Socket socket = new Socket();
      filling.add(socket);
      try {
        socket.connect(new InetSocketAddress("127.0.0.1", listener.getLocalPort()), 300);
      } catch (SocketTimeoutException e) {
        room = false;
      }
    }
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** How many of those that wait to be let in have written anything before they ended. */
  int acceptAndCountSenders() throws IOException {
    for (Socket socket : filling) {
      socket.close();
    }
    int spoke = 0;
    listener.setSoTimeout(3_000);
    try {
      while (true) {
        try (Socket socket = listener.accept()) {
          socket.setSoTimeout(1_000);
          spoke += speaks(socket) ? 1 : 0;
        }
      }
    } catch (SocketTimeoutException e) {
      return spoke;
    }
  }

  private static boolean speaks(Socket socket) {
    try {
      return socket.getInputStream().read() >= 0;
    } catch (IOException e) {
      return false;
    }
  }

  @Override
  public void close() throws IOException {
    for (Socket socket : filling) {
      socket.close();
    }
    listener.close();
  }
}
