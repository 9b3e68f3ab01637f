package ternscale.api;

/**
 * Actions that a {@link Balancer} requests from its gateway. They are called only while the
 * balancer handles an event, in the order in which they take effect.
 */
public interface Actions {
  /**
   * Starts the next attempt of a request; a {@code timeoutMs} of 0 means until the client's
   * deadline.
   */
  void send(String requestId, String host, double timeoutMs);

  /** Final response: rejected; a retry is safe. A {@code retryAfterMs} of 0 gives no advice. */
  void reject(String requestId, double retryAfterMs);

  /** Final response: failed; the request may have had its effect. */
  void fail(String requestId);

  /** Cancels one attempt. */
  void cancel(String requestId, int attempt);

  /** Sends a health check to a host, which may return a load report. */
  void probe(String host);

  /** Closes the idle connections to a host. */
  void closeIdle(String host);

  /** Schedules {@link Balancer#onTimer} after {@code delayMs}. Timers cannot be cancelled. */
  void setTimer(long timer, double delayMs);

  /** Requests the complete list from discovery once. */
  void poll();

  /** Starts or stops the subscription to list changes. */
  void watch(boolean on);

  /** Sends a short message to a peer; a negative {@code peer} means all peers. */
  void sendToPeer(int peer, String data);

  /** Writes a line to the operators' log. */
  void log(String line);
}
