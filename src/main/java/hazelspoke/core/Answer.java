package hazelspoke.core;

/**
 * The only final answer to a request.
 *
 * @param outcome the result of the request
 * @param metadata metadata of a host's response; empty for answers of the gateway itself
 * @param body body of a host's response; otherwise empty
 * @param share counts the body against its budget, or null; the receiver of the answer releases it
 *     after writing the body
 * @param retryAfterMs for a refusal, the recommended delay before a retry in milliseconds; 0 for
 *     none
 * @param deadlineExceeded for a failure, whether the request's deadline had passed
 */
public record Answer(
    Outcome outcome,
    Metadata metadata,
    Body body,
    ByteBudget.Share share,
    double retryAfterMs,
    boolean deadlineExceeded) {
  /** What an answer guarantees to the client. */
  public enum Outcome {
    /** A host has executed the request; the answer is the host's response. */
    SERVED,
    /** A retry is harmless. */
    REFUSED,
    /** The request may have been executed. */
    FAILED
  }

  static Answer served(Metadata metadata, Body body, ByteBudget.Share share) {
    return new Answer(Outcome.SERVED, metadata, body, share, 0, false);
  }

  static Answer refused(double retryAfterMs) {
    return new Answer(Outcome.REFUSED, Metadata.NONE, new Body(), null, retryAfterMs, false);
  }

  static Answer failed(boolean deadlineExceeded) {
    return new Answer(Outcome.FAILED, Metadata.NONE, new Body(), null, 0, deadlineExceeded);
  }
}
