package hazelspoke.core;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ternscale.api.HostEntry;

/** Hosts as discovery lists them. */
public final class HostList {
  /** A host with the address under which this gateway reaches it. */
  public record Listed(HostEntry entry, InetSocketAddress address) {}

  /** One object of discovery's: the complete list, or what changed. */
  public record Update(boolean complete, long version, List<Listed> hosts) {
    /**
     * The complete list that this one becomes by the next update: that itself where it is complete,
     * or else this one's hosts with those in their place that it names.
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
