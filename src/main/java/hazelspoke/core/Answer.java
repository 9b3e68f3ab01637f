package hazelspoke.core;

/**
 * The one final answer to a request.
 *
 * @param outcome what became of it
 * @param metadata of a host's answer; none of the gateway's own
 * @param body of a host's answer; empty otherwise
 * @param share counts the body; whoever is given the answer releases it once it is written, or null
 * @param retryAfterMs of a refusal: when to come back, in milliseconds; 0 gives no advice
 * @param deadlineExceeded of a failure: whether the client's time was up
 */
public record Answer(
    Outcome outcome,
    Metadata metadata,
    Body body,
    ByteBudget.Share share,
    double retryAfterMs,
    boolean deadlineExceeded) {
  /** What an answer promises. */
  public enum Outcome {
    /** A host has run it; the answer is the host's. */
    SERVED,
    /** To ask again is harmless. */
    REFUSED,
    /** It may have run. */
    FAILED
  }

  static Answer served(Metadata metadata, Body body, ByteBudget.Share share) {
    return new Answer(Outcome.SERVED, metadata, body, share, 0, false);
  }

  static Answer refused(double retryAfterMs) {
    return new Answer(Outcome.REFUSED, Metadata.NONE, new Body(), null, retryAfterMs, false);
  }

  static Answer failed(boolean late) {
    return new Answer(Outcome.FAILED, Metadata.NONE, new Body(), null, 0, late);
  }
}
