package hazelspoke.core;

/** Where fronts bring requests: the dispatcher, or a guard that stands before it. */
public interface RequestHandler {
  /**
   * A request is whole, or all of it that can be held is there. From now on it is owed one answer,
   * or the word that its client has gone.
   */
  void onRequest(Exchange exchange);

  /** The client left before it had its answer; it is given none. Harmless for one answered. */
  void onClientDisconnected(Exchange exchange);

  /**
   * All of a request has come that was handed over with a body whose rest was still to come; its
   * time runs from now on. Harmless for one that has ended.
   */
  void onRequestComplete(Exchange exchange);

  /**
   * The answer to a request has left for its client, or cannot any more as the client is gone. Of
   * use to whoever watches how late answers leave; harmless for any request.
   */
  void onAnswerWritten(Exchange exchange);

  /** Whether a request with this id of a client's is still owed its answer. */
  boolean isOpen(String txn);
}
