package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Bytes behind a request whose response has not begun: the request is rejected, not served. */
class SurplusInputTest {
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

  private static final String TOO_SHORT = "Content-Length: 3\r\n";

  private final CountDownLatch release = new CountDownLatch(1);
  private FakeServer host;
  private FakeServer discovery;
  private Rig rig;

  @BeforeEach
  void start() throws Exception {
    host = Rig.blockingHost("X-Hold", release);
    discovery = Rig.discovery(Rig.list(2, host));
    rig = new Rig(160, discovery, host);
  }

  @AfterEach
  void stop() throws Exception {
    release.countDown();
    rig.close();
    host.close();
    discovery.close();
  }

  private static List<Arguments> requestsWithBytesBehindThem() {
    return List.of(
        arguments(TOO_SHORT, "abcdef"),
        arguments(TOO_SHORT, "abc\0"),
        arguments(TOO_SHORT, "abc \t"),
        arguments(TOO_SHORT, "abc\r\n\r\n"),
        arguments(TOO_SHORT, "abc\r\nd"),
        arguments("Content-Length: 0\r\n", "abc"),
        arguments("", "abc"),
        arguments("Connection: close\r\n" + TOO_SHORT, "abcd"),
        arguments(CHUNKED, "3\r\nabc\r\n0\r\n\r\nrest"),
        arguments(CHUNKED, "3\r\nabcdef\r\n0\r\n\r\n"));
  }

  /** Guards against running a cut body: the decoder emits nothing of a rest without a line end. */
  @ParameterizedTest
  @MethodSource("requestsWithBytesBehindThem")
  void rejectsRequestWithBytesBehindItInTheSameWrite(String headers, String input)
      throws Exception {
    try (Socket client = rig.connect()) {
      Rig.send(client, Rig.dispatch(Rig.id(), headers) + input);
      assertThat(Rig.receive(client)).startsWith("HTTP/1.1 400");
      assertThat(client.getInputStream().read()).isEqualTo(-1);
    }
    assertThat(host.heads).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", "look"})
  void rejectsRequestWithoutBodyThatIsFollowedByBytes(String request) throws Exception {
    try (Socket client = rig.connect()) {
      Rig.send(client, (request.equals("look") ? Rig.look(Rig.id(), "") : request) + "abc");
      assertThat(Rig.receive(client)).startsWith("HTTP/1.1 400");
    }
    assertThat(host.heads).isEmpty();
  }

  /** Guards against serving a client that sends the rest of its body a moment later. */
  @ParameterizedTest
  @ValueSource(strings = {"def", " ", "\0", "\r\n\r\n"})
  void rejectsRequestWhoseRestArrivesWhileItsHostWorks(String rest) throws Exception {
    try (Socket client = rig.connect()) {
      Rig.send(client, Rig.dispatch(Rig.id(), "X-Hold: 1\r\n" + TOO_SHORT) + "abc");
      Rig.await("the host has it", () -> host.heads.size() == 1);
      Rig.send(client, rest);
      assertThat(Rig.receive(client)).startsWith("HTTP/1.1 400");
      assertThat(client.getInputStream().read()).isEqualTo(-1);
    }
  }

  /** The rest of the body is unread when the connection to the host is established. */
  @Test
  void sendsNothingIfTheRestArrivesBeforeTheRequestIsSent() throws Exception {
    try (FullBacklogListener late = new FullBacklogListener();
        FakeDiscovery onlyLate =
            new FakeDiscovery(Rig.list(1, true, Rig.entry(late.address(), "Ready")));
        Rig waiting = new Rig(160, onlyLate.server);
        Socket client = waiting.connect()) {
      Rig.await("the list", () -> waiting.metric("known_hosts") == 1);
      Rig.send(client, Rig.dispatch(Rig.id(), TOO_SHORT) + "abc");
      Rig.await("the request is accepted", () -> waiting.metric("in_progress") == 1);
      CountDownLatch sent = new CountDownLatch(1);
      waiting.gateway.loop.execute(() -> Rig.awaitLatch(sent));
      Rig.send(client, "def");
      sent.countDown();
      assertThat(late.acceptAndCountSenders()).as(waiting.log.toString()).isZero();
      assertThat(Rig.receive(client)).startsWith("HTTP/1.1 400");
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {200_000, 900_000})
  void rejectsLargeBodyThatIsLongerThanAnnounced(int announced) throws Exception {
    try (Socket client = rig.connect()) {
      Rig.send(client, Rig.dispatch(Rig.id(), "Content-Length: " + announced + "\r\n"));
      client.getOutputStream().write(new byte[announced + 10]);
      assertThat(Rig.receive(client)).startsWith("HTTP/1.1 400");
    }
    assertThat(host.bodies).isEmpty();
  }

  /** Some clients end a body with an empty line, at once or a moment later. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void servesRequestsThatAreFollowedByOneEmptyLine(boolean atOnce) throws Exception {
    String head = Rig.dispatch(Rig.id(), TOO_SHORT);
    try (Socket client = rig.connect()) {
      for (int i = 0; i < 3; i++) {
        String request = head.replace("X-Txn: ", "X-Txn: " + i);
        Rig.send(client, request + "abc" + (atOnce ? "\r\n" : ""));
        if (!atOnce) {
          rig.runLoopIterations();
          Rig.send(client, "\r\n");
        }
        assertThat(Rig.receive(client)).startsWith("HTTP/1.1 200");
        rig.runLoopIterations();
      }
    }
    assertThat(host.bodies).hasSize(3).allSatisfy(body -> assertThat(body).hasSize(3));
  }

  /** Guards against an idle connection that is taken for an incomplete request and answered 408. */
  @Test
  void emptyLineOnAnIdleConnectionBeginsNoRequest() throws Exception {
    try (Socket client = rig.connect()) {
      Rig.send(client, Rig.dispatch(Rig.id(), ""));
      assertThat(Rig.receive(client)).startsWith("HTTP/1.1 200");
      rig.runLoopIterations();
      Rig.send(client, "\r\n");
      Thread.sleep(3_500);
      Rig.send(client, Rig.dispatch(Rig.id(), ""));
      assertThat(Rig.receive(client)).startsWith("HTTP/1.1 200");
    }
  }

  /** Guards against a close without a response: such a connection counted as idle. */
  @Test
  void answersHeadThatBeganWhileTheLastResponseWasWritten() throws Exception {
    String large = "x".repeat(4_000_000);
    try (FakeServer talker =
            new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok(large)));
        FakeServer list = Rig.discovery(Rig.list(1, talker));
        Rig slow = new Rig(160, list, talker);
        Socket client = slow.connect()) {
      Rig.send(client, Rig.dispatch(Rig.id(), ""));
      String head = FakeServer.head(client.getInputStream());
      Rig.send(client, "POST /dispatch HTT");
      slow.runLoopIterations();
      assertThat(FakeServer.body(client.getInputStream(), head)).hasSize(large.length());
      assertThat(Rig.receive(client)).startsWith("HTTP/1.1 408");
    }
  }
}
