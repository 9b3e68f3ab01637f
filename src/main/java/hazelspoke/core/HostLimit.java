package hazelspoke.core;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import ternscale.api.HostEntry;
import ternscale.api.HostEntry.Availability;
import ternscale.api.MembersUpdate;

/** Limits the number of hosts that discovery can make this process keep. */
public final class HostLimit {
  /** More than twice the 4,600 hosts of the largest fleet planned. */
  public static final int MAX_HOSTS = 10_000;

  private final Set<String> keptHosts = new HashSet<>();

  /** Returns the hosts of an update without those beyond the limit, in the same order. */
  List<HostList.Listed> admit(MembersUpdate.Kind kind, List<HostList.Listed> hosts) {
    if (kind == MembersUpdate.Kind.FULL) {
      keptHosts.clear();
    }
    List<HostList.Listed> admitted = new ArrayList<>();
    for (HostList.Listed host : hosts) {
      if (admits(host.entry())) {
        admitted.add(host);
      }
    }
    return admitted;
  }

  private boolean admits(HostEntry entry) {
    if (entry.availability() == Availability.GONE) {
      remove(entry.host());
      return true;
    }
    if (keptHosts.contains(entry.host())) {
      return true;
    }
    return keptHosts.size() < MAX_HOSTS && keptHosts.add(entry.host());
  }

  /** Reports that a host is no longer kept. */
  void remove(String host) {
    keptHosts.remove(host);
  }
}
