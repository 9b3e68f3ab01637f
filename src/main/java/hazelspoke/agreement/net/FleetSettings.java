package hazelspoke.agreement.net;

import hazelspoke.agreement.member.MemberSettings;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;

/**
 * The section of the operator's file that configures the fleet.
 *
 * @param member the settings of the member itself
 * @param addresses the address of each member, including this one
 * @param listen the address that this member listens on
 * @param dataDirectory this member's directory, which nobody else may use
 * @param partitionPolicy what the gateway does while it has no valid lease
 */
public record FleetSettings(
    MemberSettings member,
    Map<String, InetSocketAddress> addresses,
    InetSocketAddress listen,
    Path dataDirectory,
    PartitionPolicy partitionPolicy) {
  /**
   * What a gateway does whose lease has expired, or that has not joined yet. The constants' names
   * are values of a setting.
   */
  public enum PartitionPolicy {
    /**
     * It continues to serve; commands that depend on its confirmation wait until it has
     * reconnected, has left, or an operator has confirmed that its process has ended.
     */
    SERVE,
    /**
     * It accepts no new requests until it has reconnected; once its lease has expired, the fleet
     * continues without it.
     */
    LEAVE
  }

  public FleetSettings {
    addresses = Map.copyOf(addresses);
  }
}
