package hazelspoke.core;

/**
 * The only place that decides whether bytes may still be written for a request. It is called
 * immediately before the first byte and before the last byte of an attempt. Between the decision to
 * start an attempt and its write, the attempt waits for a connection, for an event-loop iteration
 * and for host list updates, and the process may stall, so the decision is checked again here.
 * Reads the client's socket instead of relying on an earlier read. Confined to the event loop.
 */
final class SendGuard {
  /**
   * The tolerance of the protocol between reading the clock and writing the remaining time to a
   * host.
   */
  private static final double REPORTED_TIME_TOLERANCE_MS = 150;

  private final Clock clock;
  private final Violations violations;

  SendGuard(Clock clock, Violations violations) {
    this.clock = clock;
    this.violations = violations;
  }

  /**
   * Whether the first byte of an attempt may be written now, or the last one after all others were
   * written. It has to be written by {@code sendByMs}: hosts discard repeats of the request's key
   * only until then.
   */
  SendDecision check(Exchange exchange, double sendByMs) {
    if (exchange.ended) {
      return SendDecision.DO_NOT_SEND;
    }
    Client.Presence presence = exchange.client().checkPresence();
    double nowMs = clock.nowMs();
    if (exchange.ended || nowMs >= sendByMs || nowMs >= exchange.deadlineMs) {
      return SendDecision.DO_NOT_SEND;
    }
    return switch (presence) {
      case WAITING -> SendDecision.SEND;
      case CATCHING_UP -> SendDecision.ASK_AGAIN;
      case GONE, UNKNOWN -> SendDecision.DO_NOT_SEND;
    };
  }

  /** Checks the request after the last byte was written. */
  void checkSent(Exchange exchange) {
    if (exchange.ended) {
      violations.count(Violations.Kind.SENT_AFTER_END, exchange.id);
    }
  }

  /** Checks the remaining time, in milliseconds, that is sent to a host. */
  void checkReportedTime(Exchange exchange, double remainingMs) {
    if (remainingMs > exchange.deadlineMs - clock.nowMs() + REPORTED_TIME_TOLERANCE_MS) {
      violations.count(Violations.Kind.TIME_TOLD, exchange.id);
    }
  }
}
