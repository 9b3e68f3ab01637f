package hazelspoke.emulator.judge;

/** The four rules, the limit of attempts, what holds of the fleet's record, and of each gateway. */
public enum Rule {
  /** A request that was taken hears back exactly once, in time, and nothing is sent after that. */
  LOST,
  /** No effect happens twice, and no refusal promises what may be false. */
  TWICE,
  /** Nothing new reaches a host a grace after the gateway was told that it drains or is gone. */
  DRAIN,
  /** No cold host is pushed over by gateways that were told of its start. */
  COLD,
  /** No request gets more attempts than the settings allow. */
  ATTEMPTS,
  /** What was once acknowledged of the fleet's record is never lost, changed or reordered. */
  RECORD,
  /** No gateway counts a violation of what must never happen in it. */
  VIOLATION;

  /** The name in reports. */
  public String reportName() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
