package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Pending and new requests while the gateway shuts down. */
class ShutdownTest {
  /** With this limit 20 clients are accepted, and 24 connections to hosts are possible. */
  private static final int SOCKETS = 60 + 56 + Management.DESCRIPTORS;

  private static final int ACCEPTED = 20;
  private static final int ALL = 128;

  private static String heldRequest() {
    return Rig.dispatch(Rig.id(), "").replace("/dispatch ", "/dispatch/wait ");
  }

  /**
   * All but 20 of 128 clients wait in the accept queue with complete requests when the listener
   * closes.
   */
  @Test
  void answersClientsInTheAcceptQueueWhenTheListenerCloses() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    List<Socket> sockets = new ArrayList<>();
    try (FakeServer host = Rig.blockingHost("/dispatch/wait", release);
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(SOCKETS, discovery, host)) {
      for (int i = 0; i < ALL; i++) {
        Socket socket = rig.connect();
        sockets.add(socket);
        Rig.send(socket, i < ACCEPTED ? heldRequest() : Rig.dispatch(Rig.id(), ""));
        int accepted = Math.min(i + 1, ACCEPTED);
        Rig.await("the requests at the host", () -> host.heads.size() == accepted);
      }
      rig.runLoopIterations();
      assertThat(rig.metric("in_progress")).isEqualTo(ACCEPTED);
      Thread shutdown = rig.beginShutdown();
      release.countDown();
      for (Socket socket : sockets) {
        // Some are accepted but find no free connection to a host, and are refused.
        assertThat(Rig.receive(socket))
            .matches("(?s)HTTP/1.1 (200|503) .*")
            .containsIgnoringCase("connection: close");
        socket.close();
      }
      shutdown.join();
    } finally {
      release.countDown();
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  /**
   * The event loop stalls when the listener is due to close, and polled the sockets just before the
   * client wrote.
   */
  @Test
  void servesRequestThatIsUnreadWhenTheListenerCloses() throws Exception {
    try (FakeServer host =
            new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok("done")));
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(160, discovery, host);
        Socket client = rig.connect()) {
      rig.runLoopIterations();
      Thread shutdown = new Thread(rig::shutDown);
      shutdown.start();
      Rig.await("the shutdown has begun", () -> rig.log.toString().contains("taking leave"));
      CountDownLatch read = new CountDownLatch(1);
      CountDownLatch written = new CountDownLatch(1);
      // Due before the tasks at 500 ms, but run in the same event-loop iteration, as both are late.
      rig.gateway.loop.schedule(
          () -> {
            read.countDown();
            Rig.awaitLatch(written);
          },
          100,
          TimeUnit.MILLISECONDS);
      CountDownLatch never = new CountDownLatch(1);
      rig.gateway.loop.execute(
          () -> {
            try {
              never.await(700, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          });
      Rig.awaitLatch(read);
      Rig.send(client, Rig.dispatch(Rig.id(), ""));
      written.countDown();
      assertThat(Rig.receive(client)).contains(" 200 ").containsIgnoringCase("connection: close");
      shutdown.join();
    }
  }

  /**
   * The request is completed during the shutdown, and its deadline is after the end of the process.
   */
  @Test
  void failsRequestsThatCannotBeAnsweredBeforeTheEnd() throws Exception {
    CountDownLatch never = new CountDownLatch(1);
    try (FakeServer host = Rig.blockingHost("/dispatch/wait", never);
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig =
            new Rig(
                160,
                discovery,
                config -> config.replace("\"hard_limit\":20000", "\"hard_limit\":500"),
                host);
        Socket client = rig.connect()) {
      Rig.send(client, heldRequest().replace("\r\n\r\n", "\r\nContent-Length: 2\r\n\r\n1"));
      rig.runLoopIterations();
      Thread shutdown = rig.beginShutdown();
      Rig.send(client, "2");
      assertThat(Rig.receive(client)).matches("(?s)HTTP/1.1 50[24] .*");
      shutdown.join();
    } finally {
      never.countDown();
    }
  }

  /** SIGKILL may follow 3.7 s after SIGTERM, however long the deadlines are. */
  @Test
  void doesNotWaitForDeadlinesOverThreeSeconds() throws Exception {
    CountDownLatch never = new CountDownLatch(1);
    try (FakeServer host = Rig.blockingHost("/dispatch/wait", never);
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(160, discovery, host);
        Socket client = rig.connect()) {
      rig.gateway.maxDeadlineMs = Gateway.MAX_DEADLINE_MS;
      Rig.send(client, heldRequest());
      Rig.await("the host has it", () -> host.heads.size() == 1);
      // The host never responds, and the client's deadline is 20 s.
      long begin = System.nanoTime();
      rig.shutDown();
      assertThat(System.nanoTime() - begin).isLessThan(TimeUnit.SECONDS.toNanos(15));
      assertThat(Rig.receive(client)).matches("(?s)HTTP/1.1 50[24] .*");
    } finally {
      never.countDown();
    }
  }

  /** A connection without any request is kept open only for a moment. */
  @Test
  void idleClientsDoNotDelayTheShutdown() throws Exception {
    try (FakeServer host =
            new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok("done")));
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(160, discovery, host);
        Socket unused = rig.connect();
        Socket idle = rig.connect()) {
      Rig.send(idle, Rig.dispatch(Rig.id(), ""));
      assertThat(Rig.receive(idle)).contains(" 200 ");
      long begin = System.nanoTime();
      rig.shutDown();
      // The longest deadline is 20 s, and the idle clients never disconnect.
      assertThat(System.nanoTime() - begin).isLessThan(TimeUnit.SECONDS.toNanos(10));
      assertThat(idle.getInputStream().read()).isEqualTo(-1);
      assertThat(unused.getInputStream().read()).isEqualTo(-1);
    }
  }
}
