package hazelspoke.discovery;

import hazelspoke.core.HostLimit;
import hazelspoke.core.HostList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import ternscale.api.HostEntry.Availability;

/**
 * What each of several open calls reported of hosts. A call may deliver a list that is older than a
 * report which another call, opened later or slower to answer, has already delivered. Versions
 * order the two if both come from one service, and mean nothing otherwise. So where an older
 * version arrives after a newer one, a host is used only if both report it as up, and a complete
 * list that is asked for afterwards decides.
 */
final class ReportedHosts {
  /** Version of an entry whose line is not complete. */
  private static final long UNKNOWN_VERSION = Long.MAX_VALUE;

  /** Limit of the entries kept of all calls. */
  private static final int MAX_REPORTS = 2 * HostLimit.MAX_HOSTS;

  /** The version of a report, and its position among all calls and reports. */
  private record Position(long version, long order) {
    private boolean isNewerThan(ListCall call, long callVersion) {
      return order > call.order && version > callVersion;
    }
  }

  /** An entry as a call delivered it. */
  private record Report(HostList.Listed host, Position position) {}

  /** The hosts of the last complete list of a call. */
  private record CompleteList(Set<String> hosts, Position position) {}

  /** All that one call reported. */
  private static final class Source {
    private final Map<String, Report> reports = new HashMap<>();
    private CompleteList completeList;
    private Position last;

    /** Whether this call sent a complete list of a newer version that does not contain a host. */
    private boolean omits(String host, ListCall call, long version) {
      return completeList != null
          && completeList.position.isNewerThan(call, version)
          && !completeList.hosts.contains(host)
          && !reports.containsKey(host);
    }
  }

  private final Map<ListCall, Source> sources = new HashMap<>();

  void clear() {
    sources.clear();
  }

  /** Forgets the calls whose reports are all older than the oldest open call. */
  void forgetBefore(long oldestOpenOrder) {
    sources.values().removeIf(source -> source.last.order <= oldestOpenOrder);
  }

  /** Keeps an update as a call delivered it. */
  void record(ListCall call, HostList.Update update, long order) {
    Source source = sources.computeIfAbsent(call, added -> new Source());
    long version = update.version() >= 0 ? update.version() : UNKNOWN_VERSION;
    Position position = new Position(version, order);
    source.last = position;
    if (update.complete()) {
      source.reports.clear();
      Set<String> names =
          update.hosts().stream().map(host -> host.entry().host()).collect(Collectors.toSet());
      source.completeList = new CompleteList(names, position);
    }
    int room = MAX_REPORTS - sources.values().stream().mapToInt(s -> s.reports.size()).sum();
    update.hosts().stream()
        .limit(Math.max(0, room))
        .forEach(host -> source.reports.put(host.entry().host(), new Report(host, position)));
  }

  /** Whether another call reported a newer version than that of a line while its call was open. */
  boolean hasNewerReports(ListCall call, HostList.Update line) {
    return sources.entrySet().stream()
        .filter(entry -> entry.getKey() != call)
        .map(Map.Entry::getValue)
        .anyMatch(source -> source.last.isNewerThan(call, line.version()));
  }

  /** Returns an update without what newer reports of other calls forbid to use. */
  HostList.Update reconcile(ListCall call, HostList.Update update) {
    if (sources.isEmpty()) {
      return update;
    }
    // An entry of a line that is not complete has at least the version after the last line's.
    long version = update.version() >= 0 ? update.version() : call.version + 1;
    List<HostList.Listed> hosts = new ArrayList<>();
    for (HostList.Listed host : update.hosts()) {
      HostList.Listed reconciled = reconcile(call, version, host);
      boolean isOmitted =
          update.complete()
              && reconciled != host
              && reconciled.entry().availability() == Availability.GONE;
      if (!isOmitted) {
        hosts.add(reconciled);
      }
    }
    return new HostList.Update(update.complete(), update.version(), List.copyOf(hosts));
  }

  private HostList.Listed reconcile(ListCall call, long version, HostList.Listed host) {
    String name = host.entry().host();
    HostList.Listed result = host;
    for (Map.Entry<ListCall, Source> entry : sources.entrySet()) {
      if (entry.getKey() == call) {
        continue;
      }
      Source source = entry.getValue();
      Report report = source.reports.get(name);
      if (report != null && report.position.isNewerThan(call, version)) {
        result = moreCautious(report.host, result);
      } else if (source.omits(name, call, version)) {
        result = withAvailability(result, Availability.GONE);
      }
    }
    return result;
  }

  private static HostList.Listed withAvailability(HostList.Listed host, Availability next) {
    return new HostList.Listed(host.entry().withAvailability(next), host.address());
  }

  /** Of two entries of a host, the one that allows less; the newer one of two that are up. */
  private static HostList.Listed moreCautious(HostList.Listed newer, HostList.Listed older) {
    boolean isOlderMoreCautious =
        older.entry().availability().compareTo(newer.entry().availability()) > 0;
    return isOlderMoreCautious ? older : newer;
  }
}
