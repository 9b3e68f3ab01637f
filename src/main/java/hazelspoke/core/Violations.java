package hazelspoke.core;

/**
 * Counts violations of the gateway's invariants at run time and logs each with the request's id. A
 * count above 0 indicates a defect of the gateway. Confined to the event loop.
 */
public final class Violations {
  /** The invariants. */
  public enum Kind {
    /** The last byte of an attempt was written after its request had ended. */
    SENT_AFTER_END("bytes were sent after it had ended"),

    /** A host was sent a remaining time longer than that of the client and of this process. */
    TIME_TOLD("the remaining time sent to a host was too long"),

    /** The gateway closed a connection while a request that had begun on it was unanswered. */
    CLOSED_UNANSWERED("its connection was closed before it was answered"),

    /** A request was given a second final answer. */
    ANSWERED_TWICE("it was answered twice"),

    /** The process ends while requests are unanswered. */
    EXIT_UNANSWERED("this process exits before it is answered");

    private final String description;

    Kind(String description) {
      this.description = description;
    }
  }

  private final Log log;
  private final Meter meter;

  /** Creates a counter that writes to this log and meter. */
  public Violations(Log log, Meter meter) {
    this.log = log;
    this.meter = meter;
  }

  /**
   * Records a violation.
   *
   * @param request the id assigned by the gateway or the client, or the connection concerned
   */
  public void count(Kind kind, String request) {
    meter.onViolation(kind);
    log.line("violation: request " + request + ": " + kind.description);
  }
}
