package hazelspoke.core;

/**
 * Why an answer was written after its client's deadline, derived from what is known at the time of
 * the write. It is logged and counted for operators: such an answer may count as lost, and whether
 * the machine, the client or a defect of the gateway caused the delay cannot be determined later.
 */
public enum LateAnswer {
  /**
   * The process was not scheduled for most of the delay, because of the machine, a garbage
   * collection or one long event-loop iteration.
   */
  STOOD_STILL("this process stood still"),

  /** The balancer gave no answer, and the core failed the request. */
  LEFT_OPEN("the module left it open"),

  /** The client was waited for to read the answer. */
  UNREAD("its client did not take it"),

  /** The answer began in time, and its host was writing it until then. */
  STREAMED("its host was still writing it"),

  /** None of the other reasons applies: a defect of the gateway. */
  UNEXPLAINED("for no known reason");

  /**
   * Delays above this are not explained by event-loop iterations and timers alone, in milliseconds.
   */
  static final double SLACK_MS = 100;

  /**
   * The fraction of the delay that a single cause must account for to be reported as the reason.
   */
  private static final double MAIN_SHARE = 0.5;

  private final String description;

  LateAnswer(String description) {
    this.description = description;
  }

  /** The reason as text that ends a sentence. */
  public String description() {
    return description;
  }

  /**
   * Determines the reason of a late answer.
   *
   * @param lateMs the time from the deadline to the write, in milliseconds
   * @param decidedLateMs the time from the deadline to the decision, in milliseconds; negative if
   *     it was decided earlier
   * @param unreadMs how long the client was waited for to read the answer, in milliseconds
   * @param lagMs the event-loop lag while the request was open, in milliseconds
   * @param endedAsOverdue whether the request was failed by the overdue timer
   */
  static LateAnswer of(
      double lateMs, double decidedLateMs, double unreadMs, double lagMs, boolean endedAsOverdue) {
    if (lagMs >= MAIN_SHARE * lateMs) {
      return STOOD_STILL;
    }
    if (endedAsOverdue) {
      return LEFT_OPEN;
    }
    if (unreadMs >= MAIN_SHARE * lateMs) {
      return UNREAD;
    }
    return lateMs - decidedLateMs >= MAIN_SHARE * lateMs ? STREAMED : UNEXPLAINED;
  }
}
