package hazelspoke.agreement.member;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The settings of one member of a fleet.
 *
 * @param fleet the name of the fleet; members of another fleet are rejected
 * @param self the name of this member
 * @param address where other members reach this one
 * @param members the names of all members
 * @param voters the names of the initial voters; 1, 3, 5 or 7
 * @param leaseNanos how long a session is valid without a renewal
 * @param drift the maximum relative clock error of a member, 0 to 0.1
 * @param heartbeatNanos the interval between two heartbeats of the leader
 * @param snapshotEvery how many entries are kept before a snapshot replaces them
 * @param refusalProvesEnd whether a refused connection at the port of a member with an expired
 *     lease proves that its process has ended; false where a device in between can refuse
 *     connections
 */
public record MemberSettings(
    String fleet,
    String self,
    String address,
    List<String> members,
    List<String> voters,
    long leaseNanos,
    double drift,
    long heartbeatNanos,
    int snapshotEvery,
    boolean refusalProvesEnd) {
  /** The default maximum relative clock error. */
  public static final double DEFAULT_DRIFT = 0.01;

  /** The default duration of a lease. */
  public static final long DEFAULT_LEASE_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** The default heartbeat interval; an election takes four to seven intervals. */
  public static final long DEFAULT_HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** The default number of entries between snapshots. */
  public static final int DEFAULT_SNAPSHOT_EVERY = 10_000;

  public MemberSettings {
    members = List.copyOf(members);
    voters = List.copyOf(voters);
  }

  boolean isVoter() {
    return voters.contains(self);
  }
}
