package hazelspoke.emulator.report;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.emulator.model.Arrival;
import hazelspoke.emulator.model.Outcome;
import hazelspoke.emulator.model.Outcome.Result;
import hazelspoke.emulator.script.Script;
import hazelspoke.emulator.script.ScriptReader;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests that the sums of the statistics are consistent for any outcomes. */
class OutcomeStatisticsTest {
  @Property(tries = 200, seed = "1")
  void countsEveryRequestOncePerIntervalAndClass(
      @ForAll @IntRange(max = 500) int count, @ForAll long seed) throws Exception {
    Script script = ScriptReader.read("x", "length_s = 23\n[load]\nrate = 5\n");
    Random random = new Random(seed);
    List<Outcome> outcomes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      outcomes.add(
          new Outcome(
              new Arrival(i, 23_000 * random.nextDouble(), 0, random.nextInt(2), 0, 1, 1),
              random.nextInt(4),
              Result.values()[random.nextInt(3)],
              2_000 * random.nextDouble()));
    }
    OutcomeStatistics statistics = new OutcomeStatistics(script, outcomes);
    List<Results.Window> windows = statistics.windows(OutcomeStatistics.WINDOW_MS);
    assertThat(windows).hasSize(5);
    assertThat(windows.stream().mapToInt(Results.Window::requested).sum()).isEqualTo(count);
    assertThat(statistics.windows(OutcomeStatistics.PLOT_MS)).hasSize(23);
    for (Results.Window w : windows) {
      assertThat(w.inTime() + w.late() + w.refused() + w.failed()).isEqualTo(w.requested());
    }
    int inTime = 0;
    int requested = 0;
    for (Results.ClassResult c : statistics.classes().values()) {
      assertThat(c.served() + c.refused() + c.failed()).isEqualTo(c.requested());
      assertThat(c.inTime()).isLessThanOrEqualTo(c.served());
      inTime += c.inTime();
      requested += c.requested();
    }
    assertThat(requested).isEqualTo(count);
    assertThat(windows.stream().mapToInt(Results.Window::inTime).sum()).isEqualTo(inTime);
  }

  @Test
  void quantilesAreValuesOfTheSample() {
    Quantiles quantiles = new Quantiles(new double[] {5, 1, 4, 2, 3});
    assertThat(quantiles.at(0.5)).isEqualTo(3);
    assertThat(quantiles.at(0.99)).isEqualTo(5);
    assertThat(quantiles.at(0)).isEqualTo(1);
    assertThat(new Quantiles(new double[0]).at(0.5)).isNaN();
  }
}
