package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Invalid requests and idle clients: they are rejected and reach no host. */
class InvalidRequestsTest {
  private final CountDownLatch release = new CountDownLatch(1);
  private FakeServer host;
  private FakeServer discovery;
  private Rig rig;

  @BeforeEach
  void start() throws Exception {
    host =
        new FakeServer(
            (head, out) -> {
              if (head.contains("X-Hold")) {
                release.await();
              }
              return FakeServer.respond(out, FakeServer.ok("made by the host"));
            });
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

  @Test
  void servesValidRequestsOnOneConnection() throws Exception {
    try (Socket client = rig.connect()) {
      for (int i = 0; i < 3; i++) {
        Rig.send(client, Rig.dispatch(Rig.id(), "Content-Length: 3\r\n") + "abc");
        assertThat(Rig.receive(client)).startsWith("HTTP/1.1 200").endsWith("made by the host");
        rig.awaitReusableConnections();
      }
    }
    assertThat(host.connections.get()).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "POST /dispatch HTTP/1.1\r\nX-Lane: dispatch\r\nX-Remaining: 1\r\n\r\n",
        "POST /dispatch HTTP/1.1\r\nX-Lane: dispatch\r\nX-Txn: a\r\nX-Txn: b\r\n\r\n",
        "POST /dispatch HTTP/1.1\r\nX-Lane: dispatch\r\nX-Txn: a\r\nConnection: x-txn\r\n\r\n",
        "POST /dispatch HTTP/1.1\r\nX-Lane: dispatch\r\nX-Txn: a\r\nX-Remaining: NaN\r\n\r\n",
        "POST /dispatch HTTP/1.1\r\nX-Lane: dispatch\r\nX-Txn: a\r\nX-Remaining: -1\r\n\r\n",
        "POST /dispatch HTTP/1.1\r\nX-Lane: dispatch\r\nX-Txn: a\r\nX-Remaining: 1e9\r\n\r\n",
        "POST /dispatch HTTP/1.1\r\nX-Lane: dispatch\r\nX-Txn: a\r\nX-Estimate: 0x1p3\r\n\r\n",
        "POST /dispatch HTTP/1.1\r\nX-Lane: nothing\r\nX-Txn: a\r\n\r\n",
        "POST /reserve HTTP/1.1\r\nX-Lane: dispatch\r\nX-Txn: a\r\n\r\n",
        "GET /dispatch HTTP/1.1\r\nX-Lane: dispatch\r\nX-Txn: a\r\n\r\n",
        "POST /look HTTP/1.1\r\nX-Lane: look\r\nX-Txn: a\r\n\r\n",
        "POST /reserve HTTP/1.1\r\nX-Lane: reserve\r\nX-Txn: a\r\n\r\n",
        "POST /dispatch HTTP/1.1\r\nX-Lane: dispatch\r\nX-Txn: a\r\nIdempotency-Key: k\r\n\r\n",
        "POST /dispatch HTTP/1.1\r\nX-Lane: dispatch\r\nX-Txn: a\r\nContent-Length: -5\r\n\r\n",
        "POST /dispatch HTTP/1.1\r\nX-Lane: dispatch\r\nX-Txn: a\r\nContent-Length: +5\r\n\r\nabcde",
        "POST /dispatch HTTP/1.1\r\nX-Lane: dispatch\r\nX-Txn: a\r\nContent-Length: 33554433\r\n\r\n",
        "POST /dispatch HTTP/1.1\r\nX-Lane: dispatch\r\nX-Txn: a\r\nContent-Length: 60000000000\r\n"
            + "\r\n",
        "POST /dispatch HTTP/1.1\r\nX-Lane: dispatch\r\nX-Txn: a\r\nContent-Length: 5\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /dispatch HTTP/1.1\r\nX-Lane: dispatch\r\nX-Txn: a\r\n"
            + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        "GET /look HTTP/1.1\r\nX-Lane: look\r\nX-Txn: a\r\nContent-Length: 3\r\n\r\nabc",
        "POST /dispatch HTTP/1.1\r\nno colon\r\nX-Lane: dispatch\r\nX-Txn: a\r\n\r\n",
        "\u0001\u0002 noise\r\n\r\n"
      })
  void rejectsInvalidRequestAndCloses(String request) throws Exception {
    try (Socket client = rig.connect()) {
      Rig.send(client, request);
      assertThat(Rig.receive(client)).matches("(?s)HTTP/1.1 [45].*");
      assertThat(client.getInputStream().read()).isEqualTo(-1);
    }
    assertThat(host.heads).isEmpty();
  }

  @Test
  void rejectsIdOfOpenRequestWithoutAffectingIt() throws Exception {
    String id = Rig.id();
    try (Socket first = rig.connect()) {
      Rig.send(first, Rig.dispatch(id, "X-Hold: 1\r\n"));
      Rig.await("the first request at the host", () -> host.heads.size() == 1);
      assertThat(rig.request(Rig.dispatch(id, ""))).startsWith("HTTP/1.1 409");
      release.countDown();
      assertThat(Rig.receive(first)).startsWith("HTTP/1.1 200");
    }
    assertThat(rig.request(Rig.dispatch(id, ""))).startsWith("HTTP/1.1 409");
    assertThat(host.heads).hasSize(1);
  }

  @Test
  void idOfAnAnsweredRequestThatMayRunTwiceIsFree() throws Exception {
    String id = Rig.id();
    try (Socket first = rig.connect()) {
      Rig.send(first, Rig.look(id, "X-Hold: 1\r\n"));
      Rig.await("the first request at the host", () -> host.heads.size() == 1);
      assertThat(rig.request(Rig.look(id, ""))).startsWith("HTTP/1.1 409");
      release.countDown();
      assertThat(Rig.receive(first)).startsWith("HTTP/1.1 200");
    }
    assertThat(host.heads).hasSize(1);
    assertThat(rig.request(Rig.look(id, ""))).startsWith("HTTP/1.1 200");
  }

  @Test
  void doesNotServePipelinedRequests() throws Exception {
    try (Socket client = rig.connect()) {
      StringBuilder requests = new StringBuilder();
      for (int i = 0; i < 100; i++) {
        requests.append(Rig.dispatch(Rig.id(), ""));
      }
      Rig.send(client, requests.toString());
      assertThat(Rig.receive(client)).startsWith("HTTP/1.1 400");
      assertThat(Rig.receive(client)).isNull();
    }
    assertThat(host.heads).hasSizeLessThan(2);
  }

  /** Whether this one of many idle clients has begun a request. */
  private static boolean hasBegunRequest(int client) {
    return client % 3 == 0;
  }

  @Test
  void evictsIdleConnectionsForNewClients() throws Exception {
    List<Socket> idle = new ArrayList<>();
    try (Socket served = rig.connect()) {
      Rig.send(served, Rig.dispatch(Rig.id(), ""));
      assertThat(Rig.receive(served)).startsWith("HTTP/1.1 200");
      for (int i = 0; i < 300; i++) {
        idle.add(rig.connect());
        if (hasBegunRequest(i)) {
          Rig.send(idle.get(i), "POST /dispatch HTTP/1.1\r\nX-Lane: disp");
        }
      }
      assertThat(rig.request(Rig.dispatch(Rig.id(), ""))).startsWith("HTTP/1.1 200");
      for (int i = 0; i < idle.size(); i++) {
        if (hasBegunRequest(i)) {
          // Evicted for others or timed out, in both cases with a response.
          assertThat(Rig.receive(idle.get(i))).matches("(?s)HTTP/1.1 (503|408) .*");
        }
        assertThat(Rig.receive(idle.get(i))).isNull();
      }
    } finally {
      for (Socket socket : idle) {
        socket.close();
      }
    }
  }

  @Test
  void timesOutIncompleteRequest() throws Exception {
    try (Socket client = rig.connect()) {
      Rig.send(client, Rig.dispatch(Rig.id(), "Content-Length: 10\r\n") + "abc");
      assertThat(Rig.receive(client)).startsWith("HTTP/1.1 408");
    }
    assertThat(host.heads).isEmpty();
  }
}
