package ternscale.api;

/**
 * What a {@link Balancer} asks its gateway to carry out. Calls arrive only while the balancer
 * handles an event, in the order in which they are to take effect.
 */
public interface Actions {
  /**
   * Starts the next attempt of a request; {@code timeoutMs} of 0 means until the client's deadline.
   */
  void send(String requestId, String host, double timeoutMs);

  /** Final answer: refused, a new try is harmless. {@code retryAfterMs} of 0 gives no advice. */
  void reject(String requestId, double retryAfterMs);

  /** Final answer: failed, with no promise about its effect. */
  void fail(String requestId);

  /** Stops waiting for one attempt. */
  void cancel(String requestId, int attempt);

  /** Asks a host for a sign of life and, where there are any, its load report. */
  void probe(String host);

  /** Closes the idle connections held to a host. */
  void closeIdle(String host);

  /** Asks for {@link Balancer#onTimer} after {@code delayMs}. Timers cannot be taken back. */
  void setTimer(long timer, double delayMs);

  /** Asks discovery once for the complete list. */
  void poll();

  /** Starts or ends the subscription to list changes. */
  void watch(boolean on);

  /** Sends a few bytes to a peer; {@code peer} below 0 means all of them. */
  void sendToPeer(int peer, String data);

  /** A line for the operators' log. */
  void log(String line);
}
