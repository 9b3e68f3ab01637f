package hazelspoke.bench;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Metrics of all rounds: medians, ranges, and the ratio of gateway to relay. */
public final class Report {
  private record Metric(String key, String label, int digits, ToDoubleFunction<Round> value) {}

  private static final List<Metric> METRICS =
      List.of(
          new Metric("cpu_us", "CPU a request, us", 1, Round::cpuUs),
          new Metric("per_second", "requests a second", 0, Round::perSecond),
          new Metric("p50_ms", "p50, ms", 2, r -> r.p50Us() / 1e3),
          new Metric("p99_ms", "p99, ms", 2, r -> r.p99Us() / 1e3),
          new Metric("allocated_bytes", "allocated a request, bytes", 0, Round::allocatedBytes),
          new Metric("collections", "collections a round", 0, Round::collections),
          new Metric("full_collections", "of the whole heap", 0, Round::fullCollections),
          new Metric("longest_pause_ms", "longest pause, ms", 1, Round::longestPauseMs),
          new Metric("failed", "failed a round", 0, Round::failed));

  private final RelayBench.Plan plan;
  private final String pinning;
  private final List<Round> gateway;
  private final List<Round> relay;

  Report(RelayBench.Plan plan, String pinning, List<Round> gateway, List<Round> relay) {
    this.plan = plan;
    this.pinning = pinning;
    this.gateway = List.copyOf(gateway);
    this.relay = List.copyOf(relay);
  }

  /** Prints a table of all metrics. */
  public void print(PrintStream out) {
    out.printf(
        Locale.ROOT,
        "%n%d hosts, %d clients, %d rounds of %.0f s each, deadline %.1f s; %s%n%n",
        plan.hosts(),
        plan.clients(),
        plan.rounds(),
        plan.seconds(),
        plan.deadlineS(),
        pinning);
    out.printf("%-28s %22s %22s %7s%n", "median (min to max)", "gateway", "relay", "ratio");
    for (Metric metric : METRICS) {
      double g = median(gateway, metric.value());
      double r = median(relay, metric.value());
      out.printf(
          "%-28s %22s %22s %7s%n",
          metric.label(),
          spread(gateway, metric),
          spread(relay, metric),
          r > 0 ? String.format(Locale.ROOT, "%.2f", g / r) : "-");
    }
  }

  private static String spread(List<Round> rounds, Metric metric) {
    String format = "%." + metric.digits() + "f";
    return String.format(
        Locale.ROOT,
        format + " (" + format + " to " + format + ")",
        median(rounds, metric.value()),
        rounds.stream().mapToDouble(metric.value()).min().orElse(0),
        rounds.stream().mapToDouble(metric.value()).max().orElse(0));
  }

  static double median(List<Round> rounds, ToDoubleFunction<Round> of) {
    double[] sorted = rounds.stream().mapToDouble(of).sorted().toArray();
    int n = sorted.length;
    return n == 0 ? 0 : (sorted[(n - 1) / 2] + sorted[n / 2]) / 2;
  }

  /** Writes every round, the medians and the ratios as JSON. */
  public void write(Path file) throws IOException {
    try (Writer out = Files.newBufferedWriter(file);
        JsonGenerator json = new JsonFactory().createGenerator(out)) {
      json.useDefaultPrettyPrinter();
      json.writeStartObject();
      json.writeNumberField("hosts", plan.hosts());
      json.writeNumberField("clients", plan.clients());
      json.writeNumberField("seconds", plan.seconds());
      json.writeNumberField("deadline_s", plan.deadlineS());
      json.writeStringField("pinning", pinning);
      rounds(json, "gateway", gateway);
      rounds(json, "relay", relay);
      json.writeObjectFieldStart("ratio");
      for (Metric metric : METRICS) {
        double r = median(relay, metric.value());
        if (r > 0) {
          json.writeNumberField(metric.key(), median(gateway, metric.value()) / r);
        }
      }
      json.writeEndObject();
      json.writeEndObject();
    }
  }

  private static void rounds(JsonGenerator json, String name, List<Round> rounds)
      throws IOException {
    json.writeObjectFieldStart(name);
    json.writeObjectFieldStart("median");
    for (Metric metric : METRICS) {
      json.writeNumberField(metric.key(), median(rounds, metric.value()));
    }
    json.writeEndObject();
    json.writeArrayFieldStart("rounds");
    for (Round round : rounds) {
      json.writeStartObject();
      for (Metric metric : METRICS) {
        json.writeNumberField(metric.key(), metric.value().applyAsDouble(round));
      }
      json.writeEndObject();
    }
    json.writeEndArray();
    json.writeEndObject();
  }
}
