package hazelspoke.emulator.script;

import hazelspoke.emulator.script.Fault.Target;
import java.math.BigDecimal;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Writes a script as TOML that {@link ScriptReader} reads back as an equal script. */
public final class ScriptWriter {
  private final StringBuilder out = new StringBuilder();

  private ScriptWriter() {}

  /** Returns the script as TOML, with every key, including those with default values. */
  public static String write(Script script) {
    ScriptWriter w = new ScriptWriter();
    w.text("title", script.title());
    w.seconds("length_s", script.lengthMs());
    w.fleet(script.fleet());
    w.load(script.load());
    script.classes().forEach(w::requestClass);
    w.discovery(script.discovery());
    w.head("[judge]");
    w.number("slack_ms", script.checker().slackMs());
    w.number("late_ms", script.checker().lateMs());
    script.faults().forEach(w::fault);
    return w.out.toString();
  }

  private void fleet(Script.Fleet f) {
    head("[fleet]");
    texts("sites", f.sites());
    number("gateways", f.gateways());
    number("servers", f.servers());
    number("large", f.large());
    number("medium", f.medium());
    number("small", f.small());
    flag("in_process", f.inProcess());
    number("sockets", f.sockets());
    number("memory_mb", f.memoryMb());
    flag("drops_cancelled", f.dropsCancelled());
    flag("drops_expired", f.dropsExpired());
    seconds("cold_s", f.coldMs());
    texts("apart", f.separateProcessHosts());
    number("voters", f.voters());
    number("operators", f.operators());
  }

  private void load(Script.Load l) {
    head("[load]");
    number("rate", l.rate());
    word("shape", l.shape());
    number("swing", l.swing());
    number("keys", l.keys());
    number("zipf", l.zipf());
    number("retries", l.retries());
    number("backoff_ms", l.backoffMs());
    number("try_share", l.tryShare());
    number("honour", l.honour());
    number("slow_share", l.slowShare());
    number("slow_ms", l.slowMs());
    for (Script.Surge s : l.surges()) {
      head("[[load.surge]]");
      seconds("at_s", s.atMs());
      seconds("for_s", s.forMs());
      number("factor", s.factor());
    }
  }

  private void requestClass(Script.RequestClass c) {
    head("[[class]]");
    text("name", c.name());
    number("share", c.share());
    number("work_ms", c.workMs());
    number("cv", c.cv());
    number("aim_ms", c.aimMs());
    number("deadline_ms", c.deadlineMs());
    number("worth", c.worth());
    word("effect", c.effect());
    number("window_ms", c.windowMs());
  }

  private void discovery(Script.Discovery d) {
    head("[discovery]");
    word("mode", d.mode());
    seconds("notice_s", d.noticeMs());
    seconds("silent_notice_s", d.silentNoticeMs());
    seconds("add_s", d.addMs());
    number("lines_per_s", d.linesPerS());
    number("call_lines", d.callLines());
    number("timeout_ms", d.timeoutMs());
  }

  private void fault(Fault f) {
    head("[[fault]]");
    word("what", f.kind());
    seconds("at_s", f.atMs());
    if (f.kind().hasDuration()) {
      seconds("for_s", f.forMs());
    }
    target(f);
    parameters(f);
  }

  private void target(Fault f) {
    Target t = f.target();
    switch (f.kind().subject()) {
      case HOSTS -> {
        texts("hosts", t.names());
        if (t.names().isEmpty()) {
          number("share", t.share());
        }
        if (t.kind() != null) {
          text("kind", t.kind());
        }
      }
      case GATEWAYS -> texts("gateways", t.names());
      case LINKS -> {
        texts("from", t.names());
        texts("to", t.far());
      }
      default -> {
        // These faults have no named targets.
      }
    }
    if (t.site() != null) {
      text("site", t.site());
    }
  }

  private void parameters(Fault f) {
    switch (f.kind()) {
      case SLOW -> number("factor", f.factor());
      case DISCOVERY_LATE -> number("by_s", f.factor());
      case ERRORS -> {
        number("from", f.from());
        number("to", f.to());
      }
      case RESET -> number("rate", f.to());
      case PAUSES -> repetition(f, "freeze_ms");
      case LINK_SLOW -> number("delay_ms", f.factor());
      case LINK_LOSSY -> repetition(f, "burst_ms");
      case LINK_FLAPPING -> repetition(f, "down_ms");
      case HEAVY_TAIL -> {
        number("factor", f.factor());
        number("rate", f.to());
        text("class", f.requestClass());
      }
      case SITE_DARK -> flag("silent", f.silent());
      default -> {
        // This kind has no parameters.
      }
    }
  }

  private void repetition(Fault f, String length) {
    seconds("every_s", f.every());
    number(length, f.factor());
  }

  private void head(String text) {
    out.append('\n').append(text).append('\n');
  }

  private void line(String key, String value) {
    out.append(key).append(" = ").append(value).append('\n');
  }

  private void number(String key, double value) {
    line(key, BigDecimal.valueOf(value).stripTrailingZeros().toPlainString());
  }

  private void seconds(String key, double ms) {
    // Decimal arithmetic, as a binary division by 1,000 is not always reversible.
    BigDecimal value = BigDecimal.valueOf(ms).movePointLeft(3).stripTrailingZeros();
    line(key, value.toPlainString());
  }

  private void flag(String key, boolean value) {
    line(key, Boolean.toString(value));
  }

  private void word(String key, Enum<?> value) {
    text(key, value.name().toLowerCase(Locale.ROOT));
  }

  private void text(String key, String value) {
    line(key, quoted(value));
  }

  private void texts(String key, List<String> values) {
    if (!values.isEmpty()) {
      line(
          key,
          values.stream().map(ScriptWriter::quoted).collect(Collectors.joining(", ", "[", "]")));
    }
  }

  private static String quoted(String value) {
    return '"' + value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
  }
}
