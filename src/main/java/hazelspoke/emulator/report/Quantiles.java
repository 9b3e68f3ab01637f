package hazelspoke.emulator.report;

import java.util.Arrays;

/** Exact quantiles of a set of values, computed from all of them. */
public final class Quantiles {
  private final double[] sorted;

  public Quantiles(double[] values) {
    sorted = values.clone();
    Arrays.sort(sorted);
  }

  /**
   * Returns the smallest value that is at least as large as a fraction {@code q} of the values; NaN
   * if there are none.
   */
  public double at(double q) {
    return sorted.length == 0
        ? Double.NaN
        : sorted[Math.max(0, (int) Math.ceil(q * sorted.length) - 1)];
  }
}
