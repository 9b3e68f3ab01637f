package hazelspoke.emulator.report;

import java.util.List;
import java.util.Locale;

/** A plot over time as SVG, with the faults marked. */
final class Plot {
  static final int WIDTH = 960;
  private static final int LEFT = 62;
  private static final int RIGHT = 12;
  private static final int TOP = 14;
  private static final int BOTTOM = 26;

  private final StringBuilder svg = new StringBuilder();
  private final int height;
  private final double lengthMs;
  private final double max;

  /**
   * @param max the value at the top of the plot
   */
  Plot(int height, double lengthMs, double max) {
    this.height = height;
    this.lengthMs = lengthMs;
    this.max = max > 0 ? roundUp(max) : 1;
  }

  double x(double ms) {
    return LEFT + (WIDTH - LEFT - RIGHT) * Math.min(1, Math.max(0, ms / lengthMs));
  }

  double y(double value) {
    return TOP + (height - TOP - BOTTOM) * (1 - Math.min(1, value / max));
  }

  void add(String format, Object... values) {
    svg.append(String.format(Locale.ROOT, format, values)).append('\n');
  }

  /** Draws a band with a tooltip for each fault, behind everything else. */
  void faults(List<Results.FaultSummary> faults) {
    for (Results.FaultSummary f : faults) {
      double from = x(f.atMs());
      double to = Math.max(from + 2, x(f.endMs()));
      add(
          "<rect class='fault' x='%.1f' y='%d' width='%.1f' height='%d'><title>%s</title></rect>",
          from, TOP, to - from, height - TOP - BOTTOM, Html.escape(f.what()));
    }
  }

  /** Draws a bar with its label on the side that has room. */
  void bar(double fromMs, double toMs, int top, int high, String name) {
    double from = x(fromMs);
    double to = Math.max(from + 3, x(toMs));
    boolean right = to < WIDTH * 0.55;
    add(
        "<rect class='bar' rx='2' x='%.1f' y='%d' width='%.1f' height='%d'/>",
        from, top, to - from, high);
    add(
        "<text class='name' text-anchor='%s' x='%.1f' y='%d'>%s</text>",
        right ? "start" : "end", right ? to + 6 : from - 6, top + high - 4, name);
  }

  void axes(String unit) {
    for (int i = 0; i <= 4; i++) {
      double value = max * i / 4;
      add(
          "<line class='grid' x1='%d' x2='%d' y1='%.1f' y2='%.1f'/>",
          LEFT, WIDTH - RIGHT, y(value), y(value));
      add(
          "<text class='tick' text-anchor='end' x='%d' y='%.1f'>%s</text>",
          LEFT - 6, y(value) + 4, label(value));
    }
    add("<text class='tick' x='%d' y='10'>%s</text>", LEFT + 2, unit);
    time();
  }

  void time() {
    double step = step(lengthMs / 1_000 / 10);
    for (double s = 0; s <= lengthMs / 1_000 + 1e-6; s += step) {
      add(
          "<text class='tick' text-anchor='middle' x='%.1f' y='%d'>%s s</text>",
          x(1_000 * s), height - 8, label(s));
    }
  }

  /** Draws a line through the values, one per step, with gaps at NaN. */
  void line(String colour, double fromMs, double stepMs, double[] values) {
    StringBuilder path = new StringBuilder();
    boolean pen = false;
    for (int i = 0; i < values.length; i++) {
      if (Double.isNaN(values[i])) {
        pen = false;
      } else {
        path.append(
            String.format(
                Locale.ROOT,
                "%s%.1f %.1f ",
                pen ? "L" : "M",
                x(fromMs + i * stepMs),
                y(values[i])));
        pen = true;
      }
    }
    add("<path fill='none' stroke='%s' stroke-width='1.8' d='%s'/>", colour, path);
  }

  String finish() {
    return String.format(
        Locale.ROOT, "<svg viewBox='0 0 %d %d' role='img'>%n%s</svg>%n", WIDTH, height, svg);
  }

  /** Returns the next larger round number, so that the tick labels are round as well. */
  private static double roundUp(double value) {
    double power = Math.pow(10, Math.floor(Math.log10(value)));
    for (double m : new double[] {1, 1.2, 1.6, 2, 2.4, 3.2, 4, 5, 6, 8}) {
      if (m * power >= value) {
        return m * power;
      }
    }
    return 10 * power;
  }

  private static double step(double about) {
    double power = Math.pow(10, Math.floor(Math.log10(Math.max(1e-9, about))));
    for (double m : new double[] {1, 2, 5}) {
      if (m * power >= about) {
        return m * power;
      }
    }
    return 10 * power;
  }

  private static String label(double value) {
    if (value == 0) {
      return "0";
    }
    return value >= 10 || value == Math.rint(value)
        ? String.format(Locale.ROOT, "%.0f", value)
        : String.format(Locale.ROOT, "%.2f", value);
  }
}
