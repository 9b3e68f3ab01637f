package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Retries of requests with an idempotency key, which hosts recognize only within a window. */
class DedupWindowTest {
  private static final int WINDOW_MS = 2_000;

  /** The retry is decided well within the window, but its connection is established after it. */
  @Test
  void doesNotSendRetryAfterDedupWindow() throws Exception {
    CountDownLatch fail = new CountDownLatch(1);
    try (FakeServer first =
            new FakeServer(
                (head, out) -> {
                  Rig.awaitLatch(fail);
                  return FakeServer.respond(out, "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n");
                });
        FullBacklogListener late = new FullBacklogListener();
        FakeDiscovery discovery =
            new FakeDiscovery(Rig.list(1, true, Rig.entry(first.address(), "Ready")));
        Rig rig =
            new Rig(
                160,
                discovery.server,
                config -> config.replace("\"window\":20000", "\"window\":" + WINDOW_MS));
        Socket client = rig.connect()) {
      Rig.await("the list", () -> rig.metric("known_hosts") == 1);
      Rig.send(
          client,
          Rig.dispatch(Rig.id(), "Idempotency-Key: k\r\nContent-Length: 0\r\n")
              .replace("dispatch", "reserve"));
      Rig.await("the first host has the request", () -> first.heads.size() == 1);
      discovery.push(Rig.list(2, false, Rig.entry(late.address(), "Ready")));
      Rig.await("the second host is known", () -> rig.metric("known_hosts") == 2);
      fail.countDown();
      CountDownLatch windowExpired = new CountDownLatch(1);
      rig.gateway.loop.schedule(windowExpired::countDown, WINDOW_MS + 200, TimeUnit.MILLISECONDS);
      Rig.awaitLatch(windowExpired);
      assertThat(late.acceptAndCountSenders()).isZero();
      assertThat(rig.metric("upstream_tries")).isEqualTo(1);
    }
  }
}
