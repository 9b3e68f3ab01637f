package hazelspoke.bench.scale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import hazelspoke.bench.scale.LinearFit.Point;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Linear fits over sizes, their largest error, and the printed table. */
class LinearFitTest {
  @Test
  void recoversLineFromItsPoints() {
    LinearFit fit = LinearFit.fit(List.of(new Point(10, 25), new Point(20, 45), new Point(40, 85)));
    assertThat(fit.intercept()).isCloseTo(5, within(1e-9));
    assertThat(fit.slope()).isCloseTo(2, within(1e-9));
    assertThat(fit.maxRelativeError()).isCloseTo(0, within(1e-9));
    assertThat(fit.at(100)).isCloseTo(205, within(1e-9));
  }

  @Test
  void reportsErrorForGrowthFasterThanLinear() {
    LinearFit fit =
        LinearFit.fit(
            List.of(new Point(1, 1), new Point(2, 4), new Point(4, 16), new Point(8, 64)));
    assertThat(fit.maxRelativeError()).isGreaterThan(0.05);
  }

  @Test
  void rejectsPointsOfOneSize() {
    assertThatThrownBy(() -> LinearFit.fit(List.of(new Point(3, 1), new Point(3, 2))))
        .isInstanceOf(IllegalArgumentException.class);
  }

  @Test
  void printsMedianOfRoundsWithFit() {
    MetricTable metrics = new MetricTable();
    for (double value : new double[] {9, 10, 30}) {
      metrics.add("bytes", "members", 5, value);
    }
    metrics.add("bytes", "members", 10, 20);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    metrics.print(new PrintStream(out));
    assertThat(out.toString()).contains("bytes, by members", " 5: 10.00 10: 20.00; ");
    assertThat(LinearFit.quantile(List.of(4.0, 1.0, 3.0, 2.0), 0.99)).isEqualTo(4);
    assertThat(LinearFit.quantile(List.of(), 0.5)).isZero();
  }
}
