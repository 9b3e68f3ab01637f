package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * New configurations move discovery, also while calls wait at addresses of before: a host that is
 * listed as draining gets no new requests, whichever address reports it.
 */
class DiscoveryMovesTest {
  private static final String READY = "Ready";
  private static final String TERMINATING = "Terminating";

  /** A change counts as told this long after discovery had it, and this long after a SIGHUP. */
  private static final double TOLD_AFTER_CHANGE_MS = 6_000;

  private static final double TOLD_AFTER_RELOAD_MS = 4_000;

  private final FakeServer draining =
      new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok("draining")));
  private final FakeServer other =
      new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok("other")));
  private final List<ManualDiscovery> addresses = new ArrayList<>();
  private UnaryOperator<String> settings = UnaryOperator.identity();
  private Rig rig;

  DiscoveryMovesTest() throws Exception {}

  @AfterEach
  void close() throws Exception {
    rig.close();
    for (ManualDiscovery address : addresses) {
      address.close();
    }
    draining.close();
    other.close();
  }

  private static UnaryOperator<String> mode(boolean isPushed) {
    return isPushed
        ? UnaryOperator.identity()
        : config ->
            config
                .replace("\"pushed\"", "\"on_request\"")
                .replace("\"must_ask_in\":10000", "\"must_ask_in\":1200000");
  }

  private ManualDiscovery newAddress() throws Exception {
    ManualDiscovery address = new ManualDiscovery();
    addresses.add(address);
    return address;
  }

  /** Starts a gateway with an open watch, of which both hosts are known. */
  private ManualDiscovery.Call startWithWatch(boolean isPushed) throws Exception {
    settings = mode(isPushed);
    FakeServer initial = Rig.discovery(list(1, READY));
    rig = new Rig(160, initial, settings);
    // With discovery on request the first call after a start would take minutes; a move calls at
    // once.
    ManualDiscovery.Call watch = moveTo(newAddress()).accept();
    initial.close();
    watch.send(list(40, READY));
    Rig.await("both hosts", () -> rig.metric("known_hosts") == 2);
    return watch;
  }

  private ManualDiscovery moveTo(ManualDiscovery address) throws Exception {
    rig.configure(settings.apply(rig.config(160, address.address())));
    rig.gateway.reload(rig.environment);
    return address;
  }

  private String list(int index, String status) {
    return Rig.list(
        index, true, Rig.entry(draining.address(), status), Rig.entry(other.address(), READY));
  }

  private String change(int index, String status) {
    return Rig.list(index, false, Rig.entry(draining.address(), status));
  }

  private void awaitDrained() throws Exception {
    Rig.await("the drain", () -> rig.metric("skipped_hosts") == 1);
    int before = draining.heads.size();
    for (int i = 0; i < 10; i++) {
      assertThat(rig.request(Rig.look(Rig.id(), ""))).endsWith("other");
    }
    assertThat(draining.heads).hasSize(before);
  }

  private void awaitNotDrained() throws Exception {
    Rig.await("both hosts are up", () -> rig.metric("skipped_hosts") == 0);
  }

  /** The old address reports a drain before the new one has answered. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void followsFormerWatchUntilNewAddressAnswers(boolean isPushed) throws Exception {
    ManualDiscovery.Call watch = startWithWatch(isPushed);
    ManualDiscovery.Call waiting = moveTo(newAddress()).accept();
    watch.send(change(41, TERMINATING));
    awaitDrained();
    waiting.send(list(42, READY));
    awaitNotDrained();
    Rig.await("the former watch is closed", () -> !watch.isOpen());
  }

  /** The call that was begun first is answered after the address has moved on twice. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void usesAnswerOfCallToFormerAddress(boolean isPushed) throws Exception {
    startWithWatch(isPushed).reset();
    ManualDiscovery.Call first = moveTo(newAddress()).accept();
    ManualDiscovery.Call second = moveTo(newAddress()).accept();
    ManualDiscovery.Call third = moveTo(newAddress()).accept();
    first.send(list(41, TERMINATING));
    awaitDrained();
    assertThat(second.isOpen()).isTrue();
    third.send(list(42, READY));
    awaitNotDrained();
    Rig.await("calls to former addresses are closed", () -> !first.isOpen() && !second.isOpen());
  }

  /** No call can be made at the new address; the old one stays and goes on. */
  @Test
  void followsFormerWatchWhileNewAddressRefusesCalls() throws Exception {
    ManualDiscovery.Call watch = startWithWatch(false);
    ManualDiscovery refusing = newAddress();
    refusing.refuseCalls();
    moveTo(refusing);
    Rig.await("refused calls", () -> countInLog("a watch failed: cannot connect") >= 3);
    watch.send(change(41, TERMINATING));
    awaitDrained();
  }

  /**
   * An older list of the new address arrives after a newer report of the old one. The list that
   * decides has a lower version still, as of another service.
   */
  @Test
  void keepsReportedDrainAgainstOlderListUntilNextListDecides() throws Exception {
    ManualDiscovery.Call watch = startWithWatch(false);
    ManualDiscovery next = moveTo(newAddress());
    ManualDiscovery.Call waiting = next.accept();
    watch.send(change(42, TERMINATING));
    awaitDrained();
    waiting.send(list(41, READY));
    ManualDiscovery.Call deciding = next.accept();
    assertThat(deciding.head).contains("from=0 ");
    awaitDrained();
    deciding.send(list(7, READY));
    awaitNotDrained();
  }

  /** Guards against a slow agent whose calls are all closed before it answers. */
  @Test
  void hearsSlowAgentWhileFurtherWatchesAreOpened() throws Exception {
    startWithWatch(true).reset();
    ManualDiscovery agent = moveTo(newAddress());
    ManualDiscovery.Call first = agent.accept();
    for (int i = 0; i < 7; i++) {
      agent.accept();
    }
    first.send(list(41, TERMINATING));
    awaitDrained();
  }

  /** However many moves follow one another, few calls wait; the oldest and the last are kept. */
  @Test
  void limitsCallsThatWaitAtFormerAddresses() throws Exception {
    startWithWatch(false);
    List<ManualDiscovery.Call> calls = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      calls.add(moveTo(newAddress()).accept());
    }
    Rig.await(
        "some are closed", () -> calls.stream().filter(ManualDiscovery.Call::isOpen).count() <= 7);
    assertThat(calls.get(0).isOpen()).isTrue();
    assertThat(calls.get(19).isOpen()).isTrue();
    calls.get(19).send(list(41, TERMINATING));
    awaitDrained();
  }

  /**
   * The address moves on at an interval, each call is answered after a wait, and the old address
   * closes its connections after 1.5 s. The time allowed is counted from the change.
   */
  @ParameterizedTest
  @CsvSource({"1200, 1400, false", "600, 1900, true", "250, 1400, false", "1900, 1900, true"})
  void learnsOfDrainInTimeWhileAddressMovesOn(int intervalMs, int waitMs, boolean returns)
      throws Exception {
    startWithWatch(false).reset();
    try (SlowDiscovery service = new SlowDiscovery(list(41, READY), waitMs, returns)) {
      List<Double> reloadsAtMs = new CopyOnWriteArrayList<>();
      Thread moves =
          new Thread(
              () -> {
                try {
                  while (!service.isClosed()) {
                    rig.configure(settings.apply(rig.config(160, service.move())));
                    rig.gateway.reload(rig.environment);
                    reloadsAtMs.add(Rig.nowMs());
                    Thread.sleep(intervalMs);
                  }
                } catch (Exception e) {
                  throw new IllegalStateException(e);
                }
              });
      moves.start();
      Thread.sleep(intervalMs * 3L / 2);
      service.change(list(42, TERMINATING), change(42, TERMINATING));
      double drainedAtMs = Rig.nowMs();
      Rig.await("the drain", () -> rig.metric("skipped_hosts") == 1);
      double toldAtMs = Rig.nowMs();
      double reloadedAtMs =
          reloadsAtMs.stream().filter(atMs -> atMs > drainedAtMs).findFirst().orElse(toldAtMs);
      assertThat(toldAtMs - drainedAtMs).isLessThan(TOLD_AFTER_CHANGE_MS);
      assertThat(toldAtMs - reloadedAtMs).isLessThan(TOLD_AFTER_RELOAD_MS);
      service.close();
      moves.join();
    }
  }

  private long countInLog(String text) {
    return rig.log.toString().lines().filter(line -> line.contains(text)).count();
  }
}
