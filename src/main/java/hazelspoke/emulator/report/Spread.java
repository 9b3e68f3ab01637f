package hazelspoke.emulator.report;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Compares the results of several runs of one script and seed. */
public final class Spread {
  /** Runs are alike if no quantile differs by more than this fraction of the smallest value. */
  public static final double ALIKE = 0.1;

  private Spread() {}

  /** Returns a table of the quantiles of each class in all runs, with their spread. */
  public static String of(List<Results> plays) {
    StringBuilder out = new StringBuilder("\n");
    long digests = plays.stream().map(Results::digest).distinct().count();
    out.append(
        String.format(
            Locale.ROOT,
            "%d plays, %s%n%-24s",
            plays.size(),
            digests == 1 ? "one digest: " + plays.get(0).digest() : digests + " DIGESTS",
            ""));
    for (int i = 1; i <= plays.size(); i++) {
      out.append(String.format(Locale.ROOT, " %8s", "play " + i));
    }
    out.append(String.format("   spread%n"));
    boolean alike = true;
    for (String name : plays.get(0).classes().keySet()) {
      alike &= row(out, plays, name, "p50", Results.ClassResult::p50Ms);
      alike &= row(out, plays, name, "p95", Results.ClassResult::p95Ms);
      alike &= row(out, plays, name, "p99", Results.ClassResult::p99Ms);
    }
    out.append(
        alike && digests == 1
            ? "alike: one digest, every quantile within 10 %"
            : "NOT alike within 10 %");
    return out.toString();
  }

  private static boolean row(
      StringBuilder out,
      List<Results> plays,
      String name,
      String quantile,
      ToDoubleFunction<Results.ClassResult> of) {
    double min = Double.POSITIVE_INFINITY;
    double max = Double.NEGATIVE_INFINITY;
    out.append(String.format(Locale.ROOT, "%-24s", name + " " + quantile + " ms"));
    for (Results play : plays) {
      double value = of.applyAsDouble(play.classes().get(name));
      min = Math.min(min, value);
      max = Math.max(max, value);
      out.append(String.format(Locale.ROOT, " %8.1f", value));
    }
    double spread = max / min - 1;
    out.append(String.format(Locale.ROOT, " %7.1f %%%n", 100 * spread));
    return spread <= ALIKE;
  }
}
