package hazelspoke.emulator.report;

import hazelspoke.emulator.judge.Violation;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Writes the results as a self-contained HTML page, without scripts, fonts or images from
 * elsewhere.
 */
public final class HtmlReport {
  private static final double MS = 1_000;
  private static final int MAX_VIOLATIONS = 50;
  private static final int MAX_LINES = 12;

  /** Height of the plot of record entries above the lanes. */
  private static final int ENTRIES_HEIGHT = 40;

  private static final int ROW = 20;

  private static final String STYLE =
      """
      :root { color-scheme: light dark; --ink: #1c2330; --soft: #6a7386; --paper: #fff;
        --rule: #dde2ea; }
      @media (prefers-color-scheme: dark) { :root { --ink: #e7eaf0; --soft: #9aa3b5;
        --paper: #151a22; --rule: #303846; } }
      body { font: 15px/1.5 system-ui, sans-serif; color: var(--ink); background: var(--paper);
        max-width: 1000px; margin: 2em auto; padding: 0 1em; }
      h1 { font-size: 1.5em; margin-bottom: 0; } h2 { font-size: 1.1em; margin: 1.8em 0 .2em; }
      p { margin: .3em 0 .6em; } .soft { color: var(--soft); }
      svg { width: 100%; height: auto; } .tick { font-size: 11px; fill: var(--soft); }
      .grid { stroke: var(--rule); } .fault { fill: #d0402b; opacity: .13; }
      .verdict { padding: .6em 1em; border-radius: 6px; color: #fff; font-weight: 600; }
      .good { background: #25753f; } .bad { background: #b3261e; } .void { background: #80640a; }
      table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
      th, td { text-align: right; padding: .15em .5em; border-bottom: 1px solid var(--rule); }
      th:first-child, td:first-child, td.left, th.left { text-align: left; }
      .key { display: inline-block; width: .9em; height: .9em; border-radius: 2px;
        margin: 0 .3em 0 1em; vertical-align: -1px; }
      td:first-child, td:nth-child(2) { white-space: nowrap; }
      .bar { fill: #d0402b; } .name { font-size: 12px; fill: var(--ink); }
      pre { white-space: pre-wrap; font-size: 13px; }
      .scroll { overflow-x: auto; }
      """;

  /** Outcomes from best to worst, in colours that colour-blind readers can distinguish. */
  private static final List<Part> PARTS =
      List.of(
          new Part("served in time", "#2f8f5b", Results.Window::inTime),
          new Part("served late", "#d9a514", Results.Window::late),
          new Part("refused", "#4a74c9", Results.Window::refused),
          new Part("failed", "#b3261e", Results.Window::failed));

  private record Part(String name, String colour, ToDoubleFunction<Results.Window> of) {}

  private final Results r;
  private final StringBuilder page = new StringBuilder();

  private HtmlReport(Results r) {
    this.r = r;
  }

  public static String write(Results r) {
    return new HtmlReport(r).page();
  }

  private String page() {
    add("<!doctype html><html lang='en'><head><meta charset='utf-8'>");
    add("<meta name='viewport' content='width=device-width'><title>%s</title>", title());
    page.append("<style>").append(STYLE).append("</style></head><body>\n");
    add("<h1>%s</h1>", title());
    add(
        "<p class='soft'>%d stock servers, %d gateways, %.0f s; seed %d, digest %s. Red bands are"
            + " the faults of the script: point at one to read which.</p>",
        r.hosts().size(), r.gateways().size(), r.script().lengthMs() / MS, r.seed(), r.digest());
    verdict();
    timeline();
    lanes();
    outcomes();
    latencies();
    queues();
    gateways();
    faults();
    classes();
    violations();
    add("<h2>As text</h2><div class='scroll'><pre>%s</pre></div>", Html.escape(text()));
    add("</body></html>");
    return page.toString();
  }

  private String title() {
    return Html.escape(r.script().title());
  }

  private void verdict() {
    String kind = r.emulatorLag().ranLate() ? "void" : r.allRulesKept() ? "good" : "bad";
    StringBuilder what = new StringBuilder();
    if (r.emulatorLag().ranLate()) {
      what.append("The emulator itself ran late: this rehearsal is invalid.  ");
    } else if (r.allRulesKept()) {
      what.append("All rules kept. ");
    } else {
      what.append("Rules violated:  ");
      r.rules()
          .forEach(
              (rule, n) -> {
                if (n > 0) {
                  what.append(rule.reportName()).append(' ').append(n).append("; ");
                }
              });
      if (r.crashes() > 0) {
        what.append("gateways that crashed: ").append(r.crashes()).append("; ");
      }
    }
    int requested = r.classes().values().stream().mapToInt(Results.ClassResult::requested).sum();
    int inTime = r.classes().values().stream().mapToInt(Results.ClassResult::inTime).sum();
    what.append(
        String.format(
            Locale.ROOT,
            "%.1f %% of %d requests were served in time.",
            100.0 * inTime / Math.max(1, requested),
            requested));
    add("<p class='verdict %s'>%s</p>", kind, what);
    if (r.record() != null) {
      add("<p>The fleet's record: %s.</p>", r.record().summary());
    }
    add(
        "<p class='soft'>How late the emulator was itself: its clients %.1f ms (99 of 100) and"
            + " %.1f ms at most, its loop %.1f ms and %.1f ms.</p>",
        r.emulatorLag().arrivalsP99(),
        r.emulatorLag().arrivalsMax(),
        r.emulatorLag().loopP99(),
        r.emulatorLag().loopMax());
  }

  /** Draws a labelled bar for each fault, on the same time axis as the plots below. */
  private void timeline() {
    if (r.faults().isEmpty()) {
      return;
    }
    add("<h2>Faults over time</h2>");
    int rows = r.faults().size();
    Plot plot = new Plot(ROW * rows + 44, r.script().lengthMs(), 1);
    plot.time();
    for (int i = 0; i < rows; i++) {
      Results.FaultSummary f = r.faults().get(i);
      plot.bar(f.atMs(), f.endMs(), 16 + ROW * i, ROW - 4, Html.escape(f.what()));
    }
    page.append(plot.finish());
  }

  /** Draws one lane per process if gateways or links had faults. */
  private void lanes() {
    if (r.lanes().stream().allMatch(lane -> lane.spans().isEmpty())) {
      return;
    }
    add(
        "<h2>Each process</h2><p class='soft'>"
            + "<span class='key' style='background:#b3261e'></span>did not run or serve"
            + " <span class='key' style='background:#d9a514'></span>affected by another fault"
            + " <span class='key' style='background:#4a74c9'></span>link to others"
            + " <span class='key' style='background:#3f8f5b'></span>leads, with entries above;"
            + " point at one to read what and to whom</p>");
    int rows = r.lanes().size();
    int above = r.record() == null ? 0 : ENTRIES_HEIGHT;
    Plot plot = new Plot(above + ROW * rows + 44, r.script().lengthMs(), 1);
    plot.time();
    if (above > 0) {
      entries(plot, r.record().leadership().bySecond());
    }
    for (int i = 0; i < rows; i++) {
      ProcessTimeline.Lane lane = r.lanes().get(i);
      int top = 16 + above + ROW * i;
      plot.add(
          "<text class='name' text-anchor='end' x='54' y='%d'>%s</text>",
          top + ROW - 8, Html.escape(lane.process()));
      plot.add(
          "<line class='grid' x1='%.1f' x2='%.1f' y1='%d' y2='%d'/>",
          plot.x(0), plot.x(r.script().lengthMs()), top + ROW - 2, top + ROW - 2);
      for (ProcessTimeline.Span span : lane.spans()) {
        double from = plot.x(span.fromMs());
        plot.add(
            "<rect fill='%s' fill-opacity='.55' rx='2' x='%.1f' y='%d' width='%.1f' height='%d'>"
                + "<title>%s</title></rect>",
            colour(span.kind()),
            from,
            top + offset(span.kind()),
            Math.max(3, plot.x(span.toMs()) - from),
            span.kind() == ProcessTimeline.Kind.LEADS ? 3 : ROW / 2 - 2,
            Html.escape(lane.process() + ": " + span.what()));
      }
    }
    page.append(plot.finish());
  }

  /** Draws the entries of the record above the lanes, one bar per second. */
  private void entries(Plot plot, List<Integer> bySecond) {
    int most = bySecond.stream().mapToInt(n -> n).max().orElse(0);
    for (int second = 0; second < bySecond.size(); second++) {
      double height = (ENTRIES_HEIGHT - 8.0) * bySecond.get(second) / Math.max(1, most);
      double from = plot.x(second * MS);
      plot.add(
          "<rect fill='%s' fill-opacity='.4' x='%.1f' y='%.1f' width='%.1f' height='%.1f'>"
              + "<title>%d entries</title></rect>",
          colour(ProcessTimeline.Kind.LEADS),
          from,
          12 + ENTRIES_HEIGHT - 8 - height,
          Math.max(1, plot.x((second + 1) * MS) - from - 1),
          height,
          bySecond.get(second));
    }
  }

  /** Returns the vertical offset of a bar in its lane; leadership is a thin line at the bottom. */
  private static int offset(ProcessTimeline.Kind kind) {
    return switch (kind) {
      case OUT, ILL -> 0;
      case LINK -> ROW / 2 - 2;
      case LEADS -> ROW - 5;
    };
  }

  private static String colour(ProcessTimeline.Kind kind) {
    return switch (kind) {
      case OUT -> "#b3261e";
      case ILL -> "#d9a514";
      case LINK -> "#4a74c9";
      case LEADS -> "#3f8f5b";
    };
  }

  private void outcomes() {
    add("<h2>What became of the requests</h2><p class='soft'>By the second in which they were due");
    for (Part part : PARTS) {
      add("<span class='key' style='background:%s'></span>%s", part.colour(), part.name());
    }
    add("</p>");
    double most = r.seconds().stream().mapToDouble(Results.Window::requested).max().orElse(1);
    Plot plot = new Plot(230, r.script().lengthMs(), most);
    plot.axes("a second");
    for (Results.Window w : r.seconds()) {
      double below = 0;
      for (Part part : PARTS) {
        double value = part.of().applyAsDouble(w);
        plot.add(
            "<rect fill='%s' x='%.1f' y='%.1f' width='%.1f' height='%.1f'><title>%s: %.0f a"
                + " second</title></rect>",
            part.colour(),
            plot.x(w.fromMs()),
            plot.y(below + value),
            plot.x(w.fromMs() + MS) - plot.x(w.fromMs()) - 0.6,
            plot.y(below) - plot.y(below + value),
            part.name(),
            value);
        below += value;
      }
    }
    plot.faults(r.faults());
    page.append(plot.finish());
  }

  private void latencies() {
    add(
        "<h2>Latency of served requests</h2><p class='soft'>From the planned time"
            + " <span class='key' style='background:#4a74c9'></span>half of them (p50)"
            + " <span class='key' style='background:#b3261e'></span>99 of 100 (p99)</p>");
    double most =
        r.seconds().stream()
            .mapToDouble(Results.Window::p99Ms)
            .filter(v -> !Double.isNaN(v))
            .max()
            .orElse(1);
    Plot plot = new Plot(210, r.script().lengthMs(), most);
    plot.axes("ms");
    plot.faults(r.faults());
    plot.line("#4a74c9", MS / 2, MS, column(Results.Window::p50Ms));
    plot.line("#b3261e", MS / 2, MS, column(Results.Window::p99Ms));
    page.append(plot.finish());
  }

  private double[] column(ToDoubleFunction<Results.Window> of) {
    return r.seconds().stream().mapToDouble(of).toArray();
  }

  /**
   * Draws the queue of each host, one row per host and one column per second; darker means longer.
   */
  private void queues() {
    int most = Math.max(1, r.queues().stream().flatMapToInt(Arrays::stream).max().orElse(1));
    add(
        "<h2>Requests at each stock server</h2><p class='soft'>One row per server, one column per second;"
            + " the darker the more, up to %d requests; grey: down or not known</p>",
        most);
    int rows = r.hosts().size();
    double rowHeight = Math.max(3, Math.min(14, 420.0 / rows));
    Plot plot = new Plot((int) (rowHeight * rows) + 44, r.script().lengthMs(), rows);
    plot.time();
    for (int h = 0; h < rows; h++) {
      if (rowHeight >= 9) {
        plot.add(
            "<text class='tick' text-anchor='end' x='56' y='%.1f'>%s</text>",
            plot.y(rows - h - 0.9), Html.escape(r.hosts().get(h)));
      }
      for (int i = 0; i < r.queues().size(); i++) {
        int held = r.queues().get(i)[h];
        if (held != 0) {
          double from = plot.x(i * MS);
          plot.add(
              "<rect fill='%s' fill-opacity='%.2f' x='%.1f' y='%.1f' width='%.1f'"
                  + " height='%.1f'><title>%s at %d s: %s</title></rect>",
              held < 0 ? "#888" : "#3a2a8c",
              held < 0 ? 0.45 : 0.08 + 0.92 * held / most,
              from,
              plot.y(rows - h),
              Math.max(1, plot.x((i + 1) * MS) - from),
              rowHeight,
              Html.escape(r.hosts().get(h)),
              i,
              held < 0 ? "down" : held);
        }
      }
    }
    plot.faults(r.faults());
    page.append(plot.finish());
  }

  private void gateways() {
    boolean known =
        r.gateways().stream().anyMatch(g -> Arrays.stream(g.cpu()).anyMatch(v -> !Double.isNaN(v)));
    if (known) {
      add(
          "<h2>Resource use of the gateways</h2><p class='soft'>Cores in use, one line per gateway</p>");
      Plot plot = new Plot(170, r.script().lengthMs(), most(Results.GatewayResult::cpu));
      plot.axes("cores");
      plot.faults(r.faults());
      String[] colours = {"#4a74c9", "#2f8f5b", "#d9a514", "#b3261e", "#7a4ac9", "#2a9fa8"};
      for (int i = 0; i < Math.min(MAX_LINES, r.gateways().size()); i++) {
        plot.line(colours[i % colours.length], 0, MS, r.gateways().get(i).cpu());
      }
      page.append(plot.finish());
    }
  }

  private double most(java.util.function.Function<Results.GatewayResult, double[]> of) {
    return r.gateways().stream()
        .flatMapToDouble(g -> Arrays.stream(of.apply(g)))
        .filter(v -> !Double.isNaN(v))
        .max()
        .orElse(1);
  }

  private void faults() {
    if (!r.faults().isEmpty()) {
      add(
          "<h2>The script</h2><table><tr><th>from</th><th>to</th><th class='left'>what</th><th class='left'>effect</th></tr>");
      for (Results.FaultSummary f : r.faults()) {
        add(
            "<tr><td>%.1f s</td><td>%.1f s</td><td class='left'>%s</td><td class='left'>%s</td></tr>",
            f.atMs() / MS,
            f.endMs() / MS,
            Html.escape(f.what()),
            Html.escape(FaultEffectText.of(f.effects())));
      }
      add("</table>");
    }
  }

  private void classes() {
    add(
        "<h2>By class</h2><table><tr><th>class</th><th>asked</th><th>served</th><th>in time</th>"
            + "<th>refused</th><th>failed</th><th>p50 ms</th><th>p99 ms</th></tr>");
    for (Map.Entry<String, Results.ClassResult> e : r.classes().entrySet()) {
      Results.ClassResult c = e.getValue();
      add(
          "<tr><td>%s</td><td>%d</td><td>%d</td><td>%d</td><td>%d</td><td>%d</td><td>%.0f</td>"
              + "<td>%.0f</td></tr>",
          Html.escape(e.getKey()),
          c.requested(),
          c.served(),
          c.inTime(),
          c.refused(),
          c.failed(),
          c.p50Ms(),
          c.p99Ms());
    }
    add("</table>");
  }

  private void violations() {
    if (!r.violations().isEmpty()) {
      add("<h2>Violations</h2>");
      for (Violation b : r.violations().stream().limit(MAX_VIOLATIONS).toList()) {
        add(
            "<p><b>%s</b> %s at %.2f s: %s</p><pre>%s</pre>",
            b.rule().reportName(),
            Html.escape(b.txn()),
            b.atMs() / MS,
            Html.escape(b.what()),
            Html.escape(String.join("\n", b.details())));
      }
    }
  }

  private String text() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    new TextReport(new PrintStream(bytes, true, StandardCharsets.UTF_8)).print(r);
    return bytes.toString(StandardCharsets.UTF_8);
  }

  private void add(String format, Object... values) {
    page.append(String.format(Locale.ROOT, format, values)).append('\n');
  }
}
