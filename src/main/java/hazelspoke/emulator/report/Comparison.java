package hazelspoke.emulator.report;

import hazelspoke.emulator.judge.FaultEffect;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Compares two ways to run one incident, by the medians of their runs. */
public final class Comparison {
  private final StringBuilder out = new StringBuilder();

  private Comparison() {}

  /**
   * Returns a table of the results and resource use of the gateways in both.
   *
   * @param first label of the first way
   * @param second label of the second way
   */
  public static String of(String first, List<Results> scripted, String second, List<Results> real) {
    Comparison c = new Comparison();
    c.out.append(
        String.format(
            Locale.ROOT,
            "%n%-44s %12s %12s %12s%n",
            "median of " + scripted.size() + " plays each",
            first,
            second,
            "difference"));
    for (String name : scripted.get(0).classes().keySet()) {
      c.shares(name, scripted, real);
    }
    for (int f = 0; f < scripted.get(0).faults().size(); f++) {
      for (int h = 0; h < scripted.get(0).faults().get(f).effects().size(); h++) {
        c.effect(f, h, scripted, real);
      }
    }
    c.row("a gateway: cores in use, %", scripted, real, r -> 100 * r.meanCores());
    c.row("the busiest: cores in use, %", scripted, real, r -> 100 * r.maxCores());
    c.row("memory of a gateway at most, MB", scripted, real, Results::maxMemoryMb);
    c.row("descriptors of a gateway at most", scripted, real, Results::maxDescriptors);
    return c.out.toString();
  }

  private interface Metric {
    double of(Results r);
  }

  private void shares(String name, List<Results> scripted, List<Results> real) {
    row(name + ": served in time, %", scripted, real, r -> share(r, name, type(r, name).inTime()));
    row(name + ": served, %", scripted, real, r -> share(r, name, type(r, name).served()));
    row(name + ": refused, %", scripted, real, r -> share(r, name, type(r, name).refused()));
    row(name + ": failed, %", scripted, real, r -> share(r, name, type(r, name).failed()));
    row(name + ": p50, ms", scripted, real, r -> type(r, name).p50Ms());
    row(name + ": p99, ms", scripted, real, r -> type(r, name).p99Ms());
  }

  private static Results.ClassResult type(Results r, String name) {
    return r.classes().get(name);
  }

  private static double share(Results r, String name, int count) {
    return 100.0 * count / Math.max(1, type(r, name).requested());
  }

  private void effect(int fault, int host, List<Results> scripted, List<Results> real) {
    Results.FaultSummary note = scripted.get(0).faults().get(fault);
    String what = note.what().split(" ")[0] + " " + note.effects().get(host).host() + ": ";
    row(what + "requests caught", scripted, real, r -> at(r, fault, host).affectedRequests());
    row(what + "of them served", scripted, real, r -> at(r, fault, host).served());
    row(what + "of them failed", scripted, real, r -> at(r, fault, host).failed());
    row(what + "passed over, ms", scripted, real, r -> at(r, fault, host).timeToSkipMs());
    row(what + "taken back, ms", scripted, real, r -> at(r, fault, host).timeToRestoreMs());
  }

  private static FaultEffect at(Results r, int fault, int host) {
    return r.faults().get(fault).effects().get(host);
  }

  private void row(String name, List<Results> scripted, List<Results> real, Metric metric) {
    double a = median(scripted, metric);
    double b = median(real, metric);
    out.append(
        String.format(Locale.ROOT, "%-44s %12s %12s %12s%n", name, text(a), text(b), text(b - a)));
  }

  private static double median(List<Results> plays, Metric metric) {
    List<Double> values = new ArrayList<>();
    plays.forEach(r -> values.add(metric.of(r)));
    return new Quantiles(values.stream().mapToDouble(Double::doubleValue).toArray()).at(0.5);
  }

  private static String text(double value) {
    return Double.isNaN(value) ? "-" : String.format(Locale.ROOT, "%.2f", value);
  }
}
