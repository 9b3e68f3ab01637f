package hazelspoke.discovery;

import hazelspoke.core.HostList;
import hazelspoke.core.Names;
import hazelspoke.net.Addresses;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import ternscale.adapter.JsonTree;
import ternscale.api.HostEntry;
import ternscale.api.HostEntry.Availability;

/** Reads the JSON form of host lists, which discovery and the configuration share. */
public final class HostListJson {
  /** The fields of an entry that are read; all others are ignored. */
  static final Set<String> FIELDS =
      Set.of("name", "zone", "status", "address", "weight", "type", "group", "since_ms");

  /** The longest name of a host in DNS. */
  private static final int MAX_NAME_CHARS = 253;

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
   * Reads one entry. Returns null for an unusable host: one that is up but has no address, or one
   * in a zone that the settings do not list, as duplicate suppression (rule 2) depends on zones and
   * unknown ones cannot be distinguished.
   */
  public static HostList.Listed entry(JsonTree fields, Names names) {
    String name = fields.get("name").text(null);
    if (name == null) {
      throw fields.get("name").error("is missing");
    }
    if (name.length() > MAX_NAME_CHARS) {
      throw fields.get("name").error("is longer than " + MAX_NAME_CHARS + " characters");
    }
    int zone = names.zones().indexOf(fields.get("zone").text(""));
    if (zone < 0) {
      return null;
    }
    Availability availability = availability(fields.get("status"));
    InetSocketAddress address = Addresses.parse(fields.get("address").text(""));
    if (address == null && availability == Availability.UP) {
      return null;
    }
    double weight = fields.get("weight").number(1);
    if (weight < 0) {
      throw fields.get("weight").error("is below 0");
    }
    return new HostList.Listed(
        new HostEntry(
            name,
            weight,
            names.kindIndex(fields.get("type").text("")),
            zone,
            fields.get("group").integer(0),
            availability,
            fields.get("since_ms").number(0)),
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
