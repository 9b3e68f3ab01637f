package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.core.HostLimit;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/**
 * Hosts that begin to drain get no new requests, and the gateway learns of it in time: during a
 * shutdown, after a reload, and after discovery was unresponsive.
 */
class DiscoveryUpdatesTest {
  private static final int HOSTS_PER_LINE = 1_000;

  private static final String READY = "Ready";
  private static final String TERMINATING = "Terminating";

  /** A host that fails each request once the latch opens. */
  private static FakeServer failingHost(CountDownLatch until) throws Exception {
    return new FakeServer(
        (head, out) -> {
          Rig.awaitLatch(until);
          return FakeServer.respond(out, "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n");
        });
  }

  private static FakeServer respondingHost(String text) throws Exception {
    return new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok(text)));
  }

  /** The second attempt is due during the shutdown, when its host has begun to drain. */
  @Test
  void followsListDuringShutdown() throws Exception {
    CountDownLatch fail = new CountDownLatch(1);
    try (FakeServer first = failingHost(fail);
        FakeServer second = respondingHost("second");
        FakeDiscovery discovery =
            new FakeDiscovery(Rig.list(1, true, Rig.entry(first.address(), READY)));
        Rig rig = new Rig(160, discovery.server);
        Socket client = rig.connect()) {
      Rig.await("the list", () -> rig.metric("known_hosts") == 1);
      Rig.send(client, Rig.look(Rig.id(), ""));
      Rig.await("the first host has the request", () -> first.heads.size() == 1);
      discovery.push(Rig.list(2, false, Rig.entry(second.address(), READY)));
      Rig.await("the second host is known", () -> rig.metric("known_hosts") == 2);
      Thread shutdown = rig.beginShutdown();
      discovery.push(Rig.list(3, false, Rig.entry(second.address(), TERMINATING)));
      rig.runLoopIterations();
      fail.countDown();
      rig.runLoopIterations();
      rig.runLoopIterations();
      assertThat(second.heads).isEmpty();
      discovery.push(Rig.list(4, false, Rig.entry(second.address(), READY)));
      assertThat(Rig.receive(client)).contains(" 200 ").endsWith("second");
      shutdown.join();
    }
  }

  @Test
  void movesDiscoveryOnReloadDuringShutdown() throws Exception {
    CountDownLatch fail = new CountDownLatch(1);
    try (FakeServer first = failingHost(fail);
        FakeServer second = respondingHost("second");
        FakeDiscovery before =
            new FakeDiscovery(Rig.list(1, true, Rig.entry(first.address(), READY)));
        FakeDiscovery after =
            new FakeDiscovery(Rig.list(1, true, Rig.entry(second.address(), READY)));
        Rig rig = new Rig(160, before.server);
        Socket client = rig.connect()) {
      Rig.await("the list", () -> rig.metric("known_hosts") == 1);
      Rig.send(client, Rig.look(Rig.id(), ""));
      Rig.await("the first host has the request", () -> first.heads.size() == 1);
      Thread shutdown = rig.beginShutdown();
      rig.configure(rig.config(160, after.address()));
      rig.gateway.reload(rig.environment);
      Rig.await("a watch at the new address", () -> after.watchesAnswered() == 1);
      rig.runLoopIterations();
      fail.countDown();
      assertThat(Rig.receive(client)).contains(" 200 ").endsWith("second");
      shutdown.join();
    }
  }

  /** The connection to the host is established only after the list reports that it drains. */
  @Test
  void sendsRequestElsewhereIfHostDrainsBeforeItsConnection() throws Exception {
    try (FullBacklogListener late = new FullBacklogListener();
        FakeServer other = respondingHost("other");
        FakeDiscovery discovery =
            new FakeDiscovery(Rig.list(1, true, Rig.entry(late.address(), READY)));
        Rig rig = new Rig(160, discovery.server);
        Socket client = rig.connect()) {
      Rig.await("the list", () -> rig.metric("known_hosts") == 1);
      Rig.send(client, Rig.dispatch(Rig.id(), ""));
      Rig.await("the request is accepted", () -> rig.metric("in_progress") == 1);
      rig.runLoopIterations();
      discovery.push(
          Rig.list(
              2, false, Rig.entry(other.address(), READY), Rig.entry(late.address(), TERMINATING)));
      assertThat(Rig.receive(client)).contains(" 200 ").endsWith("other");
      assertThat(late.acceptAndCountSenders()).isZero();
    }
  }

  /** The agent is unresponsive for longer than any call waits, then sends on any of the watches. */
  @Test
  void receivesListFromRecoveredAgentOnAnyWatch() throws Exception {
    try (FakeServer first = respondingHost("first");
        FakeServer second = respondingHost("second");
        FakeDiscovery discovery =
            new FakeDiscovery(Rig.list(1, true, Rig.entry(first.address(), READY)));
        Rig rig = new Rig(160, discovery.server)) {
      Rig.await("the list", () -> rig.metric("known_hosts") == 1);
      discovery.setUnresponsive(true);
      Rig.await(
          "parallel watches beside the unresponsive one", () -> discovery.server.heads.size() >= 8);
      // The list stays in use, and the unresponsive watch stays open.
      assertThat(sendRequest(rig)).endsWith("first");
      assertThat(discovery.watchesAnswered()).isEqualTo(1);
      discovery.push(Rig.list(2, true, Rig.entry(second.address(), READY)));
      Rig.await("the new list", () -> sendRequest(rig).endsWith("second"));
      int watchCount = discovery.server.heads.size();
      Rig.await("further parallel watches", () -> discovery.server.heads.size() >= watchCount + 2);
      discovery.replaceList(Rig.list(3, true, Rig.entry(first.address(), READY)));
      discovery.setUnresponsive(false);
      Rig.await("the list from a new watch", () -> sendRequest(rig).endsWith("first"));
      discovery.push(Rig.list(4, true, Rig.entry(second.address(), READY)));
      Rig.await(
          "a list on the watch that replaced the first", () -> sendRequest(rig).endsWith("second"));
    }
  }

  private static String sendRequest(Rig rig) {
    try {
      return rig.request(Rig.look(Rig.id(), ""));
    } catch (java.io.IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /**
   * With discovery on request and up to 20 minutes allowed between polls, an unresponsive watch is
   * reopened long before any fraction of them.
   */
  @Test
  void reopensUnresponsiveWatchDespiteLongPollInterval() throws Exception {
    try (FakeServer first = respondingHost("first");
        FakeServer second = respondingHost("second");
        FakeServer initialDiscovery = Rig.discovery(Rig.list(1));
        FakeDiscovery discovery =
            new FakeDiscovery(Rig.list(1, true, Rig.entry(first.address(), READY)));
        Rig rig = new Rig(160, initialDiscovery, DiscoveryUpdatesTest::onRequest)) {
      // The first call after a start is spread over those minutes; a reload calls at once.
      rig.configure(onRequest(rig.config(160, discovery.address())));
      rig.gateway.reload(rig.environment);
      Rig.await("the list", () -> rig.metric("known_hosts") == 1);
      discovery.replaceList(Rig.list(2, true, Rig.entry(second.address(), READY)));
      Rig.await("another watch", () -> discovery.watchesAnswered() == 2);
      Rig.await("the new list", () -> sendRequest(rig).endsWith("second"));
    }
  }

  private static String onRequest(String config) {
    return config
        .replace("\"pushed\"", "\"on_request\"")
        .replace("\"must_ask_in\":10000", "\"must_ask_in\":1200000");
  }

  /** Bytes that complete no line do not count: a watch that receives only such is unresponsive. */
  @Test
  void reopensWatchThatReceivesNoCompleteLines() throws Exception {
    try (FakeServer first = respondingHost("first");
        FakeServer discovery =
            new FakeServer(
                (head, out) -> {
                  String list = Rig.list(1, true, Rig.entry(first.address(), READY)) + "\n";
                  FakeServer.respond(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                  sendChunk(out, list);
                  sendChunk(out, "{\"index\":2,");
                  while (true) {
                    sendChunk(out, " ");
                    Thread.sleep(200);
                  }
                });
        Rig rig = new Rig(160, discovery)) {
      Rig.await("another watch", () -> discovery.heads.size() >= 2);
      assertThat(rig.request(Rig.look(Rig.id(), ""))).endsWith("first");
    }
  }

  /** Guards against discovery that lists ever more hosts: all of them were kept. */
  @Test
  void keepsNoMoreHostsThanTheLimit() throws Exception {
    try (FakeServer first = respondingHost("first");
        FakeDiscovery discovery =
            new FakeDiscovery(Rig.list(1, true, Rig.entry(first.address(), READY)));
        Rig rig = new Rig(160, discovery.server)) {
      Rig.await("the list", () -> rig.metric("known_hosts") == 1);
      for (int i = 0; i * HOSTS_PER_LINE <= HostLimit.MAX_HOSTS; i++) {
        discovery.push(Rig.list(i + 2, false, drainingHosts(i)));
      }
      Rig.await("the limit", () -> rig.log.toString().contains("more than " + HostLimit.MAX_HOSTS));
      Rig.await("all that is kept", () -> rig.metric("known_hosts") == HostLimit.MAX_HOSTS);
      assertThat(rig.request(Rig.look(Rig.id(), ""))).endsWith("first");
    }
  }

  private static String[] drainingHosts(int subnet) {
    String[] entries = new String[HOSTS_PER_LINE];
    for (int i = 0; i < HOSTS_PER_LINE; i++) {
      entries[i] = Rig.entry("127.1." + subnet + ".1:" + (i + 1), TERMINATING);
    }
    return entries;
  }

  private static void sendChunk(java.io.OutputStream out, String text) throws java.io.IOException {
    FakeServer.respond(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }
}
