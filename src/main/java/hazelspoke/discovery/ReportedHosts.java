package hazelspoke.discovery;

import hazelspoke.core.HostLimit;
import hazelspoke.core.HostList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ternscale.api.HostEntry;
import ternscale.api.HostEntry.Availability;

/**
 * What was reported of hosts while several calls to discovery were open. A call may deliver a list
 * that is older than a report which another call, opened later or slower to answer, has already
 * delivered. Versions order the two if both come from one service, and mean nothing otherwise. So
 * where an older version arrives after a newer one, a host is used only if both report it as up,
 * and a complete list that is asked for afterwards decides.
 */
final class ReportedHosts {
  /** Version of an entry whose line is not complete. */
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
    long version = update.version() >= 0 ? update.version() : UNKNOWN_VERSION;
    update.hosts().forEach(host -> record(new Report(host, version, order, source)));
    if (update.complete()) {
      recordList(source, update, version, order);
    }
  }

  private void recordList(ListCall source, HostList.Update update, long version, long order) {
    Set<String> names = new HashSet<>();
    update.hosts().forEach(host -> names.add(host.entry().host()));
    reports.values().removeIf(report -> isSettledByOmission(report, names, source, version));
    boolean isOlder = isOlderThanCompleteList(source, version);
    lastCompleteList =
        isOlder
            ? new CompleteList(names, lastCompleteList.version, order, lastCompleteList.source)
            : new CompleteList(names, version, order, source);
  }

  /** Whether a list that omits a host says all that there is to say of it. */
  private static boolean isSettledByOmission(
      Report report, Set<String> names, ListCall source, long version) {
    HostEntry entry = report.host.entry();
    boolean isNewer = isNewer(report.source, report.order, report.version, source, version);
    return !names.contains(entry.host()) && (entry.availability() == Availability.UP || !isNewer);
  }

  private void record(Report report) {
    HostEntry entry = report.host.entry();
    Report known = reports.get(entry.host());
    boolean hasRoom = known != null || reports.size() < HostLimit.MAX_HOSTS;
    // What is up by a line that may never be completed protects nothing.
    boolean isUseful = report.version != UNKNOWN_VERSION || entry.availability() != Availability.UP;
    if (hasRoom && isUseful) {
      reports.put(entry.host(), known == null ? report : merge(known, report));
    }
  }

  /**
   * Merges reports of which the next one has the older version and was reconciled with the other.
   */
  private static Report merge(Report known, Report next) {
    long leastVersion = next.version == UNKNOWN_VERSION ? -1 : next.version;
    if (!isNewer(known.source, known.order, known.version, next.source, leastVersion)) {
      return next;
    }
    return next.host.equals(known.host)
        ? new Report(known.host, known.version, next.order, known.source)
        : new Report(next.host, Math.max(known.version, next.version), next.order, next.source);
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
    // An entry of a line that is not complete has at least the version after the last line's.
    long version = update.version() >= 0 ? update.version() : call.version + 1;
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
    if (report != null && isNewer(report.source, report.order, report.version, call, version)) {
      return moreCautious(report.host, host);
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
}
