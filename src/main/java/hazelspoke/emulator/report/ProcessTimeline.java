package hazelspoke.emulator.report;

import hazelspoke.emulator.judge.EventLog;
import hazelspoke.emulator.model.LinkName;
import hazelspoke.emulator.script.Fault;
import hazelspoke.emulator.script.Fault.Subject;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;

/**
 * What was wrong with each process and when: a lane a process. A fault between two processes stands
 * on the lane of either, with whom it cuts that one off from.
 */
public final class ProcessTimeline {
  /** How much is wrong. */
  public enum Kind {
    /** Its process did not run, or did not take anybody. */
    OUT,
    /** It runs, and does something wrong or nothing. */
    ILL,
    /** Nothing is wrong: it leads those that share a record. */
    LEADS,
    /** Nothing is wrong with it but the way to others. */
    LINK
  }

  /** A stretch of time, in milliseconds since the first request. */
  public record Span(double fromMs, double toMs, Kind kind, String what) {}

  /** One process. */
  public record Lane(String process, List<Span> spans) {
    public Lane {
      spans = List.copyOf(spans);
    }
  }

  private final Map<String, List<Span>> spans = new LinkedHashMap<>();

  private ProcessTimeline() {}

  /**
   * The lanes of all gateways, and of the hosts that something was wrong with.
   *
   * @param struck whom each of the faults struck, in the order of the script
   * @param outages of gateways, as they were seen to be down
   * @param leads when which gateway led, where they share a record
   */
  public static List<Lane> of(
      int gateways,
      List<Fault> faults,
      List<List<String>> struck,
      List<EventLog.Outage> outages,
      Map<String, List<Span>> leads) {
    ProcessTimeline lanes = new ProcessTimeline();
    for (int i = 1; i <= gateways; i++) {
      lanes.spans.put("g" + i, new ArrayList<>());
    }
    leads.forEach((gateway, spans) -> spans.forEach(span -> lanes.add(gateway, span)));
    for (EventLog.Outage o : outages) {
      lanes.add("g" + (o.gateway() + 1), new Span(o.from(), o.to(), Kind.OUT, "not serving"));
    }
    for (int i = 0; i < faults.size(); i++) {
      lanes.add(faults.get(i), struck.get(i));
    }
    List<Lane> out = new ArrayList<>();
    lanes.spans.forEach((process, list) -> out.add(new Lane(process, list)));
    return List.copyOf(out);
  }

  private void add(String process, Span span) {
    spans.computeIfAbsent(process, p -> new ArrayList<>()).add(span);
  }

  private void add(Fault fault, List<String> struck) {
    String what = fault.kind().name().toLowerCase(Locale.ROOT).replace('_', ' ');
    if (fault.kind().subject() == Subject.LINKS) {
      Map<String, TreeSet<String>> from = new LinkedHashMap<>();
      for (String name : struck) {
        LinkName link = LinkName.parse(name);
        from.computeIfAbsent(link.from(), p -> new TreeSet<>()).add(link.to());
        from.computeIfAbsent(link.to(), p -> new TreeSet<>()).add(link.from());
      }
      from.forEach(
          (process, others) ->
              add(process, span(fault, Kind.LINK, what + ": " + String.join(", ", others))));
    } else if (fault.kind().subject() == Subject.HOSTS) {
      boolean out =
          fault.kind() == Fault.Kind.CRASH
              || fault.kind() == Fault.Kind.RESTART
              || fault.kind() == Fault.Kind.REPLACE;
      struck.forEach(host -> add(host, span(fault, out ? Kind.OUT : Kind.ILL, what)));
    } else if (fault.kind().subject() == Subject.GATEWAYS) {
      struck.forEach(gateway -> add(gateway, span(fault, Kind.ILL, what)));
    }
  }

  private static Span span(Fault fault, Kind kind, String what) {
    return new Span(fault.atMs(), fault.endMs(), kind, what);
  }
}
