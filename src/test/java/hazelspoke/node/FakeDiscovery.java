package hazelspoke.node;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A discovery server that pushes lists to its open watches, or accepts calls without responding.
 */
final class FakeDiscovery implements AutoCloseable {
  final FakeServer server;
  private final List<OutputStream> watches = new CopyOnWriteArrayList<>();
  private final AtomicInteger watchesAnswered = new AtomicInteger();
  private volatile String list;
  private volatile boolean unresponsive;
  private volatile boolean closed;

  FakeDiscovery(String list) throws IOException {
    this.list = list;
    server = new FakeServer(this::call);
    Thread keepAliveThread = new Thread(this::keepAlive);
    keepAliveThread.setDaemon(true);
    keepAliveThread.start();
  }

  /** Sends an empty line to open watches every 500 ms unless it is unresponsive. */
  private void keepAlive() {
    try {
      while (!closed) {
        Thread.sleep(500);
        if (!unresponsive) {
          push("");
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized boolean call(String head, OutputStream out) throws IOException {
    if (!unresponsive) {
      FakeServer.respond(
          out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list));
      watches.add(out);
      watchesAnswered.incrementAndGet();
    }
    return true;
  }

  private static String chunk(String line) {
    int length = line.getBytes(StandardCharsets.ISO_8859_1).length + 1;
    return Integer.toHexString(length) + "\r\n" + line + "\n\r\n";
  }

  /** Returns the number of watches that received the list when they were opened. */
  int watchesAnswered() {
    return watchesAnswered.get();
  }

  /** Sets whether calls are accepted but not answered. */
  void setUnresponsive(boolean on) {
    unresponsive = on;
  }

  /** Replaces the list for new watches; existing watches stay open but receive nothing more. */
  synchronized void replaceList(String next) {
    list = next;
    watches.clear();
  }

  /** Writes a line to all open watches. */
  synchronized void push(String line) {
    for (OutputStream watch : watches) {
      try {
        FakeServer.respond(watch, chunk(line));
      } catch (IOException e) {
        // This watch was closed.
      }
    }
  }

  String address() {
    return server.address();
  }

  @Override
  public void close() throws IOException {
    closed = true;
    server.close();
  }
}
