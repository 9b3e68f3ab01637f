package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** The management listener: metrics, drain, and access to them under load and abuse. */
class OperationsTest {
  private static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
  private static final String OK = FakeServer.ok("done");
  private static final String ERROR = "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n";

  @Test
  void countsEachRequestOnceAndEachAttemptThatWasSent() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    FakeServer.Reply reply =
        (head, out) -> {
          if (head.contains("/dispatch/wait")) {
            release.await();
          }
          return FakeServer.respond(out, head.contains("/dispatch/err") ? ERROR : OK);
        };
    try (FakeServer host = new FakeServer(reply);
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(160, discovery, host)) {
      assertThat(rig.callOperators("GET /_ready")).startsWith("200");
      assertThat(rig.callOperators("GET /_vars")).contains("svc.passed.look=0\n", "svc.loads=0\n");
      for (int i = 0; i < 3; i++) {
        assertThat(rig.request(Rig.dispatch(Rig.id(), ""))).contains("200");
      }
      String err = Rig.dispatch(Rig.id(), "").replace("/dispatch ", "/dispatch/err ");
      assertThat(rig.request(err)).contains(" 502 ");
      try (Socket waiting = rig.connect();
          Socket leaving = rig.connect()) {
        Rig.send(waiting, heldRequest());
        Rig.send(leaving, heldRequest());
        Rig.await("both at the host", () -> host.heads.size() == 6);
        assertThat(rig.metric("in_progress")).isEqualTo(2);
        leaving.close();
        Rig.await("one has disconnected", () -> rig.metric("in_progress") == 1);
        release.countDown();
        assertThat(Rig.receive(waiting)).contains("200");
      }
      assertThat(rig.metric("in_progress")).isZero();
      assertThat(rig.metric("passed.dispatch")).isEqualTo(4);
      assertThat(rig.metric("bad_gateway.dispatch")).isEqualTo(1);
      assertThat(rig.metric("dropped.dispatch")).isZero();
      assertThat(rig.metric("upstream_tries")).isEqualTo(6);
      Rig.await("the host is counted", () -> rig.metric("known_hosts") == 1);
      assertThat(rig.metric("skipped_hosts")).isZero();
    }
  }

  /** The client reads nothing until after its deadline, so the response was ready but left late. */
  @Test
  void countsLateResponseToSlowReaderWithItsReason() throws Exception {
    String large = FakeServer.ok("x".repeat(16 << 20));
    try (FakeServer host = new FakeServer((head, out) -> FakeServer.respond(out, large));
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(160, discovery, host);
        Socket slow = rig.connect()) {
      Rig.send(slow, Rig.dispatch(Rig.id(), "").replace("20.0", "0.5"));
      Rig.await("its answer has begun", () -> rig.metric("passed.dispatch") == 1);
      Thread.sleep(700);
      assertThat(Rig.receive(slow)).contains(" 200 ");
      Rig.await("it is counted", () -> rig.metric("late.unread") == 1);
      assertThat(rig.metric("late.unexplained") + rig.metric("late.left_open")).isZero();
      assertThat(rig.log.toString()).contains("did not take it");
    }
  }

  private static String heldRequest() {
    return Rig.dispatch(Rig.id(), "").replace("/dispatch ", "/dispatch/wait ");
  }

  @Test
  void countsRefusalAsDroppedAndNoAttemptThatWasNotSent() throws Exception {
    try (FakeServer host = new FakeServer((head, out) -> false);
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(160, discovery, host)) {
      host.close();
      // A thread that is still in accept() keeps the listener open for a moment.
      Rig.await("nobody listens", () -> FakeServer.refuses(host.address()));
      String none = rig.request(Rig.dispatch(Rig.id(), "").replace("20.0", "0.2"));
      assertThat(none).contains(" 503 ");
      assertThat(rig.metric("dropped.dispatch")).isEqualTo(1);
      assertThat(rig.metric("upstream_tries")).isZero();
    }
  }

  @Test
  void drainFailsHealthChecksMovesClientsAndLosesNoRequest() throws Exception {
    try (FakeServer host = new FakeServer((head, out) -> FakeServer.respond(out, OK));
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(160, discovery, host);
        Socket health = rig.connect();
        Socket busy = rig.connect();
        Socket idle = rig.connect()) {
      for (Socket client : List.of(busy, idle)) {
        Rig.send(client, Rig.dispatch(Rig.id(), ""));
        assertThat(Rig.receive(client)).contains("200").doesNotContain("close");
      }
      for (int i = 0; i < 2; i++) {
        Rig.send(health, HEALTH);
        assertThat(Rig.receive(health)).contains(" 200 ").doesNotContain("close");
      }
      assertThat(rig.callOperators("POST /_lameduck/on")).startsWith("200");
      assertThat(rig.request(HEALTH)).contains(" 503 ");
      Rig.send(busy, Rig.dispatch(Rig.id(), ""));
      assertThat(Rig.receive(busy)).contains("200").containsIgnoringCase("connection: close");
      assertThat(busy.getInputStream().read()).isEqualTo(-1);
      // Idle connections are closed at once; requests on new connections are still served.
      assertThat(idle.getInputStream().read()).isEqualTo(-1);
      assertThat(rig.request(Rig.dispatch(Rig.id(), ""))).contains("200");
      assertThat(rig.callOperators("POST /_lameduck/off")).startsWith("200");
      assertThat(rig.request(HEALTH)).contains(" 200 ");
      try (Socket again = rig.connect()) {
        Rig.send(again, Rig.dispatch(Rig.id(), ""));
        assertThat(Rig.receive(again)).contains("200").doesNotContain("close");
      }
      assertThat(rig.metric("passed.dispatch")).isEqualTo(5);
    }
  }

  @Test
  void respondsToOperatorsWhileTheLoopIsBlockedAndOthersAreIdle() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    List<Socket> idle = new ArrayList<>();
    try (FakeServer discovery = Rig.discovery(Rig.list(1));
        Rig rig = new Rig(160, discovery)) {
      rig.gateway.loop.execute(() -> Rig.awaitLatch(release));
      for (int i = 0; i < 200; i++) {
        idle.add(new Socket(rig.operators.getAddress(), rig.operators.getPort()));
      }
      assertThat(rig.callOperators("GET /_ready")).startsWith("200");
      assertThat(rig.callOperators("GET /_vars")).contains("svc.in_progress=0");
      assertThat(rig.callOperators("GET /_nothing")).startsWith("404");
      assertThat(rig.callOperators("GET /_lameduck/on")).startsWith("405");
      try (Socket socket = new Socket(rig.operators.getAddress(), rig.operators.getPort())) {
        socket.setSoTimeout(Rig.PATIENCE_MS);
        Rig.send(socket, "\0\1\2 what\r\n\r\n");
        assertThat(Rig.receive(socket)).contains(" 400 ");
      }
      release.countDown();
    } finally {
      release.countDown();
      for (Socket socket : idle) {
        socket.close();
      }
    }
  }

  @Test
  void isNotReadyBeforeClientsAreAccepted() throws Exception {
    try (FakeServer discovery = Rig.discovery(Rig.list(1));
        Rig rig = new Rig(160, discovery)) {
      Gateway early =
          new Gateway(
              GatewayConfig.read(
                  Map.of("NODE_CONFIG", rig.file.toString(), "NODE_MANAGEMENT", "127.0.0.1:0")),
              new PrintStream(rig.log),
              hazelspoke.net.Transport.TCP);
      try {
        var at = early.openManagement();
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
          Rig.send(socket, "GET /_ready HTTP/1.1\r\n\r\n");
          assertThat(Rig.receive(socket)).contains(" 503 ");
        }
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
          Rig.send(socket, "POST /_lameduck/on HTTP/1.1\r\n\r\n");
          assertThat(Rig.receive(socket)).contains(" 503 ");
        }
      } finally {
        early.stop();
      }
    }
  }
}
