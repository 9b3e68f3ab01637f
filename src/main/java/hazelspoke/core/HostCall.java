package hazelspoke.core;

import ternscale.api.Outcome.Result;

/**
 * One attempt of a request, or a probe, as a back carries it out: it is told once how it ended, by
 * {@link #onAnswer} or {@link #onEnd}, and nothing after its ticket was given up.
 */
public interface HostCall {
  /** What is asked, for as long as it may have to be written; null asks for the host's load. */
  Request request();

  /**
   * Whether its first byte may be written now; no means it never ran. Asked right before that, and
   * may give the call's ticket up.
   */
  boolean maySendFirstByte();

  /** The same of its last byte, where that is kept back. */
  boolean maySendLastByte();

  /** How long an answer is awaited from now on, in milliseconds; asked when it is written. */
  double remainingMs();

  /** Its last byte was handed to the socket: it may run from now on. */
  void onSent();

  /**
   * The call ended with a whole answer.
   *
   * @param loadReport the host's report of its load as text, empty when none came
   * @param share counts the body; it is the receiver's from now on
   */
  void onAnswer(Metadata metadata, String loadReport, Body body, ByteBudget.Share share);

  /**
   * The call ended otherwise.
   *
   * @param loadReport as above
   */
  void onEnd(Result result, String loadReport);
}
