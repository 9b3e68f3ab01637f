package hazelspoke.discovery;

import hazelspoke.core.HostList;
import hazelspoke.core.Names;
import hazelspoke.net.Addresses;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import ternscale.adapter.JsonTree;
import ternscale.api.HostEntry;
import ternscale.api.HostEntry.Availability;

/** Discovery's way to write down hosts, in the configuration and in answers alike. */
public final class HostListJson {
  private HostListJson() {}

  public static HostList.Update read(JsonTree list, Names names) {
    List<HostList.Listed> hosts = new ArrayList<>();
    for (JsonTree entry : list.get("endpoints").list()) {
      HostList.Listed host = entry(entry, names);
      if (host != null) {
        hosts.add(host);
      }
    }
    return new HostList.Update(
        list.get("snapshot").flag(false), (long) list.get("index").number(0), hosts);
  }

  /**
   * One entry, or null for a host that cannot be used: in a zone that the settings do not list, as
   * rule 2 hangs on zones and two unknown ones could not be told apart, or without an address.
   */
  public static HostList.Listed entry(JsonTree e, Names names) {
    String name = e.get("name").text(null);
    if (name == null) {
      throw e.get("name").error("is missing");
    }
    int zone = names.zones().indexOf(e.get("zone").text(""));
    if (zone < 0) {
      return null;
    }
    Availability availability = availability(e.get("status"));
    InetSocketAddress address = Addresses.parse(e.get("address").text(""));
    if (address == null && availability == Availability.UP) {
      return null;
    }
    double weight = e.get("weight").number(1);
    if (weight < 0) {
      throw e.get("weight").error("is below 0");
    }
    return new HostList.Listed(
        new HostEntry(
            name,
            weight,
            names.kind(e.get("type").text("")),
            zone,
            e.get("group").integer(0),
            availability,
            e.get("since_ms").number(0)),
        address);
  }

  private static Availability availability(JsonTree status) {
    return switch (status.text("")) {
      case "Ready" -> Availability.UP;
      case "Terminating" -> Availability.DRAINING;
      case "Gone" -> Availability.GONE;
      default -> throw status.error("has an unknown value");
    };
  }
}
