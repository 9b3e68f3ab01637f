package hazelspoke.emulator.report;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import hazelspoke.emulator.judge.FaultEffect;
import hazelspoke.emulator.judge.RecordMetrics;
import hazelspoke.emulator.judge.Rule;
import hazelspoke.emulator.judge.Violation;
import java.io.IOException;
import java.io.StringWriter;
import java.util.Map;

/** Writes the results as JSON; the operators' page documents its fields. */
public final class JsonReport {
  private static final int MAX_VIOLATIONS = 200;

  private JsonReport() {}

  public static String write(Results r) throws IOException {
    StringWriter out = new StringWriter();
    try (JsonGenerator g = new JsonFactory().createGenerator(out)) {
      g.useDefaultPrettyPrinter();
      g.writeStartObject();
      g.writeStringField("title", r.script().title());
      g.writeNumberField("seed", r.seed());
      g.writeStringField("digest", r.digest());
      g.writeBooleanField("late", r.emulatorLag().ranLate());
      g.writeObjectFieldStart("lateness");
      number(g, "arrivals_p99_ms", r.emulatorLag().arrivalsP99());
      number(g, "arrivals_max_ms", r.emulatorLag().arrivalsMax());
      number(g, "loop_p99_ms", r.emulatorLag().loopP99());
      number(g, "loop_max_ms", r.emulatorLag().loopMax());
      g.writeEndObject();
      g.writeObjectFieldStart("rules");
      for (Map.Entry<Rule, Integer> e : r.rules().entrySet()) {
        g.writeNumberField(e.getKey().reportName(), e.getValue());
      }
      g.writeEndObject();
      g.writeNumberField("crashes", r.crashes());
      g.writeNumberField("attempts", r.attempts());
      g.writeNumberField("repeats", r.repeats());
      record(g, r.record());
      classes(g, r);
      gateways(g, r);
      windows(g, r);
      faults(g, r);
      violations(g, r);
      g.writeEndObject();
    }
    return out.append('\n').toString();
  }

  private static void record(JsonGenerator g, RecordMetrics record) throws IOException {
    if (record == null) {
      return;
    }
    g.writeObjectFieldStart("record");
    g.writeNumberField("reads", record.reads());
    g.writeNumberField("writes", record.writes());
    g.writeNumberField("unknown", record.unknown());
    g.writeNumberField("unanswered", record.unanswered());
    g.writeNumberField("replaced_disks", record.replacedDisks());
    g.writeNumberField("entries", record.leadership().entries());
    g.writeNumberField("leaders", record.leadership().leaderChanges());
    g.writeNumberField("seconds_without_leader", record.leadership().secondsWithout());
    number(g, "longest_gap_ms", record.longestGapMs());
    g.writeEndObject();
  }

  private static void classes(JsonGenerator g, Results r) throws IOException {
    g.writeObjectFieldStart("classes");
    for (Map.Entry<String, Results.ClassResult> e : r.classes().entrySet()) {
      Results.ClassResult c = e.getValue();
      g.writeObjectFieldStart(e.getKey());
      g.writeNumberField("asked", c.requested());
      g.writeNumberField("served", c.served());
      g.writeNumberField("in_time", c.inTime());
      g.writeNumberField("refused", c.refused());
      g.writeNumberField("failed", c.failed());
      number(g, "p50_ms", c.p50Ms());
      number(g, "p95_ms", c.p95Ms());
      number(g, "p99_ms", c.p99Ms());
      g.writeEndObject();
    }
    g.writeEndObject();
  }

  private static void gateways(JsonGenerator g, Results r) throws IOException {
    g.writeArrayFieldStart("gateways");
    for (Results.GatewayResult gateway : r.gateways()) {
      g.writeStartObject();
      g.writeStringField("name", gateway.name());
      g.writeStringField("site", gateway.site());
      g.writeNumberField("asked", gateway.requested());
      g.writeNumberField("answered", gateway.answered());
      numbers(g, "cpu", gateway.cpu());
      numbers(g, "memory_mb", gateway.memoryMb());
      numbers(g, "descriptors", gateway.descriptors());
      g.writeEndObject();
    }
    g.writeEndArray();
  }

  private static void windows(JsonGenerator g, Results r) throws IOException {
    g.writeArrayFieldStart("windows");
    for (Results.Window w : r.windows()) {
      g.writeStartObject();
      number(g, "from_s", w.fromMs() / 1_000);
      g.writeNumberField("asked", w.requested());
      g.writeNumberField("in_time", w.inTime());
      g.writeNumberField("late", w.late());
      g.writeNumberField("refused", w.refused());
      g.writeNumberField("failed", w.failed());
      g.writeNumberField("tries", w.tries());
      number(g, "p50_ms", w.p50Ms());
      number(g, "p99_ms", w.p99Ms());
      g.writeEndObject();
    }
    g.writeEndArray();
  }

  private static void faults(JsonGenerator g, Results r) throws IOException {
    g.writeArrayFieldStart("faults");
    for (Results.FaultSummary f : r.faults()) {
      g.writeStartObject();
      number(g, "at_s", f.atMs() / 1_000);
      number(g, "end_s", f.endMs() / 1_000);
      g.writeStringField("what", f.what());
      g.writeArrayFieldStart("hosts");
      for (FaultEffect e : f.effects()) {
        g.writeStartObject();
        g.writeStringField("name", e.host());
        g.writeNumberField("caught", e.affectedRequests());
        g.writeNumberField("served", e.served());
        g.writeNumberField("refused", e.refused());
        g.writeNumberField("failed", e.failed());
        number(g, "passed_over_ms", e.timeToSkipMs());
        number(g, "taken_back_ms", e.timeToRestoreMs());
        g.writeEndObject();
      }
      g.writeEndArray();
      g.writeEndObject();
    }
    g.writeEndArray();
  }

  private static void violations(JsonGenerator g, Results r) throws IOException {
    g.writeArrayFieldStart("breaches");
    for (Violation b : r.violations().stream().limit(MAX_VIOLATIONS).toList()) {
      g.writeStartObject();
      g.writeStringField("rule", b.rule().reportName());
      number(g, "at_ms", b.atMs());
      g.writeStringField("txn", b.txn());
      g.writeStringField("what", b.what());
      g.writeArrayFieldStart("details");
      for (String detail : b.details()) {
        g.writeString(detail);
      }
      g.writeEndArray();
      g.writeEndObject();
    }
    g.writeEndArray();
  }

  private static void numbers(JsonGenerator g, String name, double[] values) throws IOException {
    g.writeArrayFieldStart(name);
    for (double value : values) {
      number(g, value);
    }
    g.writeEndArray();
  }

  private static void number(JsonGenerator g, String name, double value) throws IOException {
    g.writeFieldName(name);
    number(g, value);
  }

  /** Rounds to three decimals; writes null for NaN and infinity. */
  private static void number(JsonGenerator g, double value) throws IOException {
    if (Double.isFinite(value)) {
      g.writeNumber(Math.round(value * 1_000) / 1_000.0);
    } else {
      g.writeNull();
    }
  }
}
