package hazelspoke.node;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A host or discovery server on loopback that reads requests and lets a test write the responses.
 */
final class FakeServer implements AutoCloseable {
  /** Responds to one request with the given head; returns false to close the connection. */
  interface Reply {
    boolean handle(String head, OutputStream out) throws Exception;
  }

  final List<byte[]> bodies = new CopyOnWriteArrayList<>();
  final List<String> heads = new CopyOnWriteArrayList<>();
  final AtomicInteger connections = new AtomicInteger();
  private final ServerSocket listener;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final Reply reply;

  FakeServer(Reply reply) throws IOException {
    this.reply = reply;
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    daemon(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  static boolean respond(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
    return true;
  }

  /**
   * Whether connections to the address are refused; an accepting thread delays a listener's close.
   */
  static boolean refuses(String address) {
    int colon = address.indexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    try (Socket socket = new Socket(address.substring(0, colon), port)) {
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  static String ok(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private static void daemon(Runnable work) {
    Thread thread = new Thread(work);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        connections.incrementAndGet();
        sockets.add(socket);
        daemon(() -> serve(socket));
      }
    } catch (IOException e) {
      // The listener was closed: the test has ended.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = socket.getInputStream();
      String head;
      do {
        head = head(in);
        if (head == null) {
          return;
        }
        byte[] body = body(in, head);
        bodies.add(body);
        heads.add(head);
      } while (reply.handle(head, socket.getOutputStream()));
    } catch (Exception e) {
      // The peer disconnected, or the test has ended.
    }
  }

  /** Reads a head including its blank line; null at the end of the connection. */
  static String head(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    while (text.indexOf("\r\n\r\n") < 0) {
      int c = in.read();
      if (c < 0) {
        return null;
      }
      text.append((char) c);
    }
    return text.toString();
  }

  /** Reads the body of a message with this head, in either framing; fails if it is truncated. */
  static byte[] body(InputStream in, String head) throws IOException {
    if (!head.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked")) {
      byte[] body = in.readNBytes(contentLength(head));
      if (body.length < contentLength(head)) {
        throw new EOFException();
      }
      return body;
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      int size = Integer.parseInt(line(in), 16);
      byte[] chunk = in.readNBytes(size);
      if (chunk.length < size || !line(in).isEmpty()) {
        throw new EOFException();
      }
      if (size == 0) {
        return body.toByteArray();
      }
      body.writeBytes(chunk);
    }
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    int c;
    while ((c = in.read()) != '\n') {
      if (c < 0) {
        throw new EOFException();
      }
      text.append((char) c);
    }
    return text.toString().trim();
  }

  static int contentLength(String head) {
    for (String line : head.split("\r\n")) {
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        return Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
      }
    }
    return 0;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
