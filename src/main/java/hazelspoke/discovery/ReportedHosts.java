package hazelspoke.discovery;

import hazelspoke.core.HostLimit;
import hazelspoke.core.HostList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ternscale.api.HostEntry.Availability;

/**
 * What was reported of hosts while several calls to discovery were open. A call may deliver a list
 * that is older than a report which another call, opened later or slower to answer, has already
 * delivered. Versions order the two if both come from one service, and mean nothing otherwise. So
 * where an older version arrives after a newer one, a host is used only if both report it as up,
 * and a complete list that is asked for afterwards decides.
 */
final class ReportedHosts {
  /** Version of an entry whose line is not complete, and whose call has completed none. */
  private static final long UNKNOWN_VERSION = Long.MAX_VALUE;

  private record Report(HostList.Listed host, long version, long order, ListCall source) {}

  private record CompleteList(Set<String> hosts, long version, long order, ListCall source) {}

  private final Map<String, Report> reports = new HashMap<>();
  private CompleteList lastCompleteList;

  void clear() {
    reports.clear();
    lastCompleteList = null;
  }

  /** Keeps an update that was applied, as delivered by a call. */
  void record(ListCall source, HostList.Update update, long order) {
    long version = versionOf(source, update, UNKNOWN_VERSION);
    update.hosts().forEach(host -> record(new Report(host, version, order, source)));
    if (update.complete()) {
      Set<String> names = new HashSet<>();
      update.hosts().forEach(host -> names.add(host.entry().host()));
      boolean isOlder = isOlderThanCompleteList(source, version);
      lastCompleteList =
          isOlder
              ? new CompleteList(names, lastCompleteList.version, order, lastCompleteList.source)
              : new CompleteList(names, version, order, source);
    }
  }

  private void record(Report report) {
    String name = report.host.entry().host();
    Report known = reports.get(name);
    if (known == null && reports.size() == HostLimit.MAX_HOSTS) {
      return;
    }
    boolean isOlder =
        known != null
            && isNewer(known.source, known.order, known.version, report.source, report.version);
    reports.put(
        name,
        isOlder ? new Report(report.host, known.version, report.order, known.source) : report);
  }

  /** Whether a newer version than that of a line was reported while its call was open. */
  boolean contradict(ListCall call, HostList.Update line) {
    for (Report report : reports.values()) {
      if (isNewer(report.source, report.order, report.version, call, line.version())) {
        return true;
      }
    }
    return isOlderThanCompleteList(call, line.version());
  }

  /** Returns an update without what newer reports of other calls forbid to use. */
  HostList.Update reconcile(ListCall call, HostList.Update update) {
    if (reports.isEmpty() && lastCompleteList == null) {
      return update;
    }
    long version = versionOf(call, update, -1);
    List<HostList.Listed> hosts = new ArrayList<>();
    for (HostList.Listed host : update.hosts()) {
      HostList.Listed reconciled = reconcile(call, version, host);
      boolean isOmitted = isGone(reconciled) && update.complete();
      if (!isOmitted) {
        hosts.add(reconciled);
      }
    }
    return new HostList.Update(update.complete(), update.version(), List.copyOf(hosts));
  }

  private HostList.Listed reconcile(ListCall call, long version, HostList.Listed host) {
    Report report = reports.get(host.entry().host());
    if (report != null) {
      return isNewer(report.source, report.order, report.version, call, version)
          ? moreCautious(report.host, host)
          : host;
    }
    boolean isUnlisted =
        isOlderThanCompleteList(call, version)
            && !lastCompleteList.hosts.contains(host.entry().host());
    return isUnlisted
        ? new HostList.Listed(host.entry().withAvailability(Availability.GONE), host.address())
        : host;
  }

  /** Of two entries of a host, the one that allows less; the newer one of two that are up. */
  private static HostList.Listed moreCautious(HostList.Listed newer, HostList.Listed older) {
    boolean isOlderMoreCautious =
        older.entry().availability().compareTo(newer.entry().availability()) > 0;
    return isOlderMoreCautious ? older : newer;
  }

  private boolean isOlderThanCompleteList(ListCall call, long version) {
    CompleteList list = lastCompleteList;
    return list != null && isNewer(list.source, list.order, list.version, call, version);
  }

  private static boolean isNewer(
      ListCall source, long order, long reportedVersion, ListCall call, long version) {
    return source != call && order > call.order && reportedVersion > version;
  }

  private static boolean isGone(HostList.Listed host) {
    return host.entry().availability() == Availability.GONE;
  }

  /** The version of an update; the least one possible of an entry whose line is not complete. */
  private static long versionOf(ListCall call, HostList.Update update, long unknown) {
    if (update.version() >= 0) {
      return update.version();
    }
    return call.version >= 0 ? call.version + 1 : unknown;
  }
}
