package hazelspoke.emulator.report;

import hazelspoke.emulator.judge.Violation;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;

/** Prints the results as text. */
public final class TextReport {
  private static final double MS = 1_000;
  private static final int MAX_VIOLATIONS = 10;
  private static final int MAX_GATEWAYS = 6;

  private final PrintStream out;

  public TextReport(PrintStream out) {
    this.out = out;
  }

  public void print(Results r) {
    windows(r);
    classes(r);
    faults(r);
    gateways(r);
    processes(r);
    verdict(r);
  }

  private void windows(Results r) {
    line("");
    line(
        "%8s %6s %7s %5s %7s %6s %6s %7s %7s  %s",
        "from", "asked", "in time", "late", "refused", "failed", "tries", "p50 ms", "p99 ms", "");
    for (Results.Window w : r.windows()) {
      StringBuilder marks = new StringBuilder();
      for (Results.FaultSummary f : r.faults()) {
        double to = w.fromMs() + 5 * MS;
        if (f.atMs() < to && Math.max(f.endMs(), f.atMs() + 1) > w.fromMs()) {
          marks.append(marks.isEmpty() ? "* " : "; ").append(f.what());
        }
      }
      line(
          "%6.0f s %6d %7d %5d %7d %6d %6d %7s %7s  %s",
          w.fromMs() / MS,
          w.requested(),
          w.inTime(),
          w.late(),
          w.refused(),
          w.failed(),
          w.tries(),
          ms(w.p50Ms()),
          ms(w.p99Ms()),
          marks);
    }
  }

  private void classes(Results r) {
    line("");
    line(
        "%-12s %6s %6s %7s %7s %6s %7s %7s %7s",
        "class", "asked", "served", "in time", "refused", "failed", "p50 ms", "p95 ms", "p99 ms");
    for (Map.Entry<String, Results.ClassResult> e : r.classes().entrySet()) {
      Results.ClassResult c = e.getValue();
      line(
          "%-12s %6d %6d %7d %7d %6d %7s %7s %7s",
          e.getKey(),
          c.requested(),
          c.served(),
          c.inTime(),
          c.refused(),
          c.failed(),
          ms(c.p50Ms()),
          ms(c.p95Ms()),
          ms(c.p99Ms()));
    }
    line(
        "attempts at hosts: %d; repeats of keyed requests without a second effect: %d",
        r.attempts(), r.repeats());
  }

  private void faults(Results r) {
    for (Results.FaultSummary f : r.faults()) {
      if (!f.effects().isEmpty()) {
        line("%6.1f s  %s: %s", f.atMs() / MS, f.what(), FaultEffectText.of(f.effects()));
      }
    }
  }

  private void gateways(Results r) {
    line("");
    line(
        "%-8s %-14s %7s %9s %9s %9s %9s %11s",
        "gateway", "site", "asked", "answered", "cpu mean", "cpu max", "MB max", "descriptors");
    for (Results.GatewayResult g : r.gateways()) {
      line(
          "%-8s %-14s %7d %9d %9s %9s %9s %11s",
          g.name(),
          g.site(),
          g.requested(),
          g.answered(),
          format(mean(g.cpu()), "%.2f"),
          format(max(g.cpu()), "%.2f"),
          format(max(g.memoryMb()), "%.0f"),
          format(max(g.descriptors()), "%.0f"));
    }
  }

  /** Prints each gateway per 5 s, if all fit into one line. */
  private void processes(Results r) {
    boolean known = r.gateways().stream().anyMatch(g -> !Double.isNaN(max(g.memoryMb())));
    if (!known || r.gateways().size() > MAX_GATEWAYS) {
      return;
    }
    line("");
    StringBuilder head = new StringBuilder(String.format(Locale.ROOT, "%8s", "from"));
    for (Results.GatewayResult g : r.gateways()) {
      head.append(String.format(Locale.ROOT, " |%18s", g.name() + " cpu   MB  fds"));
    }
    line("%s", head);
    for (Results.Window w : r.windows()) {
      int from = (int) (w.fromMs() / MS);
      int to = from + (int) (OutcomeStatistics.WINDOW_MS / MS);
      StringBuilder row = new StringBuilder(String.format(Locale.ROOT, "%6d s", from));
      for (Results.GatewayResult g : r.gateways()) {
        row.append(
            String.format(
                Locale.ROOT,
                " |%8s %4s %4s",
                format(mean(part(g.cpu(), from, to)), "%.2f"),
                format(max(part(g.memoryMb(), from, to)), "%.0f"),
                format(max(part(g.descriptors(), from, to)), "%.0f")));
      }
      line("%s", row);
    }
  }

  private static double[] part(double[] bySecond, int from, int to) {
    return Arrays.copyOfRange(
        bySecond, Math.min(from, bySecond.length), Math.min(to, bySecond.length));
  }

  /** Prints only the rules and the lag of the emulator. */
  public void verdict(Results r) {
    line("");
    for (Violation b : r.violations().stream().limit(MAX_VIOLATIONS).toList()) {
      line("VIOLATED %s: %s at %.0f ms: %s", b.rule().reportName(), b.txn(), b.atMs(), b.what());
      b.details().forEach(d -> line("    %s", d));
    }
    if (r.violations().size() > MAX_VIOLATIONS) {
      line("... and %d more", r.violations().size() - MAX_VIOLATIONS);
    }
    StringBuilder rules = new StringBuilder();
    r.rules()
        .forEach((rule, n) -> rules.append(' ').append(rule.reportName()).append(' ').append(n));
    line("violations:%s; crashes %d", rules, r.crashes());
    if (r.record() != null) {
      line("the fleet's record: %s", r.record().summary());
    }
    line(
        "lag of the emulator: arrivals p99 %.1f ms, at most %.1f; its loop p99 %.1f ms, at"
            + " most %.1f",
        r.emulatorLag().arrivalsP99(),
        r.emulatorLag().arrivalsMax(),
        r.emulatorLag().loopP99(),
        r.emulatorLag().loopMax());
    if (r.emulatorLag().ranLate()) {
      line("THE EMULATOR RAN LATE: this rehearsal is invalid");
    } else {
      line(r.allRulesKept() ? "all rules kept" : "RULES VIOLATED");
    }
  }

  private void line(String format, Object... values) {
    out.println(String.format(Locale.ROOT, format, values).stripTrailing());
  }

  private static double mean(double[] values) {
    return Arrays.stream(values).filter(v -> !Double.isNaN(v)).average().orElse(Double.NaN);
  }

  private static double max(double[] values) {
    return Arrays.stream(values).filter(v -> !Double.isNaN(v)).max().orElse(Double.NaN);
  }

  private static String ms(double value) {
    return format(value, "%.0f");
  }

  private static String format(double value, String format) {
    return Double.isNaN(value) ? "-" : String.format(Locale.ROOT, format, value);
  }
}
