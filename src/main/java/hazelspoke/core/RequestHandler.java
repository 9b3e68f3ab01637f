package hazelspoke.core;

/** Receives requests from the front ends: the dispatcher, or a filter in front of it. */
public interface RequestHandler {
  /**
   * A request is complete, or as much of it as can be buffered was received. From now on it awaits
   * exactly one answer, or the notification that its client has disconnected.
   */
  void onRequest(Exchange exchange);

  /**
   * The client disconnected before it was answered; it receives no answer. Does nothing if the
   * request was answered.
   */
  void onClientDisconnected(Exchange exchange);

  /**
   * The remainder of a request that was handed over with an incomplete body was received; its
   * deadline counts from now on. Does nothing if the request has ended.
   */
  void onRequestComplete(Exchange exchange);

  /**
   * The client of a request that was handed over with an incomplete body may have sent the whole
   * request, while this side has not read it; its deadline counts from then on. Does nothing if the
   * request has ended.
   *
   * @param sinceMs the earliest time by which it may have; infinite if it is known to send on
   */
  void onRequestMayBeComplete(Exchange exchange, double sinceMs);

  /**
   * The answer was written to the client, or cannot be written because the client has disconnected.
   * Used to detect late answers; does nothing for other requests.
   *
   * @param unreadMs how long the client was waited for to read it, in milliseconds
   */
  void onAnswerWritten(Exchange exchange, double unreadMs);

  /**
   * Estimates how long data that is being read has waited for the event loop, in milliseconds. A
   * request that takes several reads may have waited for longer; see {@link Exchange#setUnread}.
   */
  double estimatedWaitMs();

  /**
   * Claims the client-assigned id of a request immediately before {@link #onRequest}.
   *
   * @return false if a request with this id is open, here or at another process of this gateway, or
   *     has ended a short while ago and may have run although it must not run twice
   */
  boolean claimId(Exchange exchange);
}
