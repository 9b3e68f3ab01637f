package hazelspoke.core;

/**
 * The only place that decides whether bytes may still be written for a request. It is called
 * immediately before the first byte and before the last byte of an attempt. Between the decision to
 * start an attempt and its write, the attempt waits for a connection, for an event-loop iteration
 * and for host list updates, and the process may stall, so the decision is checked again here.
 * Reads the client's socket instead of relying on an earlier read. Confined to the event loop.
 */
final class SendGuard {
  /** The result of a check. */
  enum Verdict {
    ALLOWED,

    /** The request was answered, or its client has disconnected. */
    REQUEST_ENDED,

    /** The window within which a host discards a repeat of the request's key has passed. */
    WINDOW_OVER,

    /** The deadline of the request or of this process has passed. */
    OUT_OF_TIME
  }

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
   * Whether the first byte of an attempt may be written now. It has to be written by {@code
   * sendByMs}.
   */
  Verdict checkFirstByte(Exchange exchange, double sendByMs) {
    if (!isClientWaiting(exchange)) {
      return Verdict.REQUEST_ENDED;
    }
    double nowMs = clock.nowMs();
    if (nowMs >= sendByMs) {
      return Verdict.WINDOW_OVER;
    }
    return nowMs < exchange.deadlineMs ? Verdict.ALLOWED : Verdict.OUT_OF_TIME;
  }

  /** Whether the last byte of an attempt may be written now, after all others were written. */
  Verdict checkLastByte(Exchange exchange, double sendByMs) {
    return checkFirstByte(exchange, sendByMs);
  }

  /** Whether the client still waits for the answer. Reads its socket first. */
  private static boolean isClientWaiting(Exchange exchange) {
    if (!exchange.ended) {
      exchange.client().readPending();
    }
    return !exchange.ended;
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
