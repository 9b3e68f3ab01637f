package hazelspoke.emulator.judge;

/**
 * The rules that a rehearsal checks: the four rules on requests, the limit of attempts, the
 * consistency of the fleet's record, and the self-checks of each gateway.
 */
public enum Rule {
  /** An accepted request gets exactly one response, in time, and nothing is sent after that. */
  LOST,
  /** No effect happens twice, and no request is refused as not executed if it may have run. */
  TWICE,
  /**
   * No new request reaches a host later than a grace period after the gateway was notified that it
   * drains or is removed.
   */
  DRAIN,
  /** No cold host is overloaded by gateways that were notified of its start. */
  COLD,
  /** No request gets more attempts than the settings allow. */
  ATTEMPTS,
  /** An acknowledged entry of the fleet's record is never lost, changed or reordered. */
  RECORD,
  /** No gateway counts a violation of its own invariants. */
  VIOLATION;

  /** Returns the name that reports use. */
  public String reportName() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
