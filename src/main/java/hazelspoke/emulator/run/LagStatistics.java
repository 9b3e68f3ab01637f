package hazelspoke.emulator.run;

import java.util.Arrays;

/**
 * Lag samples of the emulator itself. A rehearsal whose own clients and hosts lag says nothing
 * about a gateway.
 */
public final class LagStatistics {
  private static final double P99 = 0.99;

  private double[] values = new double[1_024];
  private int count;

  public void add(double ms) {
    if (count == values.length) {
      values = Arrays.copyOf(values, 2 * count);
    }
    values[count++] = Math.max(0, ms);
  }

  public double p99() {
    return quantile(P99);
  }

  public double max() {
    return quantile(1);
  }

  private double quantile(double q) {
    double[] sorted = Arrays.copyOf(values, count);
    Arrays.sort(sorted);
    return count == 0 ? 0 : sorted[Math.max(0, (int) Math.ceil(q * count) - 1)];
  }
}
