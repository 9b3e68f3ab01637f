package hazelspoke.core;

/**
 * The one place that says whether something may still be written for a request: asked right before
 * the first byte of an attempt and right before its last one. An attempt waits for connections, for
 * its turn and for news between the decision to make it and its bytes, and the process may stand
 * still anywhere in between; so nothing that was known at the decision is gone by here. Reads the
 * client's own socket rather than trusting an earlier look at it. On the loop.
 */
final class SendGuard {
  /** Why something may not be written, or that it may. */
  enum Verdict {
    ALLOWED,

    /** It was answered, or its client has left. */
    REQUEST_ENDED,

    /** A host drops repeats of its key only within a window, which is over. */
    WINDOW_OVER,

    /** Its time, or that of this process, is over. */
    OUT_OF_TIME
  }

  /** What a host is told may be off by as much as the terms allow between clock and write. */
  private static final double REPORTED_TIME_TOLERANCE_MS = 150;

  private final Clock clock;
  private final Violations violations;

  SendGuard(Clock clock, Violations violations) {
    this.clock = clock;
    this.violations = violations;
  }

  /** Whether the first byte of an attempt may be written now, which has to be by this time. */
  Verdict checkFirstByte(Exchange exchange, double sendByMs) {
    if (!isClientWaiting(exchange)) {
      return Verdict.REQUEST_ENDED;
    }
    double now = clock.nowMs();
    if (now >= sendByMs) {
      return Verdict.WINDOW_OVER;
    }
    return now < exchange.deadlineMs ? Verdict.ALLOWED : Verdict.OUT_OF_TIME;
  }

  /** Whether the last byte of an attempt may be written now, all others having gone. */
  Verdict checkLastByte(Exchange exchange, double sendByMs) {
    return checkFirstByte(exchange, sendByMs);
  }

  /** Whether its client still waits; what it has sent or ended by now is read before. */
  private static boolean isClientWaiting(Exchange exchange) {
    if (!exchange.ended) {
      exchange.client().readPending();
    }
    return !exchange.ended;
  }

  /** Checks what has been written: to be called as the last byte has gone. */
  void checkSent(Exchange exchange) {
    if (exchange.ended) {
      violations.count(Violations.Kind.SENT_AFTER_END, exchange.id);
    }
  }

  /** Checks what a host is told to have left, in milliseconds. */
  void checkReportedTime(Exchange exchange, double remainingMs) {
    if (remainingMs > exchange.deadlineMs - clock.nowMs() + REPORTED_TIME_TOLERANCE_MS) {
      violations.count(Violations.Kind.TIME_TOLD, exchange.id);
    }
  }
}
