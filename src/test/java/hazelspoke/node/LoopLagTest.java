package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Deadlines of requests that arrive while the event loop is stalled. */
class LoopLagTest {
  /** Far longer than the request's deadline, so that timing noise cannot make it seem in time. */
  private static final long STALL_MS = 2_000;

  private static final String REMAINING = "X-Remaining: ";

  private static final long ITERATION_MS = 100;

  /** A body that takes several reads. */
  private static final int BODY_BYTES = 60_000;

  @Test
  void refusesRequestThatWasUnreadPastItsDeadlineWithoutCallingAHost() throws Exception {
    try (FakeServer host =
            new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok("good")));
        FakeServer discovery = Rig.discovery(Rig.list(2, host));
        Rig rig = new Rig(160, discovery, host);
        Socket client = rig.connect()) {
      Rig.send(client, Rig.dispatch(Rig.id(), ""));
      assertThat(Rig.receive(client)).endsWith("good");
      rig.gateway.loop.execute(() -> block(STALL_MS));
      Rig.send(client, Rig.dispatch(Rig.id(), "").replace("20.0", "0.5"));
      assertThat(Rig.receive(client)).startsWith("HTTP/1.1 503");
      // After the stall, the next request has its full deadline.
      Rig.send(client, Rig.dispatch(Rig.id(), ""));
      assertThat(Rig.receive(client)).endsWith("good");
      assertThat(host.heads).hasSize(2);
    }
  }

  /**
   * Guards against bodies that are read in several event-loop iterations and whose time counts from
   * the last of them: their last byte arrived before the first, and their clients were answered
   * late. The wait before the first read is estimated, and the request may wait for an iteration
   * before it is written.
   */
  @Test
  void countsTheIterationsThatReadABodyAsTimeOfTheRequest() throws Exception {
    try (HostAndGateway rig = new HostAndGateway();
        Socket client = rig.gateway.connect()) {
      Rig.send(client, Rig.dispatch(Rig.id(), ""));
      assertThat(Rig.receive(client)).endsWith("good");
      rig.blockEveryIteration();
      String request = Rig.dispatch(Rig.id(), "Content-Length: " + BODY_BYTES + "\r\n");
      Rig.send(client, request + "b".repeat(BODY_BYTES));
      rig.assertTimeIsCounted(client, System.nanoTime());
    }
  }

  /** A gateway whose event loop can be slowed down, and its host. */
  private static final class HostAndGateway implements AutoCloseable {
    private final AtomicLong reachedHostAtNanos = new AtomicLong();
    private final AtomicBoolean isBusy = new AtomicBoolean();
    private final FakeServer host = new FakeServer(this::respond);
    private final FakeServer discovery = Rig.discovery(Rig.list(2, host));
    private final Rig gateway = new Rig(160, discovery, host);

    HostAndGateway() throws Exception {}

    private boolean respond(String head, OutputStream out) throws IOException {
      reachedHostAtNanos.set(System.nanoTime());
      return FakeServer.respond(out, FakeServer.ok("good"));
    }

    /** Makes every iteration of the event loop last for at least {@link #ITERATION_MS}. */
    void blockEveryIteration() {
      isBusy.set(true);
      gateway.gateway.loop.execute(this::blockIteration);
    }

    private void blockIteration() {
      block(ITERATION_MS);
      if (isBusy.get()) {
        EventLoop loop = gateway.gateway.loop;
        loop.schedule(() -> loop.execute(this::blockIteration), 0, TimeUnit.NANOSECONDS);
      }
    }

    /** Asserts that the time since a request was sent is not left to its host. */
    void assertTimeIsCounted(Socket client, long sentAtNanos) throws IOException {
      assertThat(Rig.receive(client)).endsWith("good");
      isBusy.set(false);
      double passedS = (reachedHostAtNanos.get() - sentAtNanos) / 1e9;
      String head = host.heads.get(host.heads.size() - 1);
      assertThat(passedS).isGreaterThan(4 * ITERATION_MS / 1e3);
      assertThat(remainingS(head)).isLessThan(20.0 - passedS + 2 * ITERATION_MS / 1e3);
    }

    @Override
    public void close() throws Exception {
      isBusy.set(false);
      gateway.close();
      discovery.close();
      host.close();
    }
  }

  /** The time that the gateway gives a host, from the head of its request. */
  private static double remainingS(String head) {
    String fromValue = head.substring(head.indexOf(REMAINING) + REMAINING.length());
    return Double.parseDouble(fromValue.substring(0, fromValue.indexOf('\r')));
  }

  private static void block(long milliseconds) {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
    while (System.nanoTime() < end) {
      Thread.onSpinWait();
    }
  }
}
