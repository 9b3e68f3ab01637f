package hazelspoke.bench.scale;

import hazelspoke.agreement.member.MemberSettings;
import hazelspoke.agreement.net.FleetSettings;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Names and loopback addresses of the members of a fleet. The first {@code voters} members vote.
 *
 * @param block selects the address range, so that concurrent runs do not collide
 */
record FleetLayout(int members, int voters, int block) {
  static final String FLEET = "scale";

  private static final int PORT = 7_400;
  private static final int BLOCK_SIZE = 200;

  /** Fleets of different sizes start at different addresses: a port stays in use for a while. */
  private InetSocketAddress address(int member) {
    int index = member + members % BLOCK_SIZE;
    return new InetSocketAddress(
        "127." + (100 + block) + "." + index / BLOCK_SIZE + "." + (1 + index % BLOCK_SIZE), PORT);
  }

  static String name(int member) {
    return String.format(Locale.ROOT, "m%04d", member);
  }

  List<String> names() {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < members; i++) {
      names.add(name(i));
    }
    return List.copyOf(names);
  }

  /** Returns the addresses of all members; members of one process share the map. */
  Map<String, InetSocketAddress> addresses() {
    Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    for (int i = 0; i < members; i++) {
      addresses.put(name(i), address(i));
    }
    return Map.copyOf(addresses);
  }

  /** Returns the settings of one member, with the default timings. */
  FleetSettings settings(
      int member, List<String> names, Map<String, InetSocketAddress> addresses, Path data) {
    InetSocketAddress address = addresses.get(name(member));
    return new FleetSettings(
        new MemberSettings(
            FLEET,
            name(member),
            address.getHostString() + ":" + address.getPort(),
            names,
            names.subList(0, voters),
            MemberSettings.DEFAULT_LEASE_NANOS,
            MemberSettings.DEFAULT_DRIFT,
            MemberSettings.DEFAULT_HEARTBEAT_NANOS,
            MemberSettings.DEFAULT_SNAPSHOT_EVERY,
            true),
        addresses,
        address,
        data,
        FleetSettings.PartitionPolicy.SERVE);
  }
}
