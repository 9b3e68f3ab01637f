package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Requests whose clients leave while they wait: nothing is sent on for them, nothing is kept. */
class DisconnectedClientsTest {
  /** How a client may leave. */
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

  private static FakeServer answering() throws IOException {
    return new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok("done")));
  }

  /** Nothing of them is in hand, and the gateway serves on, with the next request alone. */
  private static void assertForgotten(Rig rig, FakeServer host) throws Exception {
    int asked = host.heads.size();
    rig.runLoopIterations();
    assertThat(rig.metric("in_progress")).isZero();
    assertThat(rig.request(Rig.look(Rig.id(), ""))).contains(" 200 ");
    assertThat(host.heads).hasSize(asked + 1);
  }

  /** Request and end lie in the kernel when the loop comes to read, and a connection is at hand. */
  @ParameterizedTest
  @EnumSource
  void whileTheLoopStandsStill(Disconnection disconnection) throws Exception {
    try (FakeServer host = answering();
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(160, discovery, host);
        Socket client = rig.connect();
        Socket fresh = rig.connect()) {
      Rig.send(client, Rig.look(Rig.id(), ""));
      assertThat(Rig.receive(client)).contains(" 200 ");
      rig.awaitReusableConnections();
      CountDownLatch goOn = new CountDownLatch(1);
      rig.gateway.loop.execute(() -> Rig.awaitLatch(goOn));
      Rig.send(client, Rig.look(Rig.id(), ""));
      disconnection.apply(client);
      Rig.send(fresh, Rig.look(Rig.id(), ""));
      disconnection.apply(fresh);
      goOn.countDown();
      rig.runLoopIterations();
      assertThat(host.heads).hasSize(1);
      assertThat(rig.metric("left.waiting")).isEqualTo(2);
      assertThat(rig.metric("left.sent")).isZero();
      assertForgotten(rig, host);
    }
  }

  /** It waits with its end in the kernel until there is room for it. */
  @ParameterizedTest
  @EnumSource
  void beforeItIsLetIn(Disconnection disconnection) throws Exception {
    CountDownLatch goOn = new CountDownLatch(1);
    try (FakeServer host = Rig.blockingHost("/dispatch/wait", goOn);
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(60 + 56 + Management.DESCRIPTORS, discovery, host)) {
      Socket[] first = new Socket[20];
      for (int i = 0; i < first.length; i++) {
        first[i] = rig.connect();
        Rig.send(first[i], Rig.dispatch(Rig.id(), "").replace("/dispatch ", "/dispatch/wait "));
        int taken = i + 1;
        Rig.await("in hand", () -> host.heads.size() == taken);
      }
      try (Socket late = rig.connect()) {
        Rig.send(late, Rig.look(Rig.id(), ""));
        disconnection.apply(late);
        rig.runLoopIterations();
        goOn.countDown();
        for (Socket socket : first) {
          assertThat(Rig.receive(socket)).contains(" 200 ");
          socket.close();
        }
        rig.runLoopIterations();
        assertThat(host.heads).hasSize(first.length);
        assertForgotten(rig, host);
      }
    } finally {
      goOn.countDown();
    }
  }

  /** The module holds it, as there is no host; one comes when the client has left. */
  @ParameterizedTest
  @EnumSource
  void whileItIsHeld(Disconnection disconnection) throws Exception {
    try (FakeServer host = answering();
        FakeDiscovery discovery = new FakeDiscovery(Rig.list(1, true));
        Rig rig = new Rig(160, discovery.server);
        Socket client = rig.connect()) {
      Rig.await("the list", () -> discovery.watchesAnswered() == 1);
      Rig.send(client, Rig.look(Rig.id(), ""));
      Rig.await("it is taken", () -> rig.metric("in_progress") == 1);
      disconnection.apply(client);
      rig.runLoopIterations();
      assertThat(rig.metric("in_progress")).isZero();
      discovery.push(Rig.list(2, false, Rig.entry(host.address(), "Ready")));
      Rig.await("the host is known", () -> rig.metric("known_hosts") == 1);
      rig.runLoopIterations();
      assertThat(host.heads).isEmpty();
      assertForgotten(rig, host);
    }
  }

  /** The list brings a host in the same turn in which the client's end is read. */
  @ParameterizedTest
  @EnumSource
  void whileItIsHeldAndTheLoopStandsStill(Disconnection disconnection) throws Exception {
    try (FakeServer host = answering();
        FakeDiscovery discovery = new FakeDiscovery(Rig.list(1, true));
        Rig rig = new Rig(160, discovery.server);
        Socket client = rig.connect()) {
      Rig.await("the list", () -> discovery.watchesAnswered() == 1);
      Rig.send(client, Rig.look(Rig.id(), ""));
      Rig.await("it is taken", () -> rig.metric("in_progress") == 1);
      CountDownLatch goOn = new CountDownLatch(1);
      rig.gateway.loop.execute(() -> Rig.awaitLatch(goOn));
      discovery.push(Rig.list(2, false, Rig.entry(host.address(), "Ready")));
      disconnection.apply(client);
      goOn.countDown();
      Rig.await("the host is known", () -> rig.metric("known_hosts") == 1);
      rig.runLoopIterations();
      assertThat(host.heads).isEmpty();
      assertForgotten(rig, host);
    }
  }

  /** Its connection to the host comes up once the client has left. */
  @ParameterizedTest
  @EnumSource
  void whileItWaitsForAConnection(Disconnection disconnection) throws Exception {
    try (FullBacklogListener late = new FullBacklogListener();
        FakeDiscovery discovery =
            new FakeDiscovery(Rig.list(1, true, Rig.entry(late.address(), "Ready")));
        Rig rig = new Rig(160, discovery.server);
        Socket client = rig.connect()) {
      Rig.await("the list", () -> rig.metric("known_hosts") == 1);
      Rig.send(client, Rig.look(Rig.id(), ""));
      Rig.await("it is taken", () -> rig.metric("in_progress") == 1);
      rig.runLoopIterations();
      disconnection.apply(client);
      rig.runLoopIterations();
      assertThat(rig.metric("in_progress")).isZero();
      assertThat(late.acceptAndCountSenders()).isZero();
      assertThat(rig.metric("upstream_tries")).isZero();
    }
  }

  /** A failed attempt and the client's end are read in the same turn. */
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
        FakeServer second = answering();
        FakeDiscovery discovery =
            new FakeDiscovery(Rig.list(1, true, Rig.entry(first.address(), "Ready")));
        Rig rig = new Rig(160, discovery.server);
        Socket client = rig.connect()) {
      Rig.await("the list", () -> rig.metric("known_hosts") == 1);
      Rig.send(client, Rig.look(Rig.id(), ""));
      Rig.await("the first has it", () -> first.heads.size() == 1);
      discovery.push(
          Rig.list(
              2,
              true,
              Rig.entry(first.address(), "Terminating"),
              Rig.entry(second.address(), "Ready")));
      Rig.await("both are known", () -> rig.metric("known_hosts") == 2);
      CountDownLatch goOn = new CountDownLatch(1);
      rig.gateway.loop.execute(() -> Rig.awaitLatch(goOn));
      fail.countDown();
      Rig.awaitLatch(failed);
      disconnection.apply(client);
      goOn.countDown();
      rig.runLoopIterations();
      rig.runLoopIterations();
      assertThat(second.heads).isEmpty();
      assertThat(rig.metric("left.sent")).isEqualTo(1);
      assertForgotten(rig, second);
    }
  }

  /** What comes ahead of an answer is not sent on either, once the client that reads none left. */
  @Test
  void whileItStandsBehindAnAnswerThatIsNotRead() throws Exception {
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
      Rig.await("its answer has begun", () -> rig.metric("passed.look") == 1);
      Rig.send(client, Rig.look(Rig.id(), ""));
      rig.runLoopIterations();
      client.setSoLinger(true, 0);
      client.close();
      rig.runLoopIterations();
      assertThat(host.heads).hasSize(1);
      assertForgotten(rig, host);
    }
  }

  /** The rest of its body never comes: no host is left with a request that might run. */
  @ParameterizedTest
  @EnumSource
  void inMidUpload(Disconnection disconnection) throws Exception {
    try (FakeServer host = answering();
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(160, discovery, host);
        Socket client = rig.connect()) {
      int length = 1 << 20;
      Rig.send(client, Rig.dispatch(Rig.id(), "Content-Length: " + length + "\r\n"));
      Rig.send(client, "x".repeat(length / 2));
      Rig.await("it has begun at the host", () -> host.connections.get() == 1);
      rig.runLoopIterations();
      disconnection.apply(client);
      Rig.await("it is over", () -> rig.metric("in_progress") == 0);
      rig.runLoopIterations();
      assertThat(host.heads).isEmpty();
      assertForgotten(rig, host);
    }
  }
}
