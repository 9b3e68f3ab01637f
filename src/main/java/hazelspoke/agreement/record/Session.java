package hazelspoke.agreement.record;

/**
 * The standing of a member's newest incarnation.
 *
 * @param member its name
 * @param storeId its data folder's own name
 * @param sessionEpoch of the process; higher than those before it in the same folder
 * @param incarnation the index of the entry by which it joined
 * @param address where the others reach it
 * @param sinceIndex the index of the entry that gave it this standing
 */
public record Session(
    String member,
    String storeId,
    long sessionEpoch,
    long incarnation,
    String address,
    Status status,
    long sinceIndex) {
  /** What the record knows of a process. */
  public enum Status {
    /** It renews in time. */
    THERE,
    /** Past its term; the process may still run. */
    SILENT,
    /** Certain to be over: it left. */
    LEFT,
    /** Certain to be over: its machine refused a connection. */
    REFUSED,
    /** Certain to be over: an operator said so. */
    VOUCHED;

    /** Whether it is certain to be over. */
    public boolean hasEnded() {
      return this != THERE && this != SILENT;
    }
  }

  Session with(Status next, long index) {
    return new Session(member, storeId, sessionEpoch, incarnation, address, next, index);
  }
}
