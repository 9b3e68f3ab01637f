package hazelspoke.core;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ternscale.api.HostEntry;

/** The hosts as listed by discovery. */
public final class HostList {
  /** A host and the address at which this gateway reaches it. */
  public record Listed(HostEntry entry, InetSocketAddress address) {}

  /** One message of discovery: the complete list, or the entries that changed. */
  public record Update(boolean complete, long version, List<Listed> hosts) {
    /**
     * Returns the complete list after the next update: the update itself if it is complete,
     * otherwise these hosts with the updated entries replaced or added.
     */
    public Update changedBy(Update next) {
      if (next.complete()) {
        return next;
      }
      Map<String, Listed> byName = new LinkedHashMap<>();
      hosts.forEach(host -> byName.put(host.entry().host(), host));
      next.hosts().forEach(host -> byName.put(host.entry().host(), host));
      return new Update(true, next.version(), List.copyOf(byName.values()));
    }
  }

  private HostList() {}
}
