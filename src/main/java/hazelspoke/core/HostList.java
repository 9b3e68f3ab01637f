package hazelspoke.core;

import java.net.InetSocketAddress;
import java.util.List;
import ternscale.api.HostEntry;

/** Hosts as discovery lists them. */
public final class HostList {
  /** A host with the address under which this gateway reaches it. */
  public record Listed(HostEntry entry, InetSocketAddress address) {}

  /** One object of discovery's: the complete list, or what changed. */
  public record Update(boolean complete, long version, List<Listed> hosts) {}

  private HostList() {}
}
