package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Requests whose clients disconnect while they wait: the gateway sends nothing for them and keeps
 * no state.
 */
class DisconnectedClientsTest {
  /** How a client disconnects. */
  enum Disconnection {
    CLOSE,
    HALF_CLOSE,
    RESET;

    void apply(Socket client) throws IOException {
      if (this == HALF_CLOSE) {
        client.shutdownOutput();
      } else {
        if (this == RESET) {
          client.setSoLinger(true, 0);
        }
        client.close();
      }
    }
  }

  private static FakeServer respondingHost() throws IOException {
    return new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok("done")));
  }

  /** No request is in progress, and the host gets the next request and no other. */
  private static void assertNoStateKept(Rig rig, FakeServer host) throws Exception {
    int requestCount = host.heads.size();
    rig.runLoopIterations();
    assertThat(rig.metric("in_progress")).isZero();
    assertThat(rig.request(Rig.look(Rig.id(), ""))).contains(" 200 ");
    assertThat(host.heads).hasSize(requestCount + 1);
  }

  /**
   * Request and disconnection are pending in the kernel when the stalled loop reads, and an idle
   * host connection exists.
   */
  @ParameterizedTest
  @EnumSource
  void whileLoopIsStalled(Disconnection disconnection) throws Exception {
    try (FakeServer host = respondingHost();
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(160, discovery, host);
        Socket client = rig.connect();
        Socket fresh = rig.connect()) {
      Rig.send(client, Rig.look(Rig.id(), ""));
      assertThat(Rig.receive(client)).contains(" 200 ");
      rig.awaitReusableConnections();
      CountDownLatch resumeLoop = new CountDownLatch(1);
      rig.gateway.loop.execute(() -> Rig.awaitLatch(resumeLoop));
      Rig.send(client, Rig.look(Rig.id(), ""));
      disconnection.apply(client);
      Rig.send(fresh, Rig.look(Rig.id(), ""));
      disconnection.apply(fresh);
      resumeLoop.countDown();
      rig.runLoopIterations();
      assertThat(host.heads).hasSize(1);
      assertThat(rig.metric("left.waiting")).isEqualTo(2);
      assertThat(rig.metric("left.sent")).isZero();
      assertNoStateKept(rig, host);
    }
  }

  /** The client disconnects in the accept queue, where it waits for room. */
  @ParameterizedTest
  @EnumSource
  void whileInAcceptQueue(Disconnection disconnection) throws Exception {
    CountDownLatch respond = new CountDownLatch(1);
    try (FakeServer host = Rig.blockingHost("/dispatch/wait", respond);
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(60 + 56 + Management.DESCRIPTORS, discovery, host)) {
      Socket[] first = new Socket[20];
      for (int i = 0; i < first.length; i++) {
        first[i] = rig.connect();
        Rig.send(first[i], Rig.dispatch(Rig.id(), "").replace("/dispatch ", "/dispatch/wait "));
        int expectedCount = i + 1;
        Rig.await("the request at the host", () -> host.heads.size() == expectedCount);
      }
      try (Socket late = rig.connect()) {
        Rig.send(late, Rig.look(Rig.id(), ""));
        disconnection.apply(late);
        rig.runLoopIterations();
        respond.countDown();
        for (Socket socket : first) {
          assertThat(Rig.receive(socket)).contains(" 200 ");
          socket.close();
        }
        rig.runLoopIterations();
        assertThat(host.heads).hasSize(first.length);
        assertNoStateKept(rig, host);
      }
    } finally {
      respond.countDown();
    }
  }

  /** The balancer holds the request without a host; one is added after the disconnection. */
  @ParameterizedTest
  @EnumSource
  void whileHeldByBalancer(Disconnection disconnection) throws Exception {
    try (FakeServer host = respondingHost();
        FakeDiscovery discovery = new FakeDiscovery(Rig.list(1, true));
        Rig rig = new Rig(160, discovery.server);
        Socket client = rig.connect()) {
      Rig.await("the list", () -> discovery.watchesAnswered() == 1);
      Rig.send(client, Rig.look(Rig.id(), ""));
      Rig.await("the request is accepted", () -> rig.metric("in_progress") == 1);
      disconnection.apply(client);
      rig.runLoopIterations();
      assertThat(rig.metric("in_progress")).isZero();
      discovery.push(Rig.list(2, false, Rig.entry(host.address(), "Ready")));
      Rig.await("the host is known", () -> rig.metric("known_hosts") == 1);
      rig.runLoopIterations();
      assertThat(host.heads).isEmpty();
      assertNoStateKept(rig, host);
    }
  }

  /** A host is added in the event-loop iteration in which the disconnection is read. */
  @ParameterizedTest
  @EnumSource
  void whileHeldByBalancerAndLoopIsStalled(Disconnection disconnection) throws Exception {
    try (FakeServer host = respondingHost();
        FakeDiscovery discovery = new FakeDiscovery(Rig.list(1, true));
        Rig rig = new Rig(160, discovery.server);
        Socket client = rig.connect()) {
      Rig.await("the list", () -> discovery.watchesAnswered() == 1);
      Rig.send(client, Rig.look(Rig.id(), ""));
      Rig.await("the request is accepted", () -> rig.metric("in_progress") == 1);
      CountDownLatch resumeLoop = new CountDownLatch(1);
      rig.gateway.loop.execute(() -> Rig.awaitLatch(resumeLoop));
      discovery.push(Rig.list(2, false, Rig.entry(host.address(), "Ready")));
      disconnection.apply(client);
      resumeLoop.countDown();
      Rig.await("the host is known", () -> rig.metric("known_hosts") == 1);
      rig.runLoopIterations();
      assertThat(host.heads).isEmpty();
      assertNoStateKept(rig, host);
    }
  }

  /** The connection to the host is established after the disconnection. */
  @ParameterizedTest
  @EnumSource
  void whileConnectingToHost(Disconnection disconnection) throws Exception {
    try (FullBacklogListener late = new FullBacklogListener();
        FakeDiscovery discovery =
            new FakeDiscovery(Rig.list(1, true, Rig.entry(late.address(), "Ready")));
        Rig rig = new Rig(160, discovery.server);
        Socket client = rig.connect()) {
      Rig.await("the list", () -> rig.metric("known_hosts") == 1);
      Rig.send(client, Rig.look(Rig.id(), ""));
      Rig.await("the request is accepted", () -> rig.metric("in_progress") == 1);
      rig.runLoopIterations();
      disconnection.apply(client);
      rig.runLoopIterations();
      assertThat(rig.metric("in_progress")).isZero();
      assertThat(late.acceptAndCountSenders()).isZero();
      assertThat(rig.metric("upstream_tries")).isZero();
    }
  }

  /** A failed attempt and the disconnection are read in the same event-loop iteration. */
  @ParameterizedTest
  @EnumSource
  void betweenTwoAttempts(Disconnection disconnection) throws Exception {
    CountDownLatch fail = new CountDownLatch(1);
    CountDownLatch failed = new CountDownLatch(1);
    try (FakeServer first =
            new FakeServer(
                (head, out) -> {
                  Rig.awaitLatch(fail);
                  FakeServer.respond(out, "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n");
                  failed.countDown();
                  return true;
                });
        FakeServer second = respondingHost();
        FakeDiscovery discovery =
            new FakeDiscovery(Rig.list(1, true, Rig.entry(first.address(), "Ready")));
        Rig rig = new Rig(160, discovery.server);
        Socket client = rig.connect()) {
      Rig.await("the list", () -> rig.metric("known_hosts") == 1);
      Rig.send(client, Rig.look(Rig.id(), ""));
      Rig.await("the first host has the request", () -> first.heads.size() == 1);
      discovery.push(
          Rig.list(
              2,
              true,
              Rig.entry(first.address(), "Terminating"),
              Rig.entry(second.address(), "Ready")));
      Rig.await("both hosts are known", () -> rig.metric("known_hosts") == 2);
      CountDownLatch resumeLoop = new CountDownLatch(1);
      rig.gateway.loop.execute(() -> Rig.awaitLatch(resumeLoop));
      fail.countDown();
      Rig.awaitLatch(failed);
      disconnection.apply(client);
      resumeLoop.countDown();
      rig.runLoopIterations();
      rig.runLoopIterations();
      assertThat(second.heads).isEmpty();
      assertThat(rig.metric("left.sent")).isEqualTo(1);
      assertNoStateKept(rig, second);
    }
  }

  /** A request pipelined behind an unread response is not sent after the disconnection. */
  @Test
  void whilePipelinedBehindUnreadResponse() throws Exception {
    String large = FakeServer.ok("x".repeat(16 << 20));
    try (FakeServer host =
            new FakeServer(
                (head, out) ->
                    FakeServer.respond(
                        out, head.contains("large") ? large : FakeServer.ok("done")));
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(160, discovery, host);
        Socket client = rig.connect()) {
      Rig.send(client, Rig.look(Rig.id(), "").replace("/look ", "/look/large "));
      Rig.await("its response has begun", () -> rig.metric("passed.look") == 1);
      Rig.send(client, Rig.look(Rig.id(), ""));
      rig.runLoopIterations();
      client.setSoLinger(true, 0);
      client.close();
      rig.runLoopIterations();
      assertThat(host.heads).hasSize(1);
      assertNoStateKept(rig, host);
    }
  }

  /** The body stays incomplete: no host gets a request that could run. */
  @ParameterizedTest
  @EnumSource
  void duringUpload(Disconnection disconnection) throws Exception {
    try (FakeServer host = respondingHost();
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(160, discovery, host);
        Socket client = rig.connect()) {
      int length = 1 << 20;
      Rig.send(client, Rig.dispatch(Rig.id(), "Content-Length: " + length + "\r\n"));
      Rig.send(client, "x".repeat(length / 2));
      Rig.await("the connection to the host", () -> host.connections.get() == 1);
      rig.runLoopIterations();
      disconnection.apply(client);
      Rig.await("the request has ended", () -> rig.metric("in_progress") == 0);
      rig.runLoopIterations();
      assertThat(host.heads).isEmpty();
      assertNoStateKept(rig, host);
    }
  }
}
