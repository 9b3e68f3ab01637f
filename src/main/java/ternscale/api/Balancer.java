package ternscale.api;

/**
 * The decisions of one gateway. One method per event; every method is given the clock in
 * milliseconds, which never runs backwards, and answers through the {@link Actions} it was built
 * with. A balancer is confined to one thread, keeps no thread or clock of its own, and with the
 * same settings, seed and events asks for the same actions.
 *
 * <p>Events that cross an earlier decision (the client of an ended request leaves, an outcome of a
 * cancelled attempt, a timer with nothing left to do) are expected and harmless. After {@link
 * #close} every event that it heeds throws {@link IllegalStateException}.
 */
public interface Balancer {
  /** Discovery reports hosts, or that it could not. */
  void onMembers(double now, MembersUpdate update);

  /** A client request was accepted; it is now owed exactly one final answer. */
  void onRequest(double now, RequestInfo request);

  /** The client of a request left; no answer is owed any more. */
  void onClientDisconnected(double now, String requestId);

  /** An attempt ended. */
  void onOutcome(double now, Outcome outcome);

  /** A streamed answer has begun; the attempt now belongs to the client. */
  void onResponseStarted(double now, String requestId, int attempt, String host);

  /** A timer came due. */
  void onTimer(double now, long timer);

  /** A probe was answered or failed; of no interest to who never probes. */
  default void onProbeResult(double now, ProbeResult result) {}

  /** A peer sent a message; of no interest to who never sends any. */
  default void onPeerMessage(double now, int sender, String data) {}

  /**
   * Other settings are in force. Of what it was built with only the classes and the limits may have
   * changed: each class that it knows is still at its place, and more may stand behind. Requests in
   * hand keep the class that they came with.
   */
  void onSettings(double now, Settings settings);

  /** How many hosts it would send a request to, going by what it knows of them; no event. */
  int usableHosts(double now);

  /** Ends this balancer; all it held is void. */
  void close();
}
