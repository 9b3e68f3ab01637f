package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** What is owed to hosts that begin to drain, and by when the gateway has to know of it. */
class ListEndingsTest {
  private static final String READY = "Ready";
  private static final String DRAINING = "Terminating";

  /** A host that holds what it is asked until it may fail, and one that answers. */
  private static FakeServer failing(CountDownLatch until) throws Exception {
    return new FakeServer(
        (head, out) -> {
          Rig.awaitLatch(until);
          return FakeServer.respond(out, "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n");
        });
  }

  private static FakeServer answering(String text) throws Exception {
    return new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok(text)));
  }

  /** The second try comes after the leave began, when its host has begun to drain. */
  @Test
  void theListIsFollowedInALeaveUntilNothingCanBeSentAnyMore() throws Exception {
    CountDownLatch fail = new CountDownLatch(1);
    try (FakeServer first = failing(fail);
        FakeServer second = answering("second");
        FakeDiscovery discovery =
            new FakeDiscovery(Rig.list(1, true, Rig.entry(first.address(), READY)));
        Rig rig = new Rig(160, discovery.server);
        Socket client = rig.connect()) {
      Rig.await("the list", () -> rig.metric("known_hosts") == 1);
      Rig.send(client, Rig.look(Rig.id(), ""));
      Rig.await("the first has it", () -> first.heads.size() == 1);
      discovery.push(Rig.list(2, false, Rig.entry(second.address(), READY)));
      Rig.await("the second is known", () -> rig.metric("known_hosts") == 2);
      Thread leaving = rig.beginShutdown();
      discovery.push(Rig.list(3, false, Rig.entry(second.address(), DRAINING)));
      rig.runLoopIterations();
      fail.countDown();
      rig.runLoopIterations();
      rig.runLoopIterations();
      assertThat(second.heads).isEmpty();
      discovery.push(Rig.list(4, false, Rig.entry(second.address(), READY)));
      assertThat(Rig.receive(client)).contains(" 200 ").endsWith("second");
      leaving.join();
    }
  }

  @Test
  void aNewConfigurationMovesDiscoveryInALeaveToo() throws Exception {
    CountDownLatch fail = new CountDownLatch(1);
    try (FakeServer first = failing(fail);
        FakeServer second = answering("second");
        FakeDiscovery before =
            new FakeDiscovery(Rig.list(1, true, Rig.entry(first.address(), READY)));
        FakeDiscovery after =
            new FakeDiscovery(Rig.list(1, true, Rig.entry(second.address(), READY)));
        Rig rig = new Rig(160, before.server);
        Socket client = rig.connect()) {
      Rig.await("the list", () -> rig.metric("known_hosts") == 1);
      Rig.send(client, Rig.look(Rig.id(), ""));
      Rig.await("the first has it", () -> first.heads.size() == 1);
      Thread leaving = rig.beginShutdown();
      rig.configure(rig.config(160, after.address()));
      rig.gateway.reload(rig.environment);
      Rig.await("a watch at the new address", () -> after.watchesAnswered() == 1);
      rig.runLoopIterations();
      fail.countDown();
      assertThat(Rig.receive(client)).contains(" 200 ").endsWith("second");
      leaving.join();
    }
  }

  /** The connection to the host that drains comes up only after the news. */
  @Test
  void whatWaitsForAConnectionToAHostThatBeginsToDrainGoesElsewhere() throws Exception {
    try (FullBacklogListener late = new FullBacklogListener();
        FakeServer other = answering("other");
        FakeDiscovery discovery =
            new FakeDiscovery(Rig.list(1, true, Rig.entry(late.address(), READY)));
        Rig rig = new Rig(160, discovery.server);
        Socket client = rig.connect()) {
      Rig.await("the list", () -> rig.metric("known_hosts") == 1);
      Rig.send(client, Rig.dispatch(Rig.id(), ""));
      Rig.await("it is taken", () -> rig.metric("in_progress") == 1);
      rig.runLoopIterations();
      discovery.push(
          Rig.list(
              2, false, Rig.entry(other.address(), READY), Rig.entry(late.address(), DRAINING)));
      assertThat(Rig.receive(client)).contains(" 200 ").endsWith("other");
      assertThat(late.acceptAndCountSenders()).isZero();
    }
  }

  /** It is silent for longer than any call waits, and then speaks on whichever watch it likes. */
  @Test
  void anAgentThatWasSilentIsHeardWhereverItSpeaksAgain() throws Exception {
    try (FakeServer first = answering("first");
        FakeServer second = answering("second");
        FakeDiscovery discovery =
            new FakeDiscovery(Rig.list(1, true, Rig.entry(first.address(), READY)));
        Rig rig = new Rig(160, discovery.server)) {
      Rig.await("the list", () -> rig.metric("known_hosts") == 1);
      discovery.setUnresponsive(true);
      Rig.await("others beside the silent watch", () -> discovery.server.heads.size() >= 8);
      // Silence takes nothing away, and the watch that fell silent is there still.
      assertThat(served(rig)).endsWith("first");
      assertThat(discovery.watchesAnswered()).isEqualTo(1);
      discovery.push(Rig.list(2, true, Rig.entry(second.address(), READY)));
      Rig.await("the new list", () -> served(rig).endsWith("second"));
      int calls = discovery.server.heads.size();
      Rig.await("others beside it again", () -> discovery.server.heads.size() >= calls + 2);
      discovery.replaceList(Rig.list(3, true, Rig.entry(first.address(), READY)));
      discovery.setUnresponsive(false);
      Rig.await("told on a new watch", () -> served(rig).endsWith("first"));
      discovery.push(Rig.list(4, true, Rig.entry(second.address(), READY)));
      Rig.await("which took its place", () -> served(rig).endsWith("second"));
    }
  }

  private static String served(Rig rig) {
    try {
      return rig.request(Rig.look(Rig.id(), ""));
    } catch (java.io.IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /**
   * Where discovery is asked and a gateway may be without news for 20 minutes: a watch that fell
   * silent is opened anew all the same, long before a part of those.
   */
  @Test
  void aSilentWatchIsOpenedAnewHoweverLongTheSettingsAllowForAsking() throws Exception {
    try (FakeServer first = answering("first");
        FakeServer second = answering("second");
        FakeServer nobody = Rig.discovery(Rig.list(1));
        FakeDiscovery discovery =
            new FakeDiscovery(Rig.list(1, true, Rig.entry(first.address(), READY)));
        Rig rig = new Rig(160, nobody, ListEndingsTest::asked)) {
      // The first call of a start is spread over those minutes; a new configuration calls at once.
      rig.configure(asked(rig.config(160, discovery.address())));
      rig.gateway.reload(rig.environment);
      Rig.await("the list", () -> rig.metric("known_hosts") == 1);
      discovery.replaceList(Rig.list(2, true, Rig.entry(second.address(), READY)));
      Rig.await("another watch", () -> discovery.watchesAnswered() == 2);
      Rig.await("the new list", () -> served(rig).endsWith("second"));
    }
  }

  private static String asked(String config) {
    return config
        .replace("\"pushed\"", "\"on_request\"")
        .replace("\"must_ask_in\":10000", "\"must_ask_in\":1200000");
  }

  /** Bytes that make no line are no sign of life: a watch that trickles is as good as silent. */
  @Test
  void aWatchThatTricklesBytesAndNoLinesIsOpenedAnew() throws Exception {
    try (FakeServer first = answering("first");
        FakeServer discovery =
            new FakeServer(
                (head, out) -> {
                  String list = Rig.list(1, true, Rig.entry(first.address(), READY)) + "\n";
                  FakeServer.respond(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                  chunk(out, list);
                  chunk(out, "{\"index\":2,");
                  while (true) {
                    chunk(out, " ");
                    Thread.sleep(200);
                  }
                });
        Rig rig = new Rig(160, discovery)) {
      Rig.await("another watch", () -> discovery.heads.size() >= 2);
      assertThat(rig.request(Rig.look(Rig.id(), ""))).endsWith("first");
    }
  }

  private static void chunk(java.io.OutputStream out, String text) throws java.io.IOException {
    FakeServer.respond(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }
}
