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
 * Who is who in a fleet of so many members: names, and an address of its own on loopback for each.
 * The first are the voters.
 *
 * @param block of the addresses, so that plays beside one another do not meet
 */
record Places(int members, int voters, int block) {
  static final String FLEET = "scale";

  private static final int PORT = 7_400;
  private static final int A_BLOCK = 200;

  /** Those of another size begin elsewhere, as a port stays taken for a while. */
  private InetSocketAddress address(int member) {
    int place = member + members % A_BLOCK;
    return new InetSocketAddress(
        "127." + (100 + block) + "." + place / A_BLOCK + "." + (1 + place % A_BLOCK), PORT);
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

  /** Of all of them; one map is shared by those of a process. */
  Map<String, InetSocketAddress> addresses() {
    Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    for (int i = 0; i < members; i++) {
      addresses.put(name(i), address(i));
    }
    return Map.copyOf(addresses);
  }

  /** Of one member, with the usual times. */
  FleetSettings settings(
      int member, List<String> names, Map<String, InetSocketAddress> addresses, Path data) {
    InetSocketAddress own = addresses.get(name(member));
    return new FleetSettings(
        new MemberSettings(
            FLEET,
            name(member),
            own.getHostString() + ":" + own.getPort(),
            names,
            names.subList(0, voters),
            MemberSettings.DEFAULT_LEASE_NANOS,
            MemberSettings.DEFAULT_DRIFT,
            MemberSettings.DEFAULT_HEARTBEAT_NANOS,
            MemberSettings.DEFAULT_SNAPSHOT_EVERY,
            true),
        addresses,
        own,
        data,
        FleetSettings.PartitionPolicy.SERVE);
  }
}
