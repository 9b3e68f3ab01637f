package hazelspoke.node;

/**
 * The time limits of one shutdown, counted from the moment at which this process received the
 * signal. SIGKILL may follow {@link #KILL_AFTER_MS} after the longest deadline. The process may
 * stall for {@link #STALL_MS} at any point before that, and it observes the signal with a delay.
 * Has no side effects.
 *
 * @param answerAllByMs when all pending requests are answered, on the gateway's clock
 * @param exitByMs until when clients may read the responses that were written to them
 */
record ShutdownPlan(double answerAllByMs, double exitByMs) {
  /** Minimum time from the longest deadline to SIGKILL. */
  static final double KILL_AFTER_MS = 700;

  /** Longest assumed stall of the process between reading its clock and writing. */
  static final double STALL_MS = 150;

  /** Time to observe the signal and to write the last responses. */
  static final double MARGIN_MS = 50;

  /** How long the shutdown waits for an event loop that makes no progress. */
  static final long STALLED_LOOP_TIMEOUT_MS = 10_000;

  /** Computes the plan of a process that receives the signal now. */
  static ShutdownPlan begin(double nowMs, double longestDeadlineMs) {
    double killAtMs = nowMs + longestDeadlineMs + KILL_AFTER_MS;
    return new ShutdownPlan(killAtMs - STALL_MS - MARGIN_MS, killAtMs - MARGIN_MS);
  }

  /** Returns for how long the process may continue, in whole milliseconds. */
  long remainingMs(double nowMs) {
    return (long) Math.max(0, exitByMs - nowMs);
  }
}
