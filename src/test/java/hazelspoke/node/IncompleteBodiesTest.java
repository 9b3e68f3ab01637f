package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Clients that stop in their bodies and stay, while others send whole requests. */
class IncompleteBodiesTest {
  /** More than the gateway has room for. */
  private static final int CLIENTS = 200;

  private static final int BODY_BYTES = 64_000;
  private static final int SENT_BYTES = 60_000;

  /** A body that takes more than one read. */
  private static final int USUAL_BYTES = 32_000;

  private static final double USUAL_TIME_MS = 1_500;

  /** How late an answer may be. */
  private static final double GRACE_MS = 500;

  private static final double ERROR_WITHIN_MS = 3_000;

  /**
   * Guards against requests that wait for room that clients hold who have stopped: they stayed
   * unread, and unanswered, for as long as those clients stayed.
   */
  @Test
  void requestsAreAnsweredInTimeWhileOthersStopInTheirBodies() throws Exception {
    try (FakeServer host =
            new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok("done")));
        FakeServer discovery = Rig.discovery(Rig.list(2, host));
        Rig rig = new Rig(1_024, discovery, host)) {
      assertThat(rig.request(Rig.dispatch(Rig.id(), ""))).endsWith("done");
      List<Socket> stopped = new ArrayList<>();
      try {
        double start = nowMs();
        for (int i = 0; i < CLIENTS; i++) {
          Socket client = rig.connect();
          stopped.add(client);
          Rig.send(client, request(BODY_BYTES, 20.0) + "b".repeat(SENT_BYTES));
        }
        for (int i = 0; i < 5; i++) {
          double sentAt = nowMs();
          String answer =
              rig.request(request(USUAL_BYTES, USUAL_TIME_MS / 1_000) + "b".repeat(USUAL_BYTES));
          assertThat(answer).matches("(?s)HTTP/1.1 (200|503).*");
          assertThat(nowMs() - sentAt).as(rig.log.toString()).isLessThan(USUAL_TIME_MS + GRACE_MS);
        }
        for (Socket client : stopped) {
          assertThat(Rig.receive(client)).matches("(?s)HTTP/1.1 (408|503).*");
        }
        assertThat(nowMs() - start).isLessThan(2 * ERROR_WITHIN_MS);
      } finally {
        for (Socket client : stopped) {
          client.close();
        }
      }
      Rig.await("the memory is released", () -> rig.metric("held_bytes.requests") == 0);
      assertThat(rig.metric("pauses.requests")).isPositive();
    }
  }

  /**
   * Guards against requests whose time counts from the end of a pause: those that had arrived in
   * the meantime were answered long after it.
   */
  @Test
  void requestsAreAnsweredInTimeWhileHostsHang(@TempDir Path folder) throws Exception {
    CountDownLatch released = new CountDownLatch(1);
    try (FakeServer host = Rig.blockingHost("X-Hold", released);
        FakeServer discovery = Rig.discovery(Rig.list(2, host));
        ServeProcess gateway =
            ServeProcess.start(
                folder,
                ServeProcess.deployedCommand(),
                true,
                discovery.address(),
                config -> config.replace("\"sockets\":160", "\"sockets\":1024"))) {
      gateway.awaitAnswer("done");
      List<Socket> clients = new ArrayList<>();
      List<Double> sentAtMs = new ArrayList<>();
      try {
        for (int i = 0; i < CLIENTS; i++) {
          Socket client = gateway.connect();
          clients.add(client);
          String request = request(SENT_BYTES, USUAL_TIME_MS / 1_000);
          Rig.send(
              client,
              request.replace("Content-", "X-Hold: 1\r\nContent-") + "b".repeat(SENT_BYTES));
          sentAtMs.add(nowMs());
        }
        for (int i = 0; i < CLIENTS; i++) {
          assertThat(Rig.receive(clients.get(i))).matches("(?s)HTTP/1.1 50[234].*");
          assertThat(nowMs() - sentAtMs.get(i))
              .as(gateway.log())
              .isLessThan(USUAL_TIME_MS + GRACE_MS);
        }
      } finally {
        released.countDown();
        for (Socket client : clients) {
          client.close();
        }
      }
      Rig.await(
          "the memory is released",
          () -> gateway.metrics().contains("svc.held_bytes.requests=0\n"));
    }
  }

  private static String request(int bodyBytes, double remainingS) {
    return Rig.dispatch(Rig.id(), "Content-Length: " + bodyBytes + "\r\n")
        .replace("X-Remaining: 20.0", "X-Remaining: " + remainingS);
  }

  private static double nowMs() {
    return System.nanoTime() / 1e6;
  }
}
