package hazelspoke.agreement.member;

/** Sends packets to other members. */
public interface Transport {
  /** Sends a packet to a member, which may be the sender; it may be lost but not duplicated. */
  void send(String member, byte[] packet);

  /**
   * Opens a new connection to a member's port.
   *
   * @param refused runs if the member's machine refuses the connection, as nothing listens there; a
   *     network partition or a stalled process does not cause this
   */
  void probe(String member, Runnable refused);
}
