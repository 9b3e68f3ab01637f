package hazelspoke.core;

import ternscale.api.Outcome.Result;

/**
 * One attempt of a request, or one load probe, as seen by the host transport. The transport reports
 * the end once, by {@link #onAnswer} or {@link #onEnd}, and nothing after the call's handle was
 * cancelled.
 */
public interface HostCall {
  /** The request, available for as long as it may have to be written; null for a load probe. */
  Request request();

  /**
   * Whether the first byte may be written now, or the last one where the transport holds it back;
   * if it never may, the call was not executed. Called immediately before the write; may cancel the
   * call's handle.
   */
  SendDecision maySend();

  /** The remaining time for the response, in milliseconds; called when the call is written. */
  double remainingMs();

  /** The last byte was handed to the socket, so the host may execute the call from now on. */
  void onSent();

  /**
   * The call ended with a complete response.
   *
   * @param loadReport the host's load report as text, empty if none was received
   * @param share counts the body; owned by the receiver from now on
   */
  void onAnswer(Metadata metadata, String loadReport, Body body, ByteBudget.Share share);

  /**
   * The call ended in any other way.
   *
   * @param loadReport the host's load report as text, empty if none was received
   */
  void onEnd(Result result, String loadReport);
}
