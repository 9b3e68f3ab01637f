package hazelspoke.core;

/**
 * Counts at run time what must never happen, each with a line in the log that names the request: a
 * figure other than 0 is a fault of the gateway. On the loop.
 */
public final class Violations {
  /** What must never happen. */
  public enum Kind {
    /** The last byte of an attempt was written after its request had ended. */
    SENT_AFTER_END("something was sent after its end"),

    /** An attempt was told more time than its client and this process had left. */
    TIME_TOLD("a host was told more time than there is"),

    /** The gateway itself closed a connection on which a request had begun and had no answer. */
    CLOSED_UNANSWERED("its connection was closed without an answer"),

    /** A request was given a second final answer. */
    ANSWERED_TWICE("a second answer was given"),

    /** The process ends with requests that have no answer. */
    EXIT_UNANSWERED("this process ends without its answer");

    private final String words;

    Kind(String words) {
      this.words = words;
    }
  }

  private final Log log;
  private final Meter meter;

  /** One that writes to this log and counts at this meter. */
  public Violations(Log log, Meter meter) {
    this.log = log;
    this.meter = meter;
  }

  /**
   * Notes one.
   *
   * @param request the gateway's or the client's id of it, or whose connection it is
   */
  public void count(Kind kind, String request) {
    meter.onViolation(kind);
    log.line("violation: request " + request + ": " + kind.words);
  }
}
