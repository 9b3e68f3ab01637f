package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import java.net.Socket;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A loop whose every turn is long, as on a machine that has no time for it: clients leave between
 * the moment at which the sockets were read and the moment at which something is sent for them.
 */
class SlowEventLoopTest {
  /** Longer than any look at the sockets stays good. */
  private static final int TURN_MS = 60;

  /** After so many turns whatever was to be sent has been sent. */
  private static final int ALL_TURNS = 14;

  /** Holds a loop up in each of its turns, behind the reading and before all else. */
  private static final class SteppedLoop implements AutoCloseable {
    private final EventLoop loop;
    private final Semaphore standing = new Semaphore(0);
    private final Semaphore goOn = new Semaphore(0);
    private volatile boolean over;

    SteppedLoop(EventLoop loop) {
      this.loop = loop;
      loop.schedule(this::stand, 0, TimeUnit.NANOSECONDS);
      standing.acquireUninterruptibly();
    }

    private void stand() {
      if (!over) {
        // Due first in the next turn.
        loop.schedule(this::stand, 0, TimeUnit.NANOSECONDS);
        standing.release();
        goOn.acquireUninterruptibly();
      }
    }

    /** Lets the loop do a turn's tasks and read for the next, and returns as it stands again. */
    void turn() throws InterruptedException {
      TimeUnit.MILLISECONDS.sleep(TURN_MS);
      goOn.release();
      standing.acquire();
    }

    @Override
    public void close() {
      over = true;
      goOn.release();
    }
  }

  /** The client leaves in one turn after the other of those that its request takes. */
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
  void nothingIsSentForAClientThatHasLeft(String requestClass, int turns) throws Exception {
    try (FakeServer host =
            new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok("done")));
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        Rig rig = new Rig(160, discovery, host);
        Socket client = rig.connect()) {
      Rig.send(client, Rig.dispatch(Rig.id(), ""));
      assertThat(Rig.receive(client)).contains(" 200 ");
      rig.awaitReusableConnections();
      try (SteppedLoop loop = new SteppedLoop(rig.gateway.loop)) {
        boolean look = requestClass.equals("look");
        Rig.send(client, look ? Rig.look(Rig.id(), "") : Rig.dispatch(Rig.id(), ""));
        for (int i = 0; i < turns; i++) {
          loop.turn();
        }
        long sent = rig.metric("upstream_tries");
        client.close();
        for (int i = turns; i < ALL_TURNS; i++) {
          loop.turn();
        }
        assertThat(rig.metric("upstream_tries")).isEqualTo(sent);
      }
    }
  }
}
