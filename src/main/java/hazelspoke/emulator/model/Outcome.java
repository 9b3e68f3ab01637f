package hazelspoke.emulator.model;

/**
 * What became of one request over all its tries.
 *
 * @param latencyMs from the planned moment of asking, however late the asking itself was
 */
public record Outcome(Arrival arrival, int tries, Result result, double latencyMs) {
  /** How a request can end for its client. */
  public enum Result {
    SERVED,
    REFUSED,
    FAILED
  }
}
