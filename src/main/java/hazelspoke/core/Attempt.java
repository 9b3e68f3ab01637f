package hazelspoke.core;

import ternscale.api.Outcome.Result;

/**
 * One attempt of a request at one host. It is started once, ends once, and is cancelled when it
 * must not be sent any more. As a queue entry it becomes due when it times out. Confined to the
 * event loop.
 */
final class Attempt extends DeadlineQueue.Entry implements HostCall {
  /** Observes attempts. */
  interface Listener {
    /**
     * A complete response of a host has been received; its request may have ended in the meantime.
     */
    void onHostAnswer(Exchange exchange, Answer answer);

    /**
     * The attempt has ended, with any result.
     *
     * @param loadReport the host's load report as text, empty if none was received
     */
    void onAttemptEnded(Attempt attempt, Result result, String loadReport);
  }

  private final CoreServices services;
  private final Listener listener;
  private final Exchange exchange;
  private final String host;
  private final int index;
  private final double startedAtMs;
  private final double lagAtStartMs;

  /** The time on the gateway's clock until which the attempt may be written. */
  private final double sendByMs;

  private HostTransport.CallHandle callHandle;
  private boolean ended;

  /** Whether the last byte was written, regardless of the result. */
  private boolean isFullySent;

  /** Whether the host may have executed the request or may still do so. */
  private boolean mayHaveRun = true;

  /** For a request sent before it was complete: how long its host waited for the last byte. */
  private double uploadMs;

  /** Creates the next attempt of a request; its index is the number of attempts before it. */
  Attempt(
      CoreServices services, Listener listener, Exchange exchange, String host, double sendByMs) {
    this.services = services;
    this.listener = listener;
    this.exchange = exchange;
    this.host = host;
    this.sendByMs = sendByMs;
    index = exchange.attempts.size();
    startedAtMs = services.clock().nowMs();
    lagAtStartMs = services.lag().totalLagMs();
  }

  void start(double timeoutMs) {
    setTimeout(timeoutMs);
    callHandle = services.hosts().start(host, this);
  }

  Exchange exchange() {
    return exchange;
  }

  String host() {
    return host;
  }

  /** The index among the attempts of its request, starting at 0. */
  int index() {
    return index;
  }

  /** The start time on the gateway's clock, in milliseconds. */
  double startedAtMs() {
    return startedAtMs;
  }

  /** The time since the start, in milliseconds. */
  double elapsedMs() {
    return services.clock().nowMs() - startedAtMs;
  }

  /**
   * The part of the time since the start that was caused by this gateway or its client, not by the
   * host, in milliseconds.
   */
  double gatewayDelayMs() {
    return Math.max(uploadMs, services.lag().totalLagMs() - lagAtStartMs);
  }

  /** Describes who its connection waits for, for the log. */
  String describeWait() {
    return callHandle == null ? "not started" : callHandle.describeWait();
  }

  boolean isFullySent() {
    return isFullySent;
  }

  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Sets the timeout, counted from now; infinite for none, as while the request is received. */
  void setTimeout(double timeoutMs) {
    if (ended) {
      return;
    }
    services.timers().remove(this);
    if (timeoutMs < Double.POSITIVE_INFINITY) {
      services.timers().add(this, timeoutMs);
    }
  }

  @Override
  void onDue() {
    if (callHandle.deliverIncompleteAnswer()) {
      return;
    }
    Result result = resultAtTimeout();
    callHandle.cancel();
    end(result, "");
  }

  /** An attempt that is cancelled before its last byte was written was not executed. */
  private Result resultAtTimeout() {
    if (callHandle.isLastByteSent()) {
      return Result.TIMEOUT;
    }
    return callHandle.hasReachedHost() ? Result.CONNECT_FAILED : Result.NOT_SENT;
  }

  /**
   * Cancels the attempt if none of its bytes has been written: it was not executed, and the host is
   * not at fault.
   */
  void cancelIfFirstByteUnsent() {
    if (!ended && callHandle != null && !callHandle.isFirstByteSent()) {
      callHandle.cancel();
      endNotSent();
    }
  }

  /** Cancels the attempt if its last byte has not been written. */
  void cancelIfLastByteUnsent() {
    if (callHandle != null && !ended && !callHandle.isLastByteSent()) {
      cancelAsync();
    }
  }

  /**
   * Cancels the call to the host immediately; the end of the attempt is reported in a later
   * event-loop iteration.
   */
  void cancelAsync() {
    services.loop().execute(this::cancel);
    cancelCall();
  }

  void cancel() {
    if (!ended) {
      cancelCall();
      end(Result.CANCELLED, "");
    }
  }

  private void cancelCall() {
    if (callHandle != null && !ended) {
      callHandle.cancel();
    }
  }

  /** Ends an attempt that was not started or not written. */
  void endNotSent() {
    end(Result.NOT_SENT, "");
  }

  @Override
  public SendDecision maySend() {
    return services.guard().check(exchange, sendByMs);
  }

  @Override
  public Request request() {
    return exchange.request();
  }

  @Override
  public double remainingMs() {
    double timeoutMs = Math.max(0, exchange.attemptTimeoutMs(services.clock().nowMs()));
    double reportedMs =
        timeoutMs < Double.POSITIVE_INFINITY ? timeoutMs : exchange.request().remainingMs();
    services.guard().checkReportedTime(exchange, reportedMs);
    return reportedMs;
  }

  @Override
  public void onSent() {
    isFullySent = true;
    services.guard().checkSent(exchange);
    Request request = exchange.request();
    if (request != null && request.body().remainder() != null) {
      uploadMs = elapsedMs();
    }
    services.meter().onSent();
  }

  @Override
  public void onAnswer(Metadata metadata, String loadReport, Body body, ByteBudget.Share share) {
    listener.onHostAnswer(exchange, Answer.served(metadata, body, share));
    end(Result.OK, loadReport);
  }

  @Override
  public void onEnd(Result result, String loadReport) {
    end(result, loadReport);
  }

  private void end(Result result, String loadReport) {
    if (ended) {
      return;
    }
    ended = true;
    mayHaveRun = !result.neverRan();
    services.timers().remove(this);
    listener.onAttemptEnded(this, result, loadReport);
  }
}
