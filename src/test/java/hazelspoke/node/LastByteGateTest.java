package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A non-repeatable request on a reused connection, whose last byte is withheld for a moment: it is
 * not sent if the client disconnects meanwhile. The host is a plain socket that the test reads
 * itself.
 */
class LastByteGateTest {
  private static final String BODY = "abc";
  private static final String BODY_WITHOUT_LAST_BYTE = "ab";

  @ParameterizedTest
  @EnumSource
  void withholdsLastByteIfClientDisconnects(DisconnectedClientsTest.Disconnection disconnection)
      throws Exception {
    CountDownLatch resumeLoop = new CountDownLatch(1);
    try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        FakeServer discovery = Rig.discovery(Rig.list(1, true, entry(listener)));
        Rig rig = new Rig(160, discovery);
        Socket client = rig.connect()) {
      Rig.await("the host is known", () -> rig.metric("known_hosts") == 1);
      Rig.send(client, dispatch());
      try (Socket host = listener.accept()) {
        host.setSoTimeout(Rig.PATIENCE_MS);
        InputStream in = host.getInputStream();
        assertThat(new String(FakeServer.body(in, FakeServer.head(in)), StandardCharsets.US_ASCII))
            .isEqualTo(BODY);
        FakeServer.respond(host.getOutputStream(), FakeServer.ok("done"));
        assertThat(Rig.receive(client)).endsWith("done");
        rig.awaitReusableConnections();

        CountDownLatch loopStalled = new CountDownLatch(1);
        rig.gateway.loop.execute(() -> stallOnceBytesHaveArrived(rig, in, loopStalled, resumeLoop));
        Rig.send(client, dispatch());
        Rig.awaitLatch(loopStalled);
        disconnection.apply(client);
        resumeLoop.countDown();

        String head = FakeServer.head(in);
        assertThat(head).startsWith("POST /dispatch");
        assertThat(remainingBytes(in)).isEqualTo(BODY_WITHOUT_LAST_BYTE);
        // The event loop closes this connection before it counts the client.
        rig.runLoopIterations();
        assertThat(rig.metric("left.sent")).isZero();
        assertThat(rig.metric("left.waiting")).isEqualTo(1);
      }
    } finally {
      resumeLoop.countDown();
    }
  }

  /**
   * Stalls the loop after the iteration that wrote to the host, by checking every millisecond.
   * Bytes written on loopback are readable at once, and the last byte follows after 2 ms and two
   * more iterations at the earliest; timers that are due together run in order.
   */
  private static void stallOnceBytesHaveArrived(
      Rig rig, InputStream in, CountDownLatch loopStalled, CountDownLatch resumeLoop) {
    try {
      if (in.available() > 0) {
        loopStalled.countDown();
        Rig.awaitLatch(resumeLoop);
      } else {
        Runnable checkAgain = () -> stallOnceBytesHaveArrived(rig, in, loopStalled, resumeLoop);
        rig.gateway.loop.schedule(checkAgain, 1, TimeUnit.MILLISECONDS);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String dispatch() {
    return Rig.dispatch(Rig.id(), "Content-Length: " + BODY.length() + "\r\n") + BODY;
  }

  private static String entry(ServerSocket listener) {
    return Rig.entry("127.0.0.1:" + listener.getLocalPort(), "Ready");
  }

  /** Reads the remaining bytes until the connection ends or is reset. */
  private static String remainingBytes(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    try {
      int next;
      while ((next = in.read()) >= 0) {
        text.append((char) next);
      }
    } catch (SocketException e) {
      // Reset: the bytes before it were read.
    }
    return text.toString();
  }
}
