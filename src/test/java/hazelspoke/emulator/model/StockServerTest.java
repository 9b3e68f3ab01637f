package hazelspoke.emulator.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** The model of a stock server with a simulated clock. */
class StockServerTest {
  private static final double WARM = Double.NEGATIVE_INFINITY;
  private final List<String> ends = new ArrayList<>();
  private int jobs;

  /** Two cores of speed 1 and 2, a queue of two; a cached key halves the work for a second. */
  private static ServerSpec spec() {
    return new ServerSpec(
        "s",
        0,
        "large",
        0,
        List.of(1.0, 2.0),
        2,
        0,
        9,
        0.5,
        1_000,
        1e9,
        0,
        0,
        9,
        1,
        1,
        5_000,
        0.5,
        1_000,
        2,
        0.2,
        100,
        50,
        0);
  }

  private StockServer server(double coldSince) {
    return new StockServer(spec(), true, true, coldSince, 0, this::note);
  }

  private void note(Job job, Job.End end, double at) {
    ends.add(job.tag + " " + end + " " + Math.round(at * 1_000) / 1_000.0);
  }

  private Job job(String key, double work) {
    return new Job("j" + jobs++, key, work, 1e9, false);
  }

  @Test
  void eachCoreServesOneRequestAtItsSpeedAndOthersQueue() {
    StockServer server = server(WARM);
    for (int i = 0; i < 5; i++) {
      server.submit(job(null, 100), 0);
    }
    assertThat(ends).containsExactly("j4 TURNED_AWAY 0.0");
    assertThat(server.heldRequests()).isEqualTo(4);
    assertThat(server.next()).isEqualTo(50);
    server.advance(1_000);
    assertThat(ends.subList(1, 5))
        .containsExactly("j1 SERVED 50.0", "j0 SERVED 100.0", "j2 SERVED 100.0", "j3 SERVED 200.0");
  }

  @Test
  void recentKeyCostsLessUntilItExpiresOrIsEvicted() {
    StockServer server = server(WARM);
    server.submit(job("k", 100), 0);
    server.advance(100);
    server.submit(job("k", 100), 100);
    server.advance(150);
    server.submit(job("k", 100), 2_000);
    server.advance(2_100);
    server.submit(job("a", 1), 2_100);
    server.submit(job("b", 1), 2_101);
    server.submit(job("k", 100), 2_110);
    server.advance(3_000);
    assertThat(ends)
        .contains("j0 SERVED 100.0", "j1 SERVED 150.0", "j2 SERVED 2100.0", "j5 SERVED 2210.0");
  }

  @Test
  void coldServerStartsWithAShareOfItsCapacityThatGrowsToAll() {
    StockServer server = server(0);
    assertThat(server.warmth(0)).isEqualTo(0.5);
    assertThat(server.warmth(500)).isEqualTo(0.75);
    assertThat(server.warmth(1_000)).isEqualTo(1);
    server.submit(job(null, 100), 0);
    server.advance(5_000);
    double end = Double.parseDouble(ends.get(0).split(" ")[2]);
    assertThat(end).isBetween(100 / 0.75, 100 / 0.5);
  }

  @Test
  void pausedCoresContinueWhereTheyStopped() {
    StockServer server = server(WARM);
    server.submit(job(null, 100), 0);
    server.setPaused(true, 40);
    assertThat(server.next()).isEqualTo(Double.POSITIVE_INFINITY);
    server.setPaused(false, 2_040);
    server.setSlowdown(2, 2_050);
    server.advance(9_000);
    assertThat(ends).containsExactly("j0 SERVED 2150.0");
  }

  @Test
  void cancelledRequestIsDroppedWhileQueuedAndNotWhileRunning() {
    StockServer server = server(WARM);
    List<Job> all = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      all.add(job(null, 100));
      server.submit(all.get(i), 0);
    }
    server.cancel(all.get(0), 10);
    server.cancel(all.get(2), 10);
    assertThat(server.heldRequests()).isEqualTo(3);
    server.advance(1_000);
    assertThat(ends).containsExactly("j1 SERVED 50.0", "j0 SERVED 100.0", "j3 SERVED 100.0");
  }

  @Test
  void rejectsQueuedRequestsThatExpiredAndNewOnesWhileDraining() {
    StockServer server = server(WARM);
    server.submit(job(null, 100), 0);
    server.submit(job(null, 100), 0);
    server.submit(new Job("late", null, 100, 20, false), 0);
    server.drain(10);
    server.submit(job(null, 1), 10);
    server.advance(1_000);
    assertThat(ends)
        .containsExactly(
            "j2 TURNED_AWAY 10.0", "j1 SERVED 50.0", "late TURNED_AWAY 50.0", "j0 SERVED 100.0");
  }

  /** Requests end in the same way and at the same times however rarely the server is advanced. */
  @Property(tries = 300, seed = "1")
  void rareAdvancingDoesNotChangeTheResult(@ForAll long seed) {
    List<String> frequent = run(seed, 1);
    assertThat(run(seed, 500)).as("seed %d", seed).isEqualTo(frequent);
  }

  private List<String> run(long seed, double step) {
    ends.clear();
    jobs = 0;
    Random random = new Random(seed);
    ServerSpec spec =
        ServerSpec.draw("s", 0, "small", 0, 0.5, 4_000, 8_500, new SplittableRandom(seed));
    StockServer server = new StockServer(spec, false, false, 0, 0, this::note);
    double at = 0;
    for (int i = 0; i < 60; i++) {
      double next = at + random.nextInt(80);
      for (double t = at; t < next; t += step) {
        server.advance(t);
      }
      at = next;
      server.submit(job("k" + random.nextInt(9), 1 + random.nextInt(200)), at);
      assertThat(server.queued()).isLessThanOrEqualTo(spec.queue());
    }
    server.advance(1e6);
    assertThat(ends).hasSize(60);
    return List.copyOf(ends);
  }
}
