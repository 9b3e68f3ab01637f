package hazelspoke.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import ternscale.api.HostEntry;

/** Hosts as discovery lists them. */
final class HostList {
  /** A host with the address under which this gateway reaches it. */
  record Listed(HostEntry entry, InetSocketAddress address) {}

  /** One object of discovery's: the complete list, or what changed. */
  record Update(boolean complete, long version, List<Listed> hosts) {}

  private HostList() {}
}
