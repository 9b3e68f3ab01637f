package hazelspoke.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** One address of discovery, whose calls a test accepts and answers one by one. */
final class ManualDiscovery implements AutoCloseable {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final List<Call> calls = new CopyOnWriteArrayList<>();

  ManualDiscovery() throws IOException {
    listener.setSoTimeout(Rig.PATIENCE_MS);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  InetSocketAddress socketAddress() {
    return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
  }

  /** Accepts the next call and reads its head. */
  Call accept() throws IOException {
    Call call = new Call(listener.accept());
    calls.add(call);
    return call;
  }

  /** Closes the listener, so that further calls are refused. */
  void refuseCalls() throws Exception {
    int port = listener.getLocalPort();
    listener.close();
    Rig.await("connections are refused", () -> FakeServer.refuses("127.0.0.1:" + port));
  }

  /** Accepts calls again at the same port. */
  void reopen() throws IOException {
    listener = new ServerSocket(listener.getLocalPort(), 50, InetAddress.getLoopbackAddress());
    listener.setSoTimeout(Rig.PATIENCE_MS);
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Call call : calls) {
      call.socket.close();
    }
  }

  /** An accepted call. */
  static final class Call {
    final String head;
    private final Socket socket;
    private boolean isAnswered;

    private Call(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(Rig.PATIENCE_MS);
      head = FakeServer.head(socket.getInputStream());
    }

    /** Sends one line. */
    void send(String line) throws IOException {
      sendPiece(line + "\n");
    }

    /** Sends a chunk, which may be part of a line. */
    void sendPiece(String text) throws IOException {
      String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
      Rig.send(socket, isAnswered ? chunk : HEAD + chunk);
      isAnswered = true;
    }

    /** Sends the last chunk. */
    void end() throws IOException {
      Rig.send(socket, isAnswered ? "0\r\n\r\n" : HEAD + "0\r\n\r\n");
    }

    /** Sends an empty line and the last chunk in one write. */
    void endAfterEmptyLine() throws IOException {
      Rig.send(socket, "1\r\n\n\r\n0\r\n\r\n");
    }

    void reject() throws IOException {
      Rig.send(socket, "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n");
    }

    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    /** Whether the gateway keeps the call open. */
    boolean isOpen() {
      try {
        socket.setSoTimeout(1);
        return socket.getInputStream().read() >= 0;
      } catch (SocketTimeoutException e) {
        return true;
      } catch (SocketException e) {
        return false;
      } catch (IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    }
  }
}
