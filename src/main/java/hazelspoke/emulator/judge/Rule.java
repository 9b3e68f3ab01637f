package hazelspoke.emulator.judge;

/** The four rules, and the limit of attempts. */
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
  ATTEMPTS;

  /** The name in reports. */
  public String word() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
