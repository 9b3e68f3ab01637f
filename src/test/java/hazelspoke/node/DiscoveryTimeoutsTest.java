package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.core.Clock;
import hazelspoke.core.Log;
import hazelspoke.core.Names;
import hazelspoke.discovery.DiscoveryClient;
import hazelspoke.net.DescriptorAccount;
import hazelspoke.net.Transport;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Discovery on request that fails calls in various ways: the gateway has to receive the list within
 * the time after which it is expected to know it. The settings allow 20 minutes between polls, so
 * that no timer derived from them fires during a test; the fake server forces the order of all
 * other events.
 */
class DiscoveryTimeoutsTest {
  private static final String READY = "Ready";
  private static final Names NO_NAMES =
      new Names(List.of(), List.of(), List.of(), List.of(), List.of());
  private static final UnaryOperator<String> ON_REQUEST =
      config ->
          config
              .replace("\"pushed\"", "\"on_request\"")
              .replace("\"must_ask_in\":10000", "\"must_ask_in\":1200000");

  private final FakeServer host =
      new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok("done")));
  private final ManualDiscovery discovery = new ManualDiscovery();
  private final FakeServer initialDiscovery = Rig.discovery(Rig.list(1));
  private final Rig rig = new Rig(160, initialDiscovery, ON_REQUEST);
  private final AtomicInteger failures = new AtomicInteger();
  private final AtomicInteger updates = new AtomicInteger();

  DiscoveryTimeoutsTest() throws Exception {}

  @AfterEach
  void close() throws Exception {
    rig.close();
    discovery.close();
    initialDiscovery.close();
    host.close();
  }

  /**
   * Moves discovery to the address of the test. A reload calls at once, but the first call after a
   * start would take minutes.
   */
  private void moveDiscovery() throws Exception {
    rig.configure(ON_REQUEST.apply(rig.config(160, discovery.address())));
    rig.gateway.reload(rig.environment);
  }

  private ManualDiscovery.Call acceptWatch() throws Exception {
    ManualDiscovery.Call call = discovery.accept();
    assertThat(call.head).contains("watch=1&from=");
    return call;
  }

  private void sendListAndAwaitHost(ManualDiscovery.Call call, int hosts) throws Exception {
    call.send(Rig.list(hosts, true, Rig.entry(host.address(), READY)));
    Rig.await("the list", () -> rig.metric("known_hosts") == 1);
  }

  @Test
  void retriesAfterRepeatedResets() throws Exception {
    moveDiscovery();
    for (int i = 0; i < 6; i++) {
      ManualDiscovery.Call call = acceptWatch();
      call.reset();
    }
    sendListAndAwaitHost(acceptWatch(), 1);
  }

  /**
   * Only 4 s are allowed after SIGHUP, so the first failure is followed by a call without a delay.
   */
  @Test
  void retriesFirstFailureAfterMoveWithoutBackoff() throws Exception {
    moveClientWithoutBalancer();
    ManualDiscovery.Call first = acceptWatch();
    first.reset();
    ManualDiscovery.Call second = acceptWatch();
    assertThat(failures).hasValue(0);
    second.reset();
    Rig.await("the second failure is left to the balancer", () -> failures.get() == 1);
  }

  /** The balancer's back-off is limited, as failed calls have used up time already. */
  @Test
  void makesThirdCallAfterTwoFailuresWithoutBalancer() throws Exception {
    moveClientWithoutBalancer();
    ManualDiscovery.Call first = acceptWatch();
    first.reset();
    for (int i = 1; i <= 2; i++) {
      int expectedFailures = i;
      acceptWatch().reject();
      Rig.await(
          "the failure is reported to the balancer", () -> failures.get() == expectedFailures);
    }
    acceptWatch().send(Rig.list(1, true));
    Rig.await("the list", () -> updates.get() == 1);
  }

  /**
   * Moves a client whose failure listener never calls discovery, so that all calls are the client's
   * own.
   */
  private void moveClientWithoutBalancer() throws Exception {
    DiscoveryClient client =
        new DiscoveryClient(
            rig.gateway.loop,
            Transport.TCP,
            new DescriptorAccount(rig.gateway.loop),
            new DiscoveryClient.InitialState(
                new InetSocketAddress("127.0.0.1", 1), false, NO_NAMES, 0),
            new Clock(),
            new Log(new PrintStream(rig.log, true), new Clock()),
            update -> updates.incrementAndGet(),
            unresponsive -> failures.incrementAndGet());
    InetSocketAddress address = discovery.socketAddress();
    rig.gateway.loop.submit(() -> client.moveTo(address)).sync();
  }

  @Test
  void retriesAfterRepeatedRejections() throws Exception {
    moveDiscovery();
    for (int i = 0; i < 6; i++) {
      acceptWatch().reject();
    }
    sendListAndAwaitHost(acceptWatch(), 1);
  }

  @Test
  void retriesRefusedConnections() throws Exception {
    discovery.refuseCalls();
    moveDiscovery();
    Rig.await(
        "refused calls",
        () -> rig.log.toString().lines().filter(l -> l.contains("a watch failed")).count() >= 5);
    discovery.reopen();
    sendListAndAwaitHost(acceptWatch(), 1);
  }

  /** Each watch that ends without any data is a failure. */
  @Test
  void retriesWatchesThatEndWithoutData() throws Exception {
    moveDiscovery();
    for (int i = 0; i < 6; i++) {
      ManualDiscovery.Call call = acceptWatch();
      call.end();
    }
    sendListAndAwaitHost(acceptWatch(), 1);
  }

  /** A watch that received a list and an empty line ends where a change would follow. */
  @Test
  void reopensWatchesThatEndAfterTheirList() throws Exception {
    moveDiscovery();
    for (int i = 1; i <= 4; i++) {
      ManualDiscovery.Call call = acceptWatch();
      sendListAndAwaitHost(call, i);
      call.endAfterEmptyLine();
    }
    // A complete list removes the hosts that it omits.
    acceptWatch().send(Rig.list(5, true));
    Rig.await("an empty list", () -> rig.metric("known_hosts") == 0);
  }

  /** The first call receives nothing: a second one is opened in parallel and answered. */
  @Test
  void hedgesUnresponsiveFirstCall() throws Exception {
    moveDiscovery();
    ManualDiscovery.Call unresponsive = acceptWatch();
    ManualDiscovery.Call hedge = acceptWatch();
    assertThat(unresponsive.isOpen()).isTrue();
    assertThat(rig.log.toString()).doesNotContain("a watch failed");
    sendListAndAwaitHost(hedge, 1);
    Rig.await("the unresponsive call is closed", () -> !unresponsive.isOpen());
  }

  /** The first of two parallel calls may be answered as well. */
  @Test
  void usesLateAnswerOfFirstCall() throws Exception {
    moveDiscovery();
    ManualDiscovery.Call late = acceptWatch();
    ManualDiscovery.Call hedge = acceptWatch();
    sendListAndAwaitHost(late, 1);
    Rig.await("the parallel call is closed", () -> !hedge.isOpen());
  }

  /** At most two calls wait in parallel, however long discovery is unresponsive. */
  @Test
  void limitsParallelCallsToTwo() throws Exception {
    moveDiscovery();
    ManualDiscovery.Call first = acceptWatch();
    ManualDiscovery.Call second = acceptWatch();
    ManualDiscovery.Call third = acceptWatch();
    Rig.await("the first call is closed", () -> !first.isOpen());
    assertThat(second.isOpen()).isTrue();
    assertThat(third.isOpen()).isTrue();
    sendListAndAwaitHost(second, 1);
  }

  /**
   * One of two parallel calls is rejected: the other still waits, and no failure triggers back-off.
   */
  @Test
  void keepsFirstCallOpenIfHedgeIsRejected() throws Exception {
    moveDiscovery();
    ManualDiscovery.Call unresponsive = acceptWatch();
    acceptWatch().reject();
    ManualDiscovery.Call third = acceptWatch();
    assertThat(unresponsive.isOpen()).isTrue();
    sendListAndAwaitHost(third, 1);
  }

  /** A watch becomes unresponsive after its list and is replaced. */
  @Test
  void replacesUnresponsiveWatch() throws Exception {
    moveDiscovery();
    ManualDiscovery.Call watch = acceptWatch();
    sendListAndAwaitHost(watch, 1);
    ManualDiscovery.Call replacement = acceptWatch();
    replacement.send(Rig.list(2, true));
    Rig.await("an empty list", () -> rig.metric("known_hosts") == 0);
    assertThat(watch.isOpen()).isFalse();
  }
}
