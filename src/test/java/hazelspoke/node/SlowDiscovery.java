package hazelspoke.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Discovery that answers each call after a wait, at an address that moves. A former address accepts
 * no calls, goes on with those it has, and closes them after 1.5 s.
 */
final class SlowDiscovery implements AutoCloseable {
  private static final int CLOSES_AFTER_MS = 1_500;

  private final int waitMs;
  private final boolean returns;
  private final Map<ServerSocket, List<Socket>> calls = new HashMap<>();
  private final List<Socket> watches = new ArrayList<>();
  private final List<Integer> ports = new ArrayList<>();
  private ServerSocket listener;
  private String list;
  private int moves;
  private volatile boolean isClosed;

  /** {@code returns} lets the address alternate between two. */
  SlowDiscovery(String list, int waitMs, boolean returns) {
    this.list = list;
    this.waitMs = waitMs;
    this.returns = returns;
  }

  boolean isClosed() {
    return isClosed;
  }

  /** Moves to the next address and returns it. */
  synchronized String move() throws IOException {
    ServerSocket former = listener;
    int port = returns && ports.size() >= 2 ? ports.get(moves % 2) : 0;
    ServerSocket opened = new ServerSocket();
    opened.setReuseAddress(true);
    opened.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    ports.add(opened.getLocalPort());
    calls.put(opened, new ArrayList<>());
    listener = opened;
    moves++;
    daemon(() -> accept(opened));
    if (former != null) {
      former.close();
      daemon(() -> closeCalls(former));
    }
    return "127.0.0.1:" + opened.getLocalPort();
  }

  /** Changes the list, and reports the change to the open watches. */
  synchronized void change(String nextList, String change) {
    list = nextList;
    watches.forEach(watch -> send(watch, chunk(change)));
  }

  private void accept(ServerSocket at) throws Exception {
    while (true) {
      Socket call = at.accept();
      synchronized (this) {
        calls.get(at).add(call);
      }
      daemon(() -> answer(call));
    }
  }

  private void answer(Socket call) throws Exception {
    FakeServer.head(call.getInputStream());
    Thread.sleep(waitMs);
    synchronized (this) {
      send(call, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list));
      watches.add(call);
    }
  }

  private static String chunk(String line) {
    return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
  }

  private static void send(Socket call, String text) {
    try {
      Rig.send(call, text);
    } catch (IOException e) {
      // The call was closed.
    }
  }

  private void closeCalls(ServerSocket at) throws Exception {
    Thread.sleep(CLOSES_AFTER_MS);
    synchronized (this) {
      for (Socket call : calls.get(at)) {
        call.close();
      }
    }
  }

  private interface Task {
    void run() throws Exception;
  }

  private static void daemon(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // The address or the call was closed.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public synchronized void close() throws IOException {
    isClosed = true;
    for (Map.Entry<ServerSocket, List<Socket>> at : calls.entrySet()) {
      at.getKey().close();
      for (Socket call : at.getValue()) {
        call.close();
      }
    }
  }
}
