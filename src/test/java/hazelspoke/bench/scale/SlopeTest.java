package hazelspoke.bench.scale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import hazelspoke.bench.scale.Slope.Point;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The line through what was measured, and how far from it a point is. */
class SlopeTest {
  @Test
  void pointsOnALineGiveItBack() {
    Slope slope = Slope.through(List.of(new Point(10, 25), new Point(20, 45), new Point(40, 85)));
    assertThat(slope.base()).isCloseTo(5, within(1e-9));
    assertThat(slope.each()).isCloseTo(2, within(1e-9));
    assertThat(slope.off()).isCloseTo(0, within(1e-9));
    assertThat(slope.at(100)).isCloseTo(205, within(1e-9));
  }

  @Test
  void whatGrowsFasterThanALineIsSeenToBeOff() {
    Slope slope =
        Slope.through(
            List.of(new Point(1, 1), new Point(2, 4), new Point(4, 16), new Point(8, 64)));
    assertThat(slope.off()).isGreaterThan(0.05);
  }

  @Test
  void oneSizeHasNoSlope() {
    assertThatThrownBy(() -> Slope.through(List.of(new Point(3, 1), new Point(3, 2))))
        .isInstanceOf(IllegalArgumentException.class);
  }

  @Test
  void theMiddleOfRoundsIsPrintedWithTheSlope() {
    Figures figures = new Figures();
    for (double value : new double[] {9, 10, 30}) {
      figures.add("bytes", "members", 5, value);
    }
    figures.add("bytes", "members", 10, 20);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    figures.print(new PrintStream(out));
    assertThat(out.toString()).contains("bytes, by members", " 5: 10.00 10: 20.00; ");
    assertThat(Slope.quantile(List.of(4.0, 1.0, 3.0, 2.0), 0.99)).isEqualTo(4);
    assertThat(Slope.quantile(List.of(), 0.5)).isZero();
  }
}
