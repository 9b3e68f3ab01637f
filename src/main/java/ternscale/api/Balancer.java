package ternscale.api;

/**
 * Makes the decisions of one gateway. There is one method per event. Each is passed the current
 * time in milliseconds, which never decreases, and acts through the {@link Actions} that the
 * balancer was created with. A balancer is confined to one thread, has no thread or clock of its
 * own, and requests the same actions for the same settings, seed and events.
 *
 * <p>Events that arrive after a decision that overtook them (a disconnect of the client of a
 * finished request, an outcome of a cancelled attempt, a timer without pending work) are expected
 * and ignored. After {@link #close} every event that is not a no-op throws {@link
 * IllegalStateException}.
 */
public interface Balancer {
  /** Discovery delivered a host list or change, or failed to. */
  void onMembers(double now, MembersUpdate update);

  /** A client request was accepted; it must receive exactly one final response. */
  void onRequest(double now, RequestInfo request);

  /** The client of a request disconnected; it no longer needs a response. */
  void onClientDisconnected(double now, String requestId);

  /** An attempt ended. */
  void onOutcome(double now, Outcome outcome);

  /** A streamed response has started; the request can no longer be retried. */
  void onResponseStarted(double now, String requestId, int attempt, String host);

  /** A timer expired. */
  void onTimer(double now, long timer);

  /** A probe finished; does nothing by default, for balancers that never probe. */
  default void onProbeResult(double now, ProbeResult result) {}

  /** A peer sent a message; does nothing by default, for balancers that never send any. */
  default void onPeerMessage(double now, int sender, String data) {}

  /**
   * The settings were reloaded. Only classes and limits may differ from the settings that the
   * balancer was created with: existing classes keep their indexes, and new ones may follow.
   * Requests that are already accepted keep the class they arrived with.
   */
  void onSettings(double now, Settings settings);

  /** The number of hosts that it currently considers for requests; a query, not an event. */
  int usableHosts(double now);

  /** Closes this balancer and abandons its requests. */
  void close();
}
