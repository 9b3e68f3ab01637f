package hazelspoke.emulator.script;

import hazelspoke.emulator.script.Fault.Kind;
import hazelspoke.emulator.script.Fault.Subject;
import hazelspoke.emulator.script.Fault.Target;
import java.util.ArrayList;
import java.util.List;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;

/** Reads a script (TOML 1.0) and validates all of it before anything is started. */
public final class ScriptReader {
  private static final double MS = 1_000;
  private static final double MAX_LENGTH_S = 7_200;

  /** Maximum number of requests of a rehearsal; the event log keeps all of them in memory. */
  private static final double MAX_REQUESTS = 2_000_000;

  private static final int MAX_HOSTS = 500;
  private static final int MAX_GATEWAYS = 200;

  private ScriptReader() {}

  /**
   * @param file the name to use in error messages
   * @throws ScriptException if the script is invalid, with the line of the error
   */
  public static Script read(String file, String text) throws ScriptException {
    TomlParseResult result;
    try {
      result = Toml.parse(text);
    } catch (RuntimeException | AssertionError e) {
      // The library throws on some invalid escapes without reporting the line.
      int line =
          1
              + (int)
                  text.chars()
                      .limit(Math.max(0, text.indexOf('\\')))
                      .filter(c -> c == '\n')
                      .count();
      throw new ScriptException(file, line, "", "this is no TOML; is it the escape?");
    }
    if (result.hasErrors()) {
      TomlParseError first = result.errors().get(0);
      String what = first.getMessage().lines().findFirst().orElse("this is no TOML");
      throw new ScriptException(file, first.position().line(), "", what);
    }
    ScriptTable root = new ScriptTable(file, "", result, 1);
    String title = root.text("title", file);
    double lengthMs = millis(root.number("length_s", 1, MAX_LENGTH_S));
    Script.Fleet fleet = fleet(root.table("fleet"));
    Script.Load load = load(root.table("load"), lengthMs);
    List<Script.RequestClass> classes = classes(root.tables("class"), root);
    Script.Discovery discovery = discovery(root.table("discovery"));
    ScriptTable checkerTable = root.table("judge");
    Script.CheckerSettings checker =
        new Script.CheckerSettings(
            checkerTable.number("slack_ms", 50, 0, 60_000),
            checkerTable.number("late_ms", 20, 1, 60_000));
    checkerTable.rejectUnknownKeys();
    List<Fault> faults = new ArrayList<>();
    for (ScriptTable table : root.tables("fault")) {
      faults.add(fault(table, fleet, classes, lengthMs));
    }
    root.rejectUnknownKeys();
    return new Script(title, lengthMs, fleet, load, classes, discovery, checker, faults);
  }

  private static Script.Fleet fleet(ScriptTable t) throws ScriptException {
    List<String> sites = t.texts("sites", List.of("eldorado"));
    for (String site : sites) {
      if (!site.matches("[a-z0-9-]{1,40}")) {
        throw t.fail("sites", "expected names of small letters, digits and dashes");
      }
    }
    Script.Fleet fleet =
        new Script.Fleet(
            sites,
            t.whole("gateways", 2, 1, MAX_GATEWAYS),
            t.whole("servers", 12, 1, MAX_HOSTS),
            t.number("large", 0.37, 0, 1),
            t.number("medium", 0.26, 0, 1),
            t.number("small", 0.37, 0, 1),
            t.flag("in_process", false),
            t.whole("sockets", 1_024, 128, 65_536),
            t.whole("memory_mb", 192, 32, 65_536),
            t.flag("drops_cancelled", true),
            t.flag("drops_expired", false),
            millis(t.number("cold_s", 8.5, 0.01, 600)),
            t.texts("apart", List.of()),
            t.whole("voters", 0, 0, 7),
            t.whole("operators", 4, 0, 32));
    if (fleet.voters() > 0 && (fleet.voters() % 2 == 0 || fleet.voters() > fleet.gateways())) {
      throw t.fail("voters", "expected 0, 1, 3, 5 or 7, and no more than there are gateways");
    }
    if (fleet.voters() > 0 && fleet.inProcess()) {
      throw t.fail("voters", "expected gateways to be processes: in_process must be false");
    }
    if (fleet.gateways() < sites.size()) {
      throw t.fail("gateways", "expected at least one for each of the " + sites.size() + " sites");
    }
    if (fleet.large() + fleet.medium() + fleet.small() <= 0) {
      throw t.fail("large", "expected large, medium and small not all to be 0");
    }
    for (String name : fleet.separateProcessHosts()) {
      requireName(t, "apart", name, "s", fleet.servers());
    }
    t.rejectUnknownKeys();
    return fleet;
  }

  private static Script.Load load(ScriptTable t, double lengthMs) throws ScriptException {
    List<Script.Surge> surges = new ArrayList<>();
    double most = 1;
    for (ScriptTable s : t.tables("surge")) {
      surges.add(
          new Script.Surge(
              millis(s.number("at_s", 0, MAX_LENGTH_S)),
              millis(s.number("for_s", 0.001, MAX_LENGTH_S)),
              s.number("factor", 0, 100)));
      s.rejectUnknownKeys();
      most *= Math.max(1, surges.get(surges.size() - 1).factor());
    }
    double rate = t.number("rate", 0.1, 50_000);
    if (rate * most * lengthMs / MS > MAX_REQUESTS) {
      throw t.fail("rate", "expected at most " + (int) MAX_REQUESTS + " requests in all");
    }
    Script.Load load =
        new Script.Load(
            rate,
            t.word("shape", Script.Shape.STEADY, Script.Shape.class),
            t.number("swing", 0.3, 0, 0.9),
            t.whole("keys", 2_500, 1, 1_000_000),
            t.number("zipf", 1, 0, 3),
            t.whole("retries", 2, 0, 3),
            t.number("backoff_ms", 100, 0, 10_000),
            t.number("try_share", 0.55, 0.05, 1),
            t.number("honour", 0.2, 0, 1),
            t.number("slow_share", 0, 0, 1),
            t.number("slow_ms", 1_000, 1, 1_900),
            surges);
    t.rejectUnknownKeys();
    return load;
  }

  private static List<Script.RequestClass> classes(List<ScriptTable> tables, ScriptTable root)
      throws ScriptException {
    if (tables.isEmpty()) {
      return List.of(
          new Script.RequestClass(
              "reserve", 0.71, 105, 1, 500, 1_500, 2, Script.Effect.BY_KEY, 1_500),
          new Script.RequestClass(
              "dispatch", 0.29, 140, 1, 600, 1_200, 10, Script.Effect.ONCE, 5_000));
    }
    List<Script.RequestClass> out = new ArrayList<>();
    for (ScriptTable t : tables) {
      t.require("name", "the class's name");
      String name = t.text("name", "");
      if (!name.matches("[a-z0-9_-]{1,40}")
          || out.stream().anyMatch(other -> other.name().equals(name))) {
        throw t.fail("name", "expected a name of its own, of small letters, digits, - and _");
      }
      out.add(
          new Script.RequestClass(
              name,
              t.number("share", 1, 0.001, 1_000),
              t.number("work_ms", 100, 0.1, 60_000),
              t.number("cv", 1, 0, 5),
              t.number("aim_ms", 500, 1, 60_000),
              t.number("deadline_ms", 1_500, 1, 60_000),
              t.number("worth", 1, 0, 1_000),
              t.word("effect", Script.Effect.ONCE, Script.Effect.class),
              t.number("window_ms", 1_500, 1, 60_000)));
      t.rejectUnknownKeys();
    }
    return out;
  }

  private static Script.Discovery discovery(ScriptTable t) throws ScriptException {
    Script.Discovery discovery =
        new Script.Discovery(
            t.word("mode", Script.Mode.ASKED, Script.Mode.class),
            millis(t.number("notice_s", 2, 0, 60)),
            millis(t.number("silent_notice_s", 9, 0, 120)),
            millis(t.number("add_s", 1.5, 0, 60)),
            t.number("lines_per_s", 0, 0, 1e9),
            t.number("call_lines", 40, 0, 1e6),
            t.number("timeout_ms", 1_000, 1, 60_000));
    t.rejectUnknownKeys();
    return discovery;
  }

  private static Fault fault(
      ScriptTable t, Script.Fleet fleet, List<Script.RequestClass> classes, double lengthMs)
      throws ScriptException {
    t.require("what", "what goes wrong");
    Kind kind = t.word("what", null, Kind.class);
    double atMs = millis(t.number("at_s", 0, lengthMs / MS));
    double forMs = kind.hasDuration() ? millis(t.number("for_s", 0.001, MAX_LENGTH_S)) : 0;
    Subject subject = kind.subject();
    Target target = target(t, subject, fleet);
    double factor = 1;
    double from = 0;
    double to = 0;
    double every = 0;
    boolean silent = false;
    String requestClass = "";
    switch (kind) {
      case SLOW -> factor = t.number("factor", 1, 1_000);
      case DISCOVERY_LATE -> factor = t.number("by_s", 0, 600);
      case ERRORS -> {
        from = t.number("from", 0, 1);
        to = t.number("to", 0, 1);
      }
      case RESET -> to = t.number("rate", 0, 1);
      case LINK_SLOW -> factor = t.number("delay_ms", 1, 60_000);
      case LINK_LOSSY -> {
        every = millis(t.number("every_s", 0.1, 600));
        factor = t.number("burst_ms", 1, 60_000);
      }
      case LINK_FLAPPING -> {
        every = millis(t.number("every_s", 0.1, 600));
        factor = t.number("down_ms", 1, 60_000);
      }
      case PAUSES -> {
        every = millis(t.number("every_s", 0.1, 600));
        factor = t.number("freeze_ms", 1, 10_000);
      }
      case HEAVY_TAIL -> {
        factor = t.number("factor", 1, 1_000);
        to = t.number("rate", 0, 1);
        t.require("class", "the class whose tail is heavy");
        requestClass = t.text("class", "");
        String wanted = requestClass;
        if (classes.stream().noneMatch(c -> c.name().equals(wanted))) {
          throw t.fail("class", "expected a class of this script, not \"" + wanted + "\"");
        }
      }
      case SITE_DARK -> silent = t.flag("silent", false);
      default -> {
        // This kind has no parameters.
      }
    }
    checkSupported(t, kind, target, fleet);
    int line = t.lineOf("what");
    t.rejectUnknownKeys();
    return new Fault(
        kind, atMs, forMs, target, factor, from, to, silent, every, requestClass, line);
  }

  /** A host in a process of its own supports only the faults that a signal can cause. */
  private static void checkSupported(ScriptTable t, Kind kind, Target target, Script.Fleet fleet)
      throws ScriptException {
    if ((kind == Kind.GATEWAY_STOP || kind == Kind.GATEWAY_PAUSE) && fleet.inProcess()) {
      throw t.fail("what", "expected gateways to be processes: fleet.in_process must be false");
    }
    if (kind.affectsDisk() && (fleet.voters() == 0 || fleet.inProcess())) {
      throw t.fail("what", "expected processes that share a record: fleet.voters is 0");
    }
    if (kind.subject() == Subject.LINKS && !fleet.separateProcessHosts().isEmpty()) {
      throw t.fail("what", "expected fleet.apart to be empty: a host that runs apart has no links");
    }
    if (kind.subject() == Subject.HOSTS && kind != Kind.CRASH && kind != Kind.FREEZE) {
      for (String name : target.names()) {
        if (fleet.separateProcessHosts().contains(name)) {
          throw t.fail("hosts", name + " runs apart; expected what = crash or freeze there");
        }
      }
    }
  }

  private static Target target(ScriptTable t, Subject subject, Script.Fleet fleet)
      throws ScriptException {
    switch (subject) {
      case HOSTS -> {
        List<String> names = t.texts("hosts", List.of());
        for (String name : names) {
          requireName(t, "hosts", name, "s", fleet.servers());
        }
        String kind = t.text("kind", null);
        if (kind != null && !List.of("large", "medium", "small").contains(kind)) {
          throw t.fail("kind", "expected one of large, medium, small");
        }
        double share = t.number("share", 1, 0, 1);
        String site = site(t, fleet);
        if (names.isEmpty() && !t.has("share") && kind == null && site == null) {
          throw t.fail("hosts", "is missing; expected hosts, share, kind or site");
        }
        return new Target(names, share, kind, site);
      }
      case SITE -> {
        t.require("site", "the site that goes dark");
        return new Target(List.of(), 1, null, site(t, fleet));
      }
      case GATEWAYS -> {
        t.require("gateways", "names of gateways, such as \"g1\"");
        List<String> names = t.texts("gateways", List.of());
        for (String name : names) {
          requireName(t, "gateways", name, "g", fleet.gateways());
        }
        return new Target(names, 1, null, null);
      }
      case LINKS -> {
        return new Target(ends(t, "from", "g", fleet.gateways()), 1, null, null, farEnds(t, fleet));
      }
      default -> {
        return new Target(List.of(), 1, null, null);
      }
    }
  }

  /** Returns the names at one end of the links; empty, which means all, if the key is absent. */
  private static List<String> ends(ScriptTable t, String key, String letter, int most)
      throws ScriptException {
    List<String> names = t.texts(key, List.of());
    for (String name : names) {
      requireName(t, key, name, letter, most);
    }
    return names;
  }

  /** Returns the far ends of links: hosts, and gateways if these communicate with one another. */
  private static List<String> farEnds(ScriptTable t, Script.Fleet fleet) throws ScriptException {
    List<String> names = t.texts("to", List.of());
    for (String name : names) {
      boolean gateway = fleet.voters() > 0 && name.startsWith("g");
      requireName(t, "to", name, gateway ? "g" : "s", gateway ? fleet.gateways() : fleet.servers());
    }
    return names;
  }

  /**
   * Converts seconds to milliseconds, rounded to the microsecond, so that 16.056 s is exactly
   * 16,056 ms.
   */
  private static double millis(double seconds) {
    return Math.rint(MS * MS * seconds) / MS;
  }

  private static String site(ScriptTable t, Script.Fleet fleet) throws ScriptException {
    String site = t.text("site", null);
    if (site != null && !fleet.sites().contains(site)) {
      throw t.fail("site", "expected one of " + String.join(", ", fleet.sites()));
    }
    return site;
  }

  private static void requireName(ScriptTable t, String key, String name, String letter, int most)
      throws ScriptException {
    if (!name.matches(letter + "[1-9][0-9]{0,3}") || Integer.parseInt(name.substring(1)) > most) {
      throw t.fail(
          key, "expected names from " + letter + "1 to " + letter + most + ", not " + name);
    }
  }
}
