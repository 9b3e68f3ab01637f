package hazelspoke.core;

/** Who asked: a front's end of one request. */
public interface Client {
  /**
   * Gives the one answer to its request. It may come before {@link Intake#onRequest} returns. Not
   * called once the client was said to have gone.
   */
  void answer(Answer answer);
}
