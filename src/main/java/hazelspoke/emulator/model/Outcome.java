package hazelspoke.emulator.model;

/**
 * The result of one request over all its client attempts.
 *
 * @param latencyMs measured from the planned send time, even if the request was sent late
 */
public record Outcome(Arrival arrival, int tries, Result result, double latencyMs) {
  /** The result of a request for its client. */
  public enum Result {
    SERVED,
    REFUSED,
    FAILED
  }
}
