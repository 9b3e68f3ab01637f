package hazelspoke.agreement.member;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * What one member is told of its fleet.
 *
 * @param fleet its name; members of another one are strangers
 * @param self this member's name
 * @param address where the others reach it
 * @param members the names of all
 * @param voters the names of those whose votes count at the beginning; 1, 3, 5 or 7
 * @param leaseNanos how long a session holds without being renewed, in ns
 * @param drift by what part a member's clock may go too fast or too slow, 0 to 0.1
 * @param heartbeatNanos between two signs of life of the leader, in ns
 * @param snapshotEvery how many entries are kept before a snapshot takes their place
 * @param refusalProvesEnd whether a machine that refuses a connection at a silent member's port
 *     says that its process is over; not so where something between can refuse in its place
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
  /** The usual part by which a clock may be off. */
  public static final double DEFAULT_DRIFT = 0.01;

  /** The usual term. */
  public static final long DEFAULT_LEASE_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** The usual time between signs of life; an election takes four to seven of these. */
  public static final long DEFAULT_HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** The usual number of entries between snapshots. */
  public static final int DEFAULT_SNAPSHOT_EVERY = 10_000;

  public MemberSettings {
    members = List.copyOf(members);
    voters = List.copyOf(voters);
  }

  boolean isVoter() {
    return voters.contains(self);
  }
}
