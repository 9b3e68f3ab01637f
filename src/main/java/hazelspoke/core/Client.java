package hazelspoke.core;

/** The client of one request, implemented by a front end. */
public interface Client {
  /** What is known of a client that may have disconnected. */
  enum Presence {
    /** It waits: it had not closed its connection a moment ago. */
    WAITING,

    /** It has disconnected, or its request has ended. */
    GONE,

    /** Bytes that were unread for long have been read, and more may follow within a round trip. */
    CATCHING_UP,

    /** It may have disconnected behind bytes that cannot be read for want of room. */
    UNKNOWN
  }

  /**
   * Delivers the only answer to the request. May be called before {@link RequestHandler#onRequest}
   * returns; not called after the client was reported as disconnected.
   */
  void answer(Answer answer);

  /** Describes who its connection waits for, for the log. */
  String describeWait();

  /**
   * Reads immediately, without waiting, what the client has sent, also while reading is paused, and
   * tells whether it still waits. If it has closed its connection, the {@link RequestHandler} is
   * notified before this returns.
   */
  Presence checkPresence();
}
