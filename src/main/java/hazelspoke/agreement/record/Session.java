package hazelspoke.agreement.record;

/**
 * The session of a member's newest incarnation.
 *
 * @param member the name of the member
 * @param storeId the unique id of the member's data directory
 * @param sessionEpoch higher than every earlier epoch of the same data directory
 * @param incarnation the index of the entry by which this incarnation joined
 * @param address where other members reach the process
 * @param sinceIndex the index of the entry that set this status
 */
public record Session(
    String member,
    String storeId,
    long sessionEpoch,
    long incarnation,
    String address,
    Status status,
    long sinceIndex) {
  /** The status of a session. The constants are stored by name. */
  public enum Status {
    /** Active: the process renews its lease in time. */
    THERE,
    /** The lease has expired; the process may still run. */
    SILENT,
    /** The process has ended for certain: it left the fleet. */
    LEFT,
    /** The process has ended for certain: its machine refused a connection. */
    REFUSED,
    /** The process has ended for certain: an operator confirmed it. */
    VOUCHED;

    /** Returns whether the process has ended for certain. */
    public boolean hasEnded() {
      return this != THERE && this != SILENT;
    }
  }

  Session with(Status next, long index) {
    return new Session(member, storeId, sessionEpoch, incarnation, address, next, index);
  }
}
