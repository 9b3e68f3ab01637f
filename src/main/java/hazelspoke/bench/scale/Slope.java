package hazelspoke.bench.scale;

import java.util.ArrayList;
import java.util.List;

/**
 * A straight line through points, by least squares.
 *
 * @param base where it begins, at a size of 0
 * @param each by how much it rises with each one more
 * @param off the largest distance of a point from it, as a part of the largest value
 */
record Slope(double base, double each, double off) {
  /** A size and what was measured there. */
  record Point(double size, double value) {}

  /**
   * Fits one.
   *
   * @throws IllegalArgumentException for points of fewer than two sizes
   */
  static Slope through(List<Point> points) {
    double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
    double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
    double across = 0;
    double up = 0;
    for (Point p : points) {
      across += (p.size - meanSize) * (p.size - meanSize);
      up += (p.size - meanSize) * (p.value - meanValue);
    }
    if (across == 0) {
      throw new IllegalArgumentException("a slope needs two sizes");
    }
    double each = up / across;
    double base = meanValue - each * meanSize;
    double most = points.stream().mapToDouble(p -> Math.abs(p.value)).max().orElse(0);
    double off = 0;
    for (Point p : points) {
      off = Math.max(off, Math.abs(p.value - base - each * p.size));
    }
    return new Slope(base, each, most == 0 ? 0 : off / most);
  }

  /** What it comes to at a size, measured or not. */
  double at(double size) {
    return base + each * size;
  }

  /** The value below which this part of them lies; of none, 0. */
  static double quantile(List<Double> values, double part) {
    List<Double> sorted = new ArrayList<>(values);
    sorted.sort(null);
    return sorted.isEmpty()
        ? 0
        : sorted.get((int) Math.min(sorted.size() - 1, part * sorted.size()));
  }
}
