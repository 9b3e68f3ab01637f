package hazelspoke.core;

/**
 * Why an answer left later than its client waits, told from what is known when it has left. An
 * operator reads it in a line and a figure: such an answer may count as lost, and whether it is the
 * machine, the client or a fault of the gateway cannot be seen afterwards.
 */
public enum LateAnswer {
  /** The process did not run for about as long: the machine, a collection, or one long turn. */
  STOOD_STILL("this process stood still"),

  /** The decision module forgot it, and the core ended it. */
  LEFT_OPEN("the module left it open"),

  /** It was decided in time, and the client took it late or not at all. */
  UNREAD("its client did not take it"),

  /** None of these: a fault of the gateway. */
  UNEXPLAINED("for no known reason");

  /** An answer this late is late by more than turns and timers explain, in milliseconds. */
  static final double SLACK_MS = 100;

  /** So much of a delay must have been lost by the loop for that to be its reason. */
  private static final double MOST_OF_IT = 0.5;

  private final String description;

  LateAnswer(String words) {
    this.description = words;
  }

  /** The reason, as words that end a sentence. */
  public String description() {
    return description;
  }

  /**
   * The reason for one.
   *
   * @param lateMs how long after its deadline it left, in milliseconds
   * @param decidedLateMs how long after its deadline it was decided; negative before it
   * @param lostMs what the loop was late by while the request was in hand, in milliseconds
   * @param leftOpen whether it was ended as overdue
   */
  static LateAnswer of(double lateMs, double decidedLateMs, double lostMs, boolean leftOpen) {
    if (lostMs >= MOST_OF_IT * lateMs) {
      return STOOD_STILL;
    }
    if (leftOpen) {
      return LEFT_OPEN;
    }
    return lateMs - decidedLateMs >= MOST_OF_IT * lateMs ? UNREAD : UNEXPLAINED;
  }
}
