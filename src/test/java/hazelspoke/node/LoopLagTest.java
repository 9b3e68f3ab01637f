package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
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
   * late.
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

  /** A gateway whose event loop can be slowed down, and a host that notes when a head arrives. */
  private static final class HostAndGateway implements AutoCloseable {
    private final AtomicBoolean isBusy = new AtomicBoolean();
    private final ServerSocket host = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final FakeServer discovery =
        Rig.discovery(Rig.list(2, true, Rig.entry("127.0.0.1:" + host.getLocalPort(), "Ready")));
    private final Rig gateway = new Rig(160, discovery);
    private volatile String lastHead;
    private volatile long headArrivedAtNanos;

    HostAndGateway() throws Exception {
      new Thread(this::serve).start();
    }

    /** Answers the requests on one connection: the gateway keeps it between requests. */
    private void serve() {
      try (Socket connection = host.accept()) {
        String head;
        while ((head = FakeServer.head(connection.getInputStream())) != null) {
          headArrivedAtNanos = System.nanoTime();
          lastHead = head;
          FakeServer.body(connection.getInputStream(), head);
          FakeServer.respond(connection.getOutputStream(), FakeServer.ok("good"));
        }
      } catch (IOException e) {
        // The test has ended.
      }
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

    /** Asserts that the host is given no more time than the client has left. */
    void assertTimeIsCounted(Socket client, long sentAtNanos) throws IOException {
      assertThat(Rig.receive(client)).endsWith("good");
      isBusy.set(false);
      double passedS = (headArrivedAtNanos - sentAtNanos) / 1e9;
      assertThat(passedS).isGreaterThan(4 * ITERATION_MS / 1e3);
      assertThat(remainingS(lastHead)).isLessThan(20.0 - passedS);
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
