package hazelspoke.agreement.member;

/** The way to the other members. */
public interface Transport {
  /** Sends a packet to a member, itself included; it may be lost, and never comes twice. */
  void send(String member, byte[] packet);

  /**
   * Tries to connect anew to a member's port.
   *
   * @param refused is run if its machine says that nobody listens there; a way that is cut, or a
   *     process that stands still, cannot bring that about
   */
  void probe(String member, Runnable refused);
}
