package hazelspoke.node;

/**
 * The times of one shutdown, reckoned from the moment at which this process was told to end.
 * SIGKILL may follow the longest deadline by {@link #KILL_AFTER_MS}; the process may be held up for
 * {@link #PAUSE_MS} anywhere before that, and its clock starts late, by what it takes to hear of
 * the signal. Pure.
 *
 * @param settleByMs on the gateway's clock: when all that is owed is answered
 * @param exitByMs until when clients may take what was written for them
 */
record ShutdownPlan(double settleByMs, double exitByMs) {
  /** SIGKILL comes no sooner than this after the longest deadline. */
  static final double KILL_AFTER_MS = 700;

  /** A process may be held up for so long between reading its clock and writing. */
  static final double PAUSE_MS = 150;

  /** To hear of the signal, and to write the last answers. */
  static final double MARGIN_MS = 50;

  /** A process whose loop does not get on for this long is not waited for any more. */
  static final long HELD_UP_MS = 10_000;

  /** The plan of a process that is told to end now. */
  static ShutdownPlan begin(double nowMs, double longestDeadlineMs) {
    double killAt = nowMs + longestDeadlineMs + KILL_AFTER_MS;
    return new ShutdownPlan(killAt - PAUSE_MS - MARGIN_MS, killAt - MARGIN_MS);
  }

  /** How long the process may go on at most, in whole milliseconds. */
  long leftMs(double nowMs) {
    return (long) Math.max(0, exitByMs - nowMs);
  }
}
