package hazelspoke.bench.scale;

import java.util.ArrayList;
import java.util.List;

/**
 * Least-squares fit of a straight line to measured values by size.
 *
 * @param intercept the fitted value at size 0
 * @param slope the increase of the value per unit of size
 * @param maxRelativeError largest absolute residual, as a fraction of the largest absolute value
 */
record LinearFit(double intercept, double slope, double maxRelativeError) {
  /** A size and the value measured at it. */
  record Point(double size, double value) {}

  /**
   * Fits a line to the points.
   *
   * @throws IllegalArgumentException if the points have fewer than two distinct sizes
   */
  static LinearFit fit(List<Point> points) {
    double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
    double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
    double sumOfSquares = 0;
    double sumOfProducts = 0;
    for (Point p : points) {
      sumOfSquares += (p.size - meanSize) * (p.size - meanSize);
      sumOfProducts += (p.size - meanSize) * (p.value - meanValue);
    }
    if (sumOfSquares == 0) {
      throw new IllegalArgumentException("a linear fit needs points of at least two sizes");
    }
    double slope = sumOfProducts / sumOfSquares;
    double intercept = meanValue - slope * meanSize;
    double maxValue = points.stream().mapToDouble(p -> Math.abs(p.value)).max().orElse(0);
    double maxError = 0;
    for (Point p : points) {
      maxError = Math.max(maxError, Math.abs(p.value - intercept - slope * p.size));
    }
    return new LinearFit(intercept, slope, maxValue == 0 ? 0 : maxError / maxValue);
  }

  /** Returns the fitted value at a size, whether or not that size was measured. */
  double at(double size) {
    return intercept + slope * size;
  }

  /** Returns the given quantile of the values, or 0 if there are none. */
  static double quantile(List<Double> values, double fraction) {
    List<Double> sorted = new ArrayList<>(values);
    sorted.sort(null);
    return sorted.isEmpty()
        ? 0
        : sorted.get((int) Math.min(sorted.size() - 1, fraction * sorted.size()));
  }
}
