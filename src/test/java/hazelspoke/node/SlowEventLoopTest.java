package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import java.net.Socket;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Clients that disconnect after the event loop has polled the sockets and before it sends their
 * requests to a host. Each iteration of the loop is slow, as on an overloaded machine.
 */
class SlowEventLoopTest {
  /** Longer than the result of a poll of the sockets counts as current. */
  private static final int ITERATION_MS = 60;

  /** After this many iterations every request that will be sent has been sent. */
  private static final int MAX_ITERATIONS = 14;

  /** Blocks an event loop in each iteration, after reading and before all other tasks. */
  private static final class SteppedEventLoop implements AutoCloseable {
    private final EventLoop loop;
    private final Semaphore blocked = new Semaphore(0);
    private final Semaphore proceed = new Semaphore(0);
    private volatile boolean isClosed;

    SteppedEventLoop(EventLoop loop) {
      this.loop = loop;
      loop.schedule(this::block, 0, TimeUnit.NANOSECONDS);
      blocked.acquireUninterruptibly();
    }

    private void block() {
      if (!isClosed) {
        // Due first in the next iteration.
        loop.schedule(this::block, 0, TimeUnit.NANOSECONDS);
        blocked.release();
        proceed.acquireUninterruptibly();
      }
    }

    /**
     * Lets the loop run the tasks of one iteration and read for the next; returns when it is
     * blocked again.
     */
    void runIteration() throws InterruptedException {
      TimeUnit.MILLISECONDS.sleep(ITERATION_MS);
      proceed.release();
      blocked.acquire();
    }

    @Override
    public void close() {
      isClosed = true;
      proceed.release();
    }
  }

  /** The client disconnects in each of the iterations that its request takes. */
  @ParameterizedTest
  @CsvSource({
    "look, 2",
    "look, 3",
    "look, 4",
    "dispatch, 6",
    "dispatch, 7",
    "dispatch, 8",
    "dispatch, 9"
  })
  void sendsNothingForDisconnectedClient(String requestClass, int iterations) throws Exception {
    try (FakeServer host =
            new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok("done")));
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(160, discovery, host);
        Socket client = rig.connect()) {
      Rig.send(client, Rig.dispatch(Rig.id(), ""));
      assertThat(Rig.receive(client)).contains(" 200 ");
      rig.awaitReusableConnections();
      try (SteppedEventLoop loop = new SteppedEventLoop(rig.gateway.loop)) {
        boolean look = requestClass.equals("look");
        Rig.send(client, look ? Rig.look(Rig.id(), "") : Rig.dispatch(Rig.id(), ""));
        for (int i = 0; i < iterations; i++) {
          loop.runIteration();
        }
        long sent = rig.metric("upstream_tries");
        client.close();
        for (int i = iterations; i < MAX_ITERATIONS; i++) {
          loop.runIteration();
        }
        assertThat(rig.metric("upstream_tries")).isEqualTo(sent);
      }
    }
  }
}
