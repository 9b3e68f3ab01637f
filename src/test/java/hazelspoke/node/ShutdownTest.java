package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What clients are owed while the gateway takes leave. */
class ShutdownTest {
  /** With these sockets 20 clients are let in, and hosts may be called 24 times at once. */
  private static final int SOCKETS = 60 + 56 + Management.DESCRIPTORS;

  private static final int LET_IN = 20;
  private static final int ALL = 128;

  private static String waits() {
    return Rig.dispatch(Rig.id(), "").replace("/dispatch ", "/dispatch/wait ");
  }

  /** All but 20 of 128 wait in the kernel with whole requests when the listener is to close. */
  @Test
  void whoWaitsToBeLetInWhenTheListenerClosesIsAnswered() throws Exception {
    CountDownLatch goOn = new CountDownLatch(1);
    List<Socket> sockets = new ArrayList<>();
    try (FakeServer host = Rig.blockingHost("/dispatch/wait", goOn);
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(SOCKETS, discovery, host)) {
      for (int i = 0; i < ALL; i++) {
        Socket socket = rig.connect();
        sockets.add(socket);
        Rig.send(socket, i < LET_IN ? waits() : Rig.dispatch(Rig.id(), ""));
        int taken = Math.min(i + 1, LET_IN);
        Rig.await("in hand", () -> host.heads.size() == taken);
      }
      rig.runLoopIterations();
      assertThat(rig.metric("in_progress")).isEqualTo(LET_IN);
      Thread leaving = rig.beginShutdown();
      goOn.countDown();
      for (Socket socket : sockets) {
        // Some are let in that find no socket to a host, and are refused.
        assertThat(Rig.receive(socket))
            .matches("(?s)HTTP/1.1 (200|503) .*")
            .containsIgnoringCase("connection: close");
        socket.close();
      }
      leaving.join();
    } finally {
      goOn.countDown();
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  /** The loop stands still over the moment, with the sockets read just before the client wrote. */
  @Test
  void aRequestThatLiesUnreadAtTheMomentOfTheLeaveIsServed() throws Exception {
    try (FakeServer host =
            new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok("done")));
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(160, discovery, host);
        Socket client = rig.connect()) {
      rig.runLoopIterations();
      Thread leaving = new Thread(rig::shutDown);
      leaving.start();
      Rig.await("told to leave", () -> rig.log.toString().contains("taking leave"));
      CountDownLatch read = new CountDownLatch(1);
      CountDownLatch written = new CountDownLatch(1);
      // Due before what comes at 500 ms, and told in the same turn: both are late by then.
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
      leaving.join();
    }
  }

  /** It becomes whole in the leave, and its time is longer than what is left of the process. */
  @Test
  void whatCannotBeAnsweredBeforeTheEndIsAnsweredAsFailed() throws Exception {
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
      Rig.send(client, waits().replace("\r\n\r\n", "\r\nContent-Length: 2\r\n\r\n1"));
      rig.runLoopIterations();
      Thread leaving = rig.beginShutdown();
      Rig.send(client, "2");
      assertThat(Rig.receive(client)).matches("(?s)HTTP/1.1 50[24] .*");
      leaving.join();
    } finally {
      never.countDown();
    }
  }

  /** SIGKILL may come 3.7 s after SIGTERM, however long the deadlines are. */
  @Test
  void deadlinesOfMoreThanThreeSecondsAreNotWaitedFor() throws Exception {
    CountDownLatch never = new CountDownLatch(1);
    try (FakeServer host = Rig.blockingHost("/dispatch/wait", never);
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(160, discovery, host);
        Socket client = rig.connect()) {
      rig.gateway.maxDeadlineMs = Gateway.MAX_DEADLINE_MS;
      Rig.send(client, waits());
      Rig.await("the host has it", () -> host.heads.size() == 1);
      // The host answers never, and the client's time is 20 s.
      long begin = System.nanoTime();
      rig.shutDown();
      assertThat(System.nanoTime() - begin).isLessThan(TimeUnit.SECONDS.toNanos(15));
      assertThat(Rig.receive(client)).matches("(?s)HTTP/1.1 50[24] .*");
    } finally {
      never.countDown();
    }
  }

  /** Nothing has been asked on it: it is waited for a moment, and not for ever. */
  @Test
  void aClientThatNeverSpeaksDoesNotHoldTheLeaveUp() throws Exception {
    try (FakeServer host =
            new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok("done")));
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(160, discovery, host);
        Socket silent = rig.connect();
        Socket resting = rig.connect()) {
      Rig.send(resting, Rig.dispatch(Rig.id(), ""));
      assertThat(Rig.receive(resting)).contains(" 200 ");
      long begin = System.nanoTime();
      rig.shutDown();
      // Its longest deadline is 20 s; whoever rests here never says good-bye.
      assertThat(System.nanoTime() - begin).isLessThan(TimeUnit.SECONDS.toNanos(10));
      assertThat(resting.getInputStream().read()).isEqualTo(-1);
      assertThat(silent.getInputStream().read()).isEqualTo(-1);
    }
  }
}
