package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Bodies too large to be buffered, in both directions: complete, slow and truncated. */
class LargeBodiesTest {
  private static final byte[] LARGE = new byte[3_000_000];

  /** More than the sockets on the way hold. */
  private static final int UNREAD_BYTES = 30_000_000;

  /** The host is given 30 s. */
  private static final int UNREAD_UPLOAD_LIMIT_MS = 35_000;

  /** A pause of a sound host, longer than the stall limits of responses. */
  private static final int HOST_PAUSE_MS = 8_000;

  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

  static {
    new Random(7).nextBytes(LARGE);
  }

  /** How a response is delimited. */
  private enum Framing {
    LENGTH,
    CHUNKS,
    CLOSE
  }

  private final AtomicReference<FakeServer.Reply> reply = new AtomicReference<>();
  private FakeServer host;
  private FakeServer discovery;
  private Rig rig;

  @BeforeEach
  void start() throws Exception {
    reply.set((head, out) -> FakeServer.respond(out, FakeServer.ok("done")));
    host = new FakeServer((head, out) -> reply.get().handle(head, out));
    discovery = Rig.discovery(Rig.list(2, host));
    rig = new Rig(160, discovery, host);
  }

  @AfterEach
  void stop() throws Exception {
    rig.close();
    host.close();
    discovery.close();
  }

  private static void writeText(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** Writes bytes in pieces of varying size, chunked or not. */
  private static void writePieces(OutputStream out, byte[] bytes, boolean chunked)
      throws IOException {
    int size = 1;
    for (int offset = 0; offset < bytes.length; offset += size) {
      size = Math.min(bytes.length - offset, 1 + (size * 7 + 13) % 40_000);
      if (chunked) {
        writeText(out, Integer.toHexString(size) + "\r\n");
      }
      out.write(bytes, offset, size);
      if (chunked) {
        writeText(out, "\r\n");
      }
    }
    if (chunked) {
      writeText(out, "0\r\n\r\n");
    }
    out.flush();
  }

  private static boolean respond(OutputStream out, Framing framing, byte[] bytes)
      throws IOException {
    writeText(out, "HTTP/1.1 200 OK\r\n");
    writeText(
        out,
        switch (framing) {
          case LENGTH -> "Content-Length: " + bytes.length + "\r\n\r\n";
          case CHUNKS -> CHUNKED + "\r\n";
          case CLOSE -> "Connection: close\r\n\r\n";
        });
    writePieces(out, bytes, framing == Framing.CHUNKS);
    return framing != Framing.CLOSE;
  }

  @ParameterizedTest
  @EnumSource(Framing.class)
  void forwardsResponsesOfAnySizeAndFramingUnchanged(Framing framing) throws Exception {
    for (int length : new int[] {0, 1, 65_536, 65_537, 300_000, LARGE.length}) {
      byte[] sent = Arrays.copyOf(LARGE, length);
      reply.set((head, out) -> respond(out, framing, sent));
      try (Socket client = rig.connect()) {
        for (int i = 0; i < 2; i++) {
          Rig.send(client, Rig.dispatch(Rig.id(), ""));
          String head = FakeServer.head(client.getInputStream());
          assertThat(head).startsWith("HTTP/1.1 200");
          assertThat(FakeServer.body(client.getInputStream(), head)).isEqualTo(sent);
        }
      }
    }
    assertThat(rig.metric("passed.dispatch")).isEqualTo(12);
  }

  @ParameterizedTest
  @EnumSource(
      value = Framing.class,
      names = {"LENGTH", "CHUNKS"})
  void streamsBeginningAtOnceAndRevealsTruncation(Framing framing) throws Exception {
    CountDownLatch beginningReceived = new CountDownLatch(1);
    reply.set(
        (head, out) -> {
          writeText(out, "HTTP/1.1 200 OK\r\n");
          writeText(out, framing == Framing.LENGTH ? "Content-Length: 3000000\r\n" : CHUNKED);
          writeText(out, "\r\n" + (framing == Framing.LENGTH ? "" : "2dc6c0\r\n"));
          out.write(LARGE, 0, 100_000);
          out.flush();
          beginningReceived.await();
          return false;
        });
    try (Socket client = rig.connect()) {
      Rig.send(client, Rig.dispatch(Rig.id(), ""));
      InputStream in = client.getInputStream();
      String head = FakeServer.head(in);
      assertThat(head).startsWith("HTTP/1.1 200");
      if (framing == Framing.LENGTH) {
        assertThat(in.readNBytes(100_000)).isEqualTo(Arrays.copyOf(LARGE, 100_000));
        beginningReceived.countDown();
        assertThat(in.readAllBytes()).isEmpty();
      } else {
        beginningReceived.countDown();
        assertThatThrownBy(() -> FakeServer.body(in, head)).isInstanceOf(EOFException.class);
      }
    }
    assertThat(host.heads).hasSize(1);
  }

  @Test
  void closesHostConnectionIfClientDoesNotRead() throws Exception {
    CountDownLatch hostConnectionClosed = new CountDownLatch(1);
    reply.set(
        (head, out) -> {
          try {
            writeText(out, "HTTP/1.1 200 OK\r\nContent-Length: 33000000\r\n\r\n");
            for (int i = 0; i < 10; i++) {
              out.write(LARGE);
            }
            out.write(LARGE);
          } catch (IOException e) {
            hostConnectionClosed.countDown();
          }
          return false;
        });
    try (Socket client = rig.connect()) {
      client.setReceiveBufferSize(65_536);
      Rig.send(client, Rig.dispatch(Rig.id(), ""));
      assertThat(FakeServer.head(client.getInputStream())).startsWith("HTTP/1.1 200");
      // The client sends and reads nothing: the gateway closes the connection after some seconds.
      hostConnectionClosed.await();
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void forwardsLargeRequestsUnchangedOnOneConnection(boolean chunked) throws Exception {
    try (Socket client = rig.connect()) {
      for (int length : new int[] {65_537, 262_144, 262_145, LARGE.length, 3}) {
        byte[] sent = Arrays.copyOf(LARGE, length);
        String head = chunked ? CHUNKED : "Content-Length: " + length + "\r\n";
        Rig.send(client, Rig.dispatch(Rig.id(), head));
        writePieces(client.getOutputStream(), sent, chunked);
        assertThat(Rig.receive(client)).startsWith("HTTP/1.1 200").endsWith("done");
        assertThat(host.bodies.get(host.bodies.size() - 1)).isEqualTo(sent);
      }
    }
    assertThat(host.bodies).hasSize(5);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1_500})
  void rejectsLargeRequestWithoutHostVisiblyToSender(int stallMs) throws Exception {
    host.close();
    for (int attempts = 0; ; attempts++) {
      double elapsedMs;
      try (Socket client = rig.connect()) {
        String head = Rig.dispatch(Rig.id(), "Content-Length: 3000000\r\n");
        Rig.send(client, head.replace("20.0", "0.3"));
        client.getOutputStream().write(LARGE, 0, 1_000_000);
        assertThat(Rig.receive(client)).startsWith("HTTP/1.1 503").containsIgnoringCase("close");
        // A gateway that stalled together with its client may not count the stall as a pause of
        // the client. Whatever the client sent before the stall is read before it.
        Thread.sleep(stallMs / 10);
        rig.gateway
            .loop
            .submit(
                () -> {
                  Thread.sleep(stallMs);
                  return null;
                })
            .sync();
        // Lets the gateway run first, before the client sends more.
        Thread.sleep(stallMs / 10);
        long respondedAt = System.nanoTime();
        try {
          // Further input is read, or else a reset could destroy the response.
          client.getOutputStream().write(LARGE, 1_000_000, 2_000_000);
          assertThat(client.getInputStream().read()).isEqualTo(-1);
          return;
        } catch (SocketException e) {
          elapsedMs = (System.nanoTime() - respondedAt) / 1e6;
          // A test that was itself stalled for as long as the gateway waits proves nothing.
          assertThat(elapsedMs > 900 && attempts < 4).as("after %s ms", elapsedMs).isTrue();
        }
      }
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void neverRunsIncompleteLargeRequest(boolean disconnects) throws Exception {
    String id = Rig.id();
    try (Socket client = rig.connect()) {
      Rig.send(client, Rig.dispatch(id, "Content-Length: 3000000\r\n"));
      client.getOutputStream().write(LARGE, 0, 2_000_000);
      Rig.await("a host's connection", () -> host.connections.get() == 1);
      if (!disconnects) {
        assertThat(Rig.receive(client)).startsWith("HTTP/1.1 408");
      }
    }
    Rig.await("its id is free again", () -> request(Rig.dispatch(id, "")).contains(" 200 "));
    assertThat(host.heads).hasSize(1);
    assertThat(rig.metric("in_progress")).isZero();
  }

  private String request(String request) {
    try {
      return rig.request(request);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /**
   * Guards against uploads to a host that does not read: such a request has no deadline yet and its
   * client is excused, so it had no answer for as long as both stayed.
   */
  @Test
  void failsLargeRequestThatItsHostDoesNotRead() throws Exception {
    try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        FakeServer listing =
            Rig.discovery(
                Rig.list(2, true, Rig.entry("127.0.0.1:" + silent.getLocalPort(), "Ready")));
        Rig gateway = new Rig(160, listing);
        Socket client = gateway.connect()) {
      client.setSoTimeout(UNREAD_UPLOAD_LIMIT_MS);
      Rig.send(client, Rig.dispatch(Rig.id(), "Content-Length: " + UNREAD_BYTES + "\r\n"));
      Thread sender = new Thread(() -> sendUntilClosed(client));
      sender.start();
      assertThat(Rig.receive(client)).matches("(?s)HTTP/1.1 50[234].*");
      client.close();
      sender.join();
    }
  }

  /** Guards against a limit that a host exceeds which reads slowly or pauses. */
  @Test
  void forwardsLargeRequestToHostThatPausesBeforeItReads() throws Exception {
    try (ServerSocket pausing = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        FakeServer listing =
            Rig.discovery(
                Rig.list(2, true, Rig.entry("127.0.0.1:" + pausing.getLocalPort(), "Ready")));
        Rig gateway = new Rig(160, listing);
        Socket client = gateway.connect()) {
      Rig.send(client, Rig.dispatch(Rig.id(), "Content-Length: " + UNREAD_BYTES + "\r\n"));
      Thread sender = new Thread(() -> sendUntilClosed(client));
      sender.start();
      try (Socket connection = pausing.accept()) {
        Thread.sleep(HOST_PAUSE_MS);
        String head = FakeServer.head(connection.getInputStream());
        assertThat(FakeServer.body(connection.getInputStream(), head)).hasSize(UNREAD_BYTES);
        FakeServer.respond(connection.getOutputStream(), FakeServer.ok("done"));
        assertThat(Rig.receive(client)).endsWith("done");
      }
      sender.join();
    }
  }

  private static void sendUntilClosed(Socket client) {
    try {
      client.getOutputStream().write(new byte[UNREAD_BYTES]);
    } catch (IOException e) {
      // The gateway has answered and closed.
    }
  }

  @Test
  void acceptsSlowHeadWithinItsTimeout() throws Exception {
    String request = Rig.dispatch(Rig.id(), "Content-Length: 8\r\n") + "12345678";
    try (Socket client = rig.connect()) {
      int split = request.indexOf("X-Remaining");
      Rig.send(client, request.substring(0, split));
      Thread.sleep(2_000);
      Rig.send(client, request.substring(split));
      assertThat(Rig.receive(client)).startsWith("HTTP/1.1 200");
      Rig.send(client, request.substring(0, split));
      assertThat(Rig.receive(client)).startsWith("HTTP/1.1 408").contains("connection: close");
      assertThat(Rig.receive(client)).isNull();
    }
  }
}
