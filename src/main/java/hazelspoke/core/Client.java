package hazelspoke.core;

/** Who asked: a front's end of one request. */
public interface Client {
  /**
   * Gives the one answer to its request. It may come before {@link RequestHandler#onRequest}
   * returns. Not called once the client was said to have gone.
   */
  void answer(Answer answer);

  /**
   * Reads at once whatever the client has sent or ended by now: its end is told to the {@link
   * RequestHandler} before this returns. Does not wait.
   */
  void readPending();
}
