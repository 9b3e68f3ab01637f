package hazelspoke.core;

import ternscale.api.Outcome.Result;

/**
 * One attempt of a request at one host: started once, ended once, and cancelled where it may no
 * longer go out. Becomes due when it has timed out. On the loop.
 */
final class Attempt extends DeadlineQueue.Entry implements HostCall {
  /** Told what becomes of attempts. */
  interface Listener {
    /** A host's whole answer has come; its request may have ended meanwhile. */
    void onHostAnswer(Exchange exchange, Answer answer);

    /**
     * The attempt has ended, in whatever way.
     *
     * @param loadReport the host's report of its load as text, empty when none came
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

  /** Until when it may be written, on the clock. */
  private final double sendByMs;

  private HostTransport.CallHandle callHandle;
  private boolean ended;

  /** Whether its last byte went out, whatever became of it. */
  private boolean isFullySent;

  /** Whether its host may have run it, or may yet. */
  private boolean mayHaveRun = true;

  /** Of a request that was not whole: how long its host waited for the last byte. */
  private double uploadMs;

  /** The next attempt of a request, which keeps count of them. */
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

  /** Its place among the attempts of its request, from 0. */
  int index() {
    return index;
  }

  /** When it was started, on the clock. */
  double startedAtMs() {
    return startedAtMs;
  }

  /** Since its start, in milliseconds. */
  double elapsedMs() {
    return services.clock().nowMs() - startedAtMs;
  }

  /** What of the time since its start was this gateway's or its client's, in milliseconds. */
  double gatewayDelayMs() {
    return Math.max(uploadMs, services.lag().totalLagMs() - lagAtStartMs);
  }

  boolean isFullySent() {
    return isFullySent;
  }

  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Times out so long from now on; never while the request is still coming. */
  void setTimeout(double timeoutMs) {
    if (!ended && timeoutMs < Double.POSITIVE_INFINITY) {
      services.timers().remove(this);
      services.timers().add(this, timeoutMs);
    }
  }

  @Override
  void onDue() {
    // Given up before its last byte was written, it never ran.
    Result result = callHandle.isLastByteSent() ? Result.TIMEOUT : Result.CONNECT_FAILED;
    callHandle.cancel();
    end(result, "");
  }

  /** Cancels it if nothing of it has been written: it never ran, and that is no host's fault. */
  void cancelIfFirstByteUnsent() {
    if (!ended && callHandle != null && !callHandle.isFirstByteSent()) {
      callHandle.cancel();
      endNotSent();
    }
  }

  /** Cancels it if its last byte has not been written. */
  void cancelIfLastByteUnsent() {
    if (callHandle != null && !ended && !callHandle.isLastByteSent()) {
      cancelAsync();
    }
  }

  /** Cancels it at once as far as its host is concerned; its end is told on a later turn. */
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

  /** It was not started, or not written. */
  void endNotSent() {
    end(Result.NOT_SENT, "");
  }

  @Override
  public boolean maySendFirstByte() {
    return services.guard().checkFirstByte(exchange, sendByMs) == SendGuard.Verdict.ALLOWED;
  }

  @Override
  public boolean maySendLastByte() {
    return services.guard().checkLastByte(exchange, sendByMs) == SendGuard.Verdict.ALLOWED;
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
