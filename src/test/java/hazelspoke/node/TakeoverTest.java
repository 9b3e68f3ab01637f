package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.net.Transport;
import hazelspoke.takeover.ServingPidFile;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Handover between two gateway processes on one address while clients connect and send requests.
 */
class TakeoverTest {
  private static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

  private static Gateway successor(Rig rig, FakeServer discovery) throws Exception {
    rig.configure(
        rig.config(160, discovery.address())
            .replace("127.0.0.1:0", "127.0.0.1:" + rig.address.getPort())
            .replace("\"pushed\"", "\"on_request\""));
    Gateway next =
        new Gateway(
            GatewayConfig.read(rig.environment), new PrintStream(rig.log, true), Transport.TCP);
    next.maxDeadlineMs = Rig.PATIENCE_MS;
    next.openManagement();
    rig.shareFiles(next, 2);
    next.start();
    return next;
  }

  /** Clients wait in the accept queue of either process when the older one shuts down. */
  @Test
  void servesQueuedClientsAndSendsNewOnesToTheSuccessor() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    List<Socket> waiting = new ArrayList<>();
    try (FakeServer host = Rig.blockingHost("/dispatch/wait", release);
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(300, discovery, host);
        Socket held = rig.connect();
        Socket idle = rig.connect()) {
      Rig.send(idle, Rig.dispatch(Rig.id(), ""));
      assertThat(Rig.receive(idle)).contains(" 200 ").doesNotContain("close");
      Rig.send(held, Rig.dispatch(Rig.id(), "").replace("/dispatch ", "/dispatch/wait "));
      Rig.await("the host has it", () -> host.heads.size() == 2);
      Rig.await("the first watch", () -> discovery.heads.size() == 1);
      Gateway next = successor(rig, discovery);
      Rig.await("the new one watches at once", () -> discovery.heads.size() == 2);
      CountDownLatch busy = new CountDownLatch(1);
      rig.gateway.loop.execute(() -> Rig.awaitLatch(busy));
      for (int i = 0; i < 40; i++) {
        Socket socket = rig.connect();
        waiting.add(socket);
        Rig.send(socket, Rig.dispatch(Rig.id(), ""));
      }
      Thread shutdown = new Thread(rig::shutDown);
      shutdown.start();
      Rig.await("the shutdown has begun", () -> shutdown.getState() == Thread.State.TIMED_WAITING);
      busy.countDown();
      for (Socket socket : waiting) {
        assertThat(Rig.receive(socket)).contains(" 200 ");
      }
      Rig.await("the listener is closed", () -> rig.log.toString().contains("handing over"));
      for (int i = 0; i < 20; i++) {
        assertThat(rig.request(Rig.dispatch(Rig.id(), "")))
            .contains(" 200 ")
            .doesNotContain("close");
        assertThat(rig.request(HEALTH)).contains(" 200 ");
      }
      // Idle connections are closed, so that their clients reconnect to the successor.
      assertThat(idle.getInputStream().read()).isEqualTo(-1);
      release.countDown();
      assertThat(Rig.receive(held)).contains(" 200 ").containsIgnoringCase("connection: close");
      shutdown.join();
      assertThat(rig.request(HEALTH)).contains(" 200 ");
      next.stop();
    } finally {
      release.countDown();
      for (Socket socket : waiting) {
        socket.close();
      }
    }
  }

  /** Guards against a second run by the process that does not have the request itself. */
  @ParameterizedTest
  @CsvSource({"dispatch, false", "dispatch, true", "reserve, true", "look, false"})
  void neitherProcessAcceptsTheIdOfAnOpenRequestOfTheOther(String requestClass, boolean clientLeft)
      throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    String request = SlowResponsesTest.request(requestClass);
    try (FakeServer host = Rig.blockingHost("/" + requestClass, release);
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(300, discovery, host);
        Socket first = rig.connect()) {
      Rig.send(first, request);
      Rig.await("the host has it", () -> host.heads.size() == 1);
      Gateway next = successor(rig, discovery);
      if (clientLeft) {
        first.close();
        rig.runLoopIterations();
      }
      // The kernel deals connections out to both processes.
      for (int i = 0; i < 20; i++) {
        assertThat(rig.request(request)).startsWith("HTTP/1.1 409");
      }
      release.countDown();
      if (!clientLeft) {
        assertThat(Rig.receive(first)).contains(" 200 ");
      }
      assertThat(host.heads).hasSize(1);
      next.stop();
    } finally {
      release.countDown();
    }
  }

  /** Guards against a second run after a restart: its first run may go on at the host. */
  @Test
  void processThatIsStartedLaterKnowsTheIdsOfThePreviousOne() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    String request = SlowResponsesTest.request("dispatch");
    try (FakeServer host = Rig.blockingHost("/dispatch", release);
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(300, discovery, host);
        Socket client = rig.connect()) {
      Rig.send(client, request);
      Rig.await("the host has it", () -> host.heads.size() == 1);
      client.close();
      rig.shutDown();
      Gateway next = successor(rig, discovery);
      assertThat(rig.request(request)).startsWith("HTTP/1.1 409");
      assertThat(host.heads).hasSize(1);
      next.stop();
    } finally {
      release.countDown();
    }
  }

  @Test
  void newestRunningProcessIsTheSuccessorOfAllOthers(@TempDir Path folder) throws IOException {
    ServingPidFile first = new ServingPidFile(folder, "127.0.0.1-8081", 1, pid -> pid != 3);
    assertThat(first.hasSuccessor()).isFalse();
    assertThat(first.hasPredecessor()).isFalse();
    first.claim();
    assertThat(first.hasSuccessor()).isFalse();
    ServingPidFile elsewhere = new ServingPidFile(folder, "127.0.0.1-8082", 7, pid -> true);
    elsewhere.claim();
    assertThat(first.hasSuccessor()).isFalse();
    ServingPidFile second = new ServingPidFile(folder, "127.0.0.1-8081", 2, pid -> true);
    assertThat(second.hasPredecessor()).isTrue();
    second.claim();
    assertThat(first.hasSuccessor()).isTrue();
    assertThat(second.hasSuccessor()).isFalse();
    // A process that crashed after its start leaves its id behind.
    new ServingPidFile(folder, "127.0.0.1-8081", 3, pid -> true).claim();
    assertThat(first.hasSuccessor()).isFalse();
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.writeString(file, "no number");
      }
    }
    assertThat(second.hasSuccessor()).isFalse();
  }
}
