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
 * The faults of each process over time, one lane per process. A fault of a link is shown on the
 * lanes of both ends, with the other end.
 */
public final class ProcessTimeline {
  /** The state of a process during a span. */
  public enum Kind {
    /** The process was not running or did not accept requests. */
    OUT,
    /** The process runs but is affected by a fault. */
    ILL,
    /** The process is the leader of the record. */
    LEADS,
    /** Only the links of the process to others are affected. */
    LINK
  }

  /** An interval, in milliseconds since the start of the load. */
  public record Span(double fromMs, double toMs, Kind kind, String what) {}

  /** The spans of one process. */
  public record Lane(String process, List<Span> spans) {
    public Lane {
      spans = List.copyOf(spans);
    }
  }

  private final Map<String, List<Span>> spans = new LinkedHashMap<>();

  private ProcessTimeline() {}

  /**
   * Returns the lanes of all gateways and of the affected hosts.
   *
   * @param affected the targets affected by each fault, in the order of the script
   * @param outages observed outages of gateways
   * @param leads the spans in which each gateway was leader, if there is a record
   */
  public static List<Lane> of(
      int gateways,
      List<Fault> faults,
      List<List<String>> affected,
      List<EventLog.Outage> outages,
      Map<String, List<Span>> leads) {
    ProcessTimeline timeline = new ProcessTimeline();
    for (int i = 1; i <= gateways; i++) {
      timeline.spans.put("g" + i, new ArrayList<>());
    }
    leads.forEach((gateway, spans) -> spans.forEach(span -> timeline.add(gateway, span)));
    for (EventLog.Outage o : outages) {
      timeline.add("g" + (o.gateway() + 1), new Span(o.from(), o.to(), Kind.OUT, "not serving"));
    }
    for (int i = 0; i < faults.size(); i++) {
      timeline.add(faults.get(i), affected.get(i));
    }
    List<Lane> out = new ArrayList<>();
    timeline.spans.forEach((process, list) -> out.add(new Lane(process, list)));
    return List.copyOf(out);
  }

  private void add(String process, Span span) {
    spans.computeIfAbsent(process, p -> new ArrayList<>()).add(span);
  }

  private void add(Fault fault, List<String> affected) {
    String what = fault.kind().name().toLowerCase(Locale.ROOT).replace('_', ' ');
    if (fault.kind().subject() == Subject.LINKS) {
      Map<String, TreeSet<String>> from = new LinkedHashMap<>();
      for (String name : affected) {
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
      affected.forEach(host -> add(host, span(fault, out ? Kind.OUT : Kind.ILL, what)));
    } else if (fault.kind().subject() == Subject.GATEWAYS) {
      affected.forEach(gateway -> add(gateway, span(fault, Kind.ILL, what)));
    }
  }

  private static Span span(Fault fault, Kind kind, String what) {
    return new Span(fault.atMs(), fault.endMs(), kind, what);
  }
}
