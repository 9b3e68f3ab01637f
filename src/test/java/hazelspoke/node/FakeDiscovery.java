package hazelspoke.node;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A discovery whose watches a test goes on writing to, or that hears calls and says nothing. */
final class FakeDiscovery implements AutoCloseable {
  final FakeServer server;
  private final List<OutputStream> watches = new CopyOnWriteArrayList<>();
  private final AtomicInteger told = new AtomicInteger();
  private volatile String list;
  private volatile boolean silent;
  private volatile boolean closed;

  FakeDiscovery(String list) throws IOException {
    this.list = list;
    server = new FakeServer(this::call);
    Thread lines = new Thread(this::keepAlive);
    lines.setDaemon(true);
    lines.start();
  }

  /** While nothing changes an empty line comes now and then, unless it is silent. */
  private void keepAlive() {
    try {
      while (!closed) {
        Thread.sleep(500);
        if (!silent) {
          push("");
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized boolean call(String head, OutputStream out) throws IOException {
    if (!silent) {
      FakeServer.respond(
          out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list));
      watches.add(out);
      told.incrementAndGet();
    }
    return true;
  }

  private static String chunk(String line) {
    int length = line.getBytes(StandardCharsets.ISO_8859_1).length + 1;
    return Integer.toHexString(length) + "\r\n" + line + "\n\r\n";
  }

  /** How many watches were told the list at their beginning. */
  int watchesAnswered() {
    return told.get();
  }

  /** From now on calls are taken and not answered; or they are again. */
  void setUnresponsive(boolean on) {
    silent = on;
  }

  /** What new watches are told first; those so far stay open and hear nothing any more. */
  synchronized void replaceList(String next) {
    list = next;
    watches.clear();
  }

  /** Writes a line to whoever watches still. */
  synchronized void push(String line) {
    for (OutputStream watch : watches) {
      try {
        FakeServer.respond(watch, chunk(line));
      } catch (IOException e) {
        // That one watches no more.
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
