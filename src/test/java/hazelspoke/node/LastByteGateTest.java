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
 * A request that must not run twice, on a connection that has carried another one: its last byte is
 * kept back for a moment. The host here is a plain socket that the test reads itself.
 */
class LastByteGateTest {
  private static final String BODY = "abc";
  private static final String BODY_BUT_ITS_LAST_BYTE = "ab";

  @ParameterizedTest
  @EnumSource
  void theLastByteOfARequestWhoseClientHasLeftIsNotSent(
      DisconnectedClientsTest.Disconnection disconnection) throws Exception {
    CountDownLatch goOn = new CountDownLatch(1);
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

        CountDownLatch standing = new CountDownLatch(1);
        rig.gateway.loop.execute(() -> standStillOnceBytesHaveCome(rig, in, standing, goOn));
        Rig.send(client, dispatch());
        Rig.awaitLatch(standing);
        disconnection.apply(client);
        goOn.countDown();

        String head = FakeServer.head(in);
        assertThat(head).startsWith("POST /dispatch");
        assertThat(rest(in)).isEqualTo(BODY_BUT_ITS_LAST_BYTE);
        assertThat(rig.metric("left.sent")).isZero();
        assertThat(rig.metric("left.waiting")).isEqualTo(1);
      }
    } finally {
      goOn.countDown();
    }
  }

  /**
   * Holds the loop up behind the turn that wrote to the host: looks every millisecond. What is
   * written on loopback can be read at once, and the last byte follows after 2 ms and two more
   * turns at the earliest; timers that are due together run in their order.
   */
  private static void standStillOnceBytesHaveCome(
      Rig rig, InputStream in, CountDownLatch standing, CountDownLatch goOn) {
    try {
      if (in.available() > 0) {
        standing.countDown();
        Rig.awaitLatch(goOn);
      } else {
        Runnable again = () -> standStillOnceBytesHaveCome(rig, in, standing, goOn);
        rig.gateway.loop.schedule(again, 1, TimeUnit.MILLISECONDS);
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

  /** All that still comes, to the end of the connection in whichever way. */
  private static String rest(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    try {
      int next;
      while ((next = in.read()) >= 0) {
        text.append((char) next);
      }
    } catch (SocketException e) {
      // Reset: what came before it was read.
    }
    return text.toString();
  }
}
