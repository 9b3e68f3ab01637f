package hazelspoke.core;

/** The client of one request, implemented by a front end. */
public interface Client {
  /**
   * Delivers the only answer to the request. May be called before {@link RequestHandler#onRequest}
   * returns; not called after the client was reported as disconnected.
   */
  void answer(Answer answer);

  /**
   * Reads immediately, without waiting, everything that the client has sent. If the client has
   * closed its connection, the {@link RequestHandler} is notified before this returns.
   */
  void readPending();
}
