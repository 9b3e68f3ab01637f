package hazelspoke.emulator.report;

import java.util.Arrays;

/** Exact quantiles of a set of figures: everything is there, so nothing need be estimated. */
public final class Quantiles {
  private final double[] sorted;

  public Quantiles(double[] values) {
    sorted = values.clone();
    Arrays.sort(sorted);
  }

  /** The smallest figure that is not below a part {@code q} of them; NaN of none. */
  public double at(double q) {
    return sorted.length == 0
        ? Double.NaN
        : sorted[Math.max(0, (int) Math.ceil(q * sorted.length) - 1)];
  }
}
