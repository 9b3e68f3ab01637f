package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Deadlines of requests that arrive while the event loop is stalled. */
class LoopLagTest {
  /** Far longer than the request's deadline, so that timing noise cannot make it seem in time. */
  private static final long STALL_MS = 2_000;

  @Test
  void refusesRequestThatWasUnreadPastItsDeadlineWithoutCallingAHost() throws Exception {
    try (FakeServer host =
            new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok("good")));
        FakeServer discovery = Rig.discovery(Rig.list(2, host));
        Rig rig = new Rig(160, discovery, host);
        Socket client = rig.connect()) {
      Rig.send(client, Rig.dispatch(Rig.id(), ""));
      assertThat(Rig.receive(client)).endsWith("good");
      rig.gateway.loop.execute(LoopLagTest::block);
      Rig.send(client, Rig.dispatch(Rig.id(), "").replace("20.0", "0.5"));
      assertThat(Rig.receive(client)).startsWith("HTTP/1.1 503");
      // After the stall, the next request has its full deadline.
      Rig.send(client, Rig.dispatch(Rig.id(), ""));
      assertThat(Rig.receive(client)).endsWith("good");
      assertThat(host.heads).hasSize(2);
    }
  }

  private static void block() {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STALL_MS);
    while (System.nanoTime() < end) {
      Thread.onSpinWait();
    }
  }
}
