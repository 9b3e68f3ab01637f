package hazelspoke.agreement.net;

import hazelspoke.agreement.member.MemberSettings;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;

/**
 * What the operator's file says of the fleet.
 *
 * @param member what the member itself is told
 * @param addresses where each member is reached, this one among them
 * @param listen where this one listens
 * @param dataDirectory its folder, which nobody else uses
 * @param partitionPolicy what it does past its term
 */
public record FleetSettings(
    MemberSettings member,
    Map<String, InetSocketAddress> addresses,
    InetSocketAddress listen,
    Path dataDirectory,
    PartitionPolicy partitionPolicy) {
  /** What a gateway does that is past its term, or that waits to join. */
  public enum PartitionPolicy {
    /** It goes on; nothing that needs its word passes until it is back, gone or vouched for. */
    SERVE,
    /** It takes no new requests until it is back; past its term the fleet goes on without it. */
    LEAVE
  }

  public FleetSettings {
    addresses = Map.copyOf(addresses);
  }
}
