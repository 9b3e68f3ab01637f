package hazelspoke.emulator.model;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.emulator.model.Registry.Entry;
import hazelspoke.emulator.model.Registry.Status;
import hazelspoke.emulator.script.Script;
import hazelspoke.emulator.script.ScriptReader;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The smaller models of the emulator, each with a simulated clock. */
class ModelsTest {
  private static Entry entry(String name, Status status) {
    return new Entry(name, "127.0.0.1:1", "a", "k", 0, status, 0, 0);
  }

  @Test
  void coldHostFailsFromWorkWithinTheSpanAndNotFromMoreWorkOverALongerTime() {
    ColdOverloadDetector steady = new ColdOverloadDetector(3, 3_000);
    for (int t = 0; t < 60_000; t += 100) {
      assertThat(steady.recordWork(290, true, 1, t)).isFalse();
    }
    ColdOverloadDetector overloaded = new ColdOverloadDetector(3, 3_000);
    boolean failed = false;
    for (int t = 0; t < 2_900; t += 100) {
      failed |= overloaded.recordWork(t % 200 == 0 ? 500 : 300, t % 200 == 0, 1, t);
    }
    assertThat(failed).isTrue();
    assertThat(overloaded.informedShare()).isBetween(0.55, 0.7);
  }

  @Test
  void announcementsAreDelayedOrderedAndReplacedByNewerOnes() {
    Registry registry = new Registry();
    registry.put(entry("a", Status.READY));
    registry.put(entry("b", Status.READY));
    registry.announce(entry("a", Status.GONE), 0, 2_000);
    assertThat(registry.advance(1_999)).isEmpty();
    assertThat(registry.advance(2_000)).extracting(Entry::name).containsExactly("a");
    assertThat(registry.all()).extracting(Entry::name).containsExactly("b");
    assertThat(registry.since(1)).extracting(Entry::status).containsExactly(Status.GONE);
    assertThat(registry.since(registry.index())).isEmpty();
    assertThat(registry.since(0)).hasSize(1);
    registry.setAnnouncementDelay(5_000);
    registry.announce(entry("b", Status.GONE), 3_000, 1_000);
    registry.setAnnouncementDelay(0);
    registry.announce(entry("b", Status.READY), 3_100, 500);
    assertThat(registry.advance(60_000)).extracting(Entry::status).containsExactly(Status.READY);
  }

  @Test
  void discoveryCallsQueueInOrderOrAreRejected() {
    CallQueue queue = new CallQueue(100, 40, 1_000);
    assertThat(queue.call(10, 0)).isEqualTo(500);
    assertThat(queue.call(10, 0)).isEqualTo(1_000);
    assertThat(queue.call(10, 0)).isNaN();
    assertThat(queue.call(10, 900)).isEqualTo(1_500);
    assertThat(new CallQueue(0, 40, 1_000).call(500, 7)).isEqualTo(7);
  }

  @Test
  void keyExecutesOnceWithinItsWindow() {
    IdempotencyWindow memory = new IdempotencyWindow(1_500);
    assertThat(memory.recordIfFirst("k", 0)).isTrue();
    assertThat(memory.recordIfFirst("k", 1_500)).isFalse();
    assertThat(memory.recordIfFirst("k", 1_501)).isTrue();
  }

  private static Script script(String more) throws Exception {
    return ScriptReader.read(
        "x", "length_s = 60\n[load]\nrate = 100\nkeys = 50\nshape = \"bursty\"\n" + more);
  }

  @Test
  void sameSeedDrawsTheSameWorldAndAnotherSeedADifferentOne() throws Exception {
    String more = "[[fault]]\nwhat = \"crash\"\nat_s = 1\nfor_s = 1\nshare = 0.4\n";
    World world = World.draw(script(more), 7);
    World again = World.draw(script(more), 7);
    assertThat(again).isEqualTo(world);
    assertThat(World.draw(script(more), 8).digest()).isNotEqualTo(world.digest());
    assertThat(World.draw(script(""), 7).digest()).isNotEqualTo(world.digest());
    assertThat(world.affected().get(0)).hasSize(5);
  }

  @Test
  void serversAreDrawnWithinTheRangesOfTheirKinds() throws Exception {
    World world = World.draw(script("[fleet]\nservers = 100\ncold_s = 2\n"), 1);
    assertThat(world.servers().stream().filter(s -> s.kind().equals("medium"))).hasSize(26);
    for (ServerSpec s : world.servers()) {
      assertThat(s.coldMs()).isBetween(2_000 * 3.6 / 8.5, 2_000.0);
      assertThat(s.coldFrom()).isBetween(0.31, 0.55);
      assertThat(s.connections()).isBetween(110, 140);
      double slowest = s.kind().equals("large") ? 1.1 : s.kind().equals("medium") ? 0.85 : 0.59;
      assertThat(s.speeds()).hasSize(3).allMatch(v -> v >= slowest && v <= 1.5);
    }
  }

  @Test
  void loadFollowsTheScript() throws Exception {
    World world = World.draw(script("[[load.surge]]\nat_s = 30\nfor_s = 30\nfactor = 2\n"), 3);
    List<Arrival> all = world.arrivals();
    assertThat(all).isSortedAccordingTo((a, b) -> Double.compare(a.atMs(), b.atMs()));
    long first = all.stream().filter(a -> a.atMs() < 30_000).count();
    assertThat(first).isBetween(2_500L, 3_500L);
    assertThat((double) (all.size() - first) / first).isBetween(1.7, 2.3);
    double reserves = all.stream().filter(a -> a.requestClass() == 0).count();
    assertThat(reserves / all.size()).isBetween(0.67, 0.75);
    double work =
        all.stream().filter(a -> a.requestClass() == 0).mapToDouble(Arrival::workMs).sum();
    assertThat(work / reserves).isBetween(95.0, 115.0);
    // Zipf with exponent 1 over 50 keys: the first key has 22 %, the second half of that.
    double firstKey = all.stream().filter(a -> a.key() == 0).count();
    double second = all.stream().filter(a -> a.key() == 1).count();
    assertThat(firstKey / all.size()).isBetween(0.2, 0.25);
    assertThat(second / firstKey).isBetween(0.42, 0.58);
  }

  @Test
  void heavyTailAffectsItsShareOfItsClassDuringItsTime() throws Exception {
    String tail =
        "[[fault]]\nwhat = \"heavy_tail\"\nat_s = 20\nfor_s = 20\nclass = \"dispatch\"\n"
            + "rate = 0.1\nfactor = 1000\n";
    World steady = World.draw(script(""), 5);
    World affected = World.draw(script(tail), 5);
    int heavy = 0;
    int eligible = 0;
    for (int i = 0; i < steady.arrivals().size(); i++) {
      Arrival a = steady.arrivals().get(i);
      Arrival b = affected.arrivals().get(i);
      assertThat(b.atMs()).isEqualTo(a.atMs());
      boolean isEligible = a.requestClass() == 1 && a.atMs() >= 20_000 && a.atMs() < 40_000;
      eligible += isEligible ? 1 : 0;
      if (b.workMs() != a.workMs()) {
        assertThat(isEligible).isTrue();
        assertThat(b.workMs() / a.workMs()).isBetween(999.0, 1_001.0);
        heavy++;
      }
    }
    assertThat((double) heavy / eligible).isBetween(0.06, 0.14);
  }
}
