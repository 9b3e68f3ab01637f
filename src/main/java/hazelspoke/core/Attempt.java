package hazelspoke.core;

import ternscale.api.Outcome.Result;

/**
 * One attempt of a request at one host: started once, ended once, and cancelled where it may no
 * longer go out. Becomes due when it has timed out. On the loop.
 */
final class Attempt extends Deadlines.Entry implements HostCall {
  /** Told what becomes of attempts. */
  interface Listener {
    /** A host's whole answer has come; its request may have ended meanwhile. */
    void onHostAnswer(Exchange x, Answer answer);

    /**
     * The attempt has ended, in whatever way.
     *
     * @param loadReport the host's report of its load as text, empty when none came
     */
    void onAttemptEnded(Attempt attempt, Result result, String loadReport);
  }

  private final CoreServices services;
  private final Listener listener;
  private final Exchange x;
  private final String host;
  private final int number;
  private final double startedAt;
  private final double lostBefore;

  /** Until when it may be written, on the clock. */
  private final double beginBy;

  private HostTransport.CallHandle ticket;
  private boolean over;

  /** Whether its last byte went out, whatever became of it. */
  private boolean wasSent;

  /** Whether its host may have run it, or may yet. */
  private boolean mayRun = true;

  /** Of a request that was not whole: how long its host waited for the last byte. */
  private double uploadMs;

  /** The next attempt of a request, which keeps count of them. */
  Attempt(CoreServices services, Listener listener, Exchange x, String host, double beginBy) {
    this.services = services;
    this.listener = listener;
    this.x = x;
    this.host = host;
    this.beginBy = beginBy;
    number = x.attempts.size();
    startedAt = services.clock().nowMs();
    lostBefore = services.lag().lostMs();
  }

  void start(double timeoutMs) {
    limit(timeoutMs);
    ticket = services.hosts().start(host, this);
  }

  Exchange exchange() {
    return x;
  }

  String host() {
    return host;
  }

  /** Its place among the attempts of its request, from 0. */
  int number() {
    return number;
  }

  /** When it was started, on the clock. */
  double startedAt() {
    return startedAt;
  }

  /** Since its start, in milliseconds. */
  double elapsedMs() {
    return services.clock().nowMs() - startedAt;
  }

  /** What of the time since its start was this gateway's or its client's, in milliseconds. */
  double ownMs() {
    return Math.max(uploadMs, services.lag().lostMs() - lostBefore);
  }

  boolean wasSent() {
    return wasSent;
  }

  boolean mayRun() {
    return mayRun;
  }

  /** Times out so long from now on; never while the request is still coming. */
  void limit(double timeoutMs) {
    if (!over && timeoutMs < Double.POSITIVE_INFINITY) {
      services.timers().remove(this);
      services.timers().add(this, timeoutMs);
    }
  }

  @Override
  void due() {
    // Given up before its last byte was written, it never ran.
    Result result = ticket.isLastByteSent() ? Result.TIMEOUT : Result.CONNECT_FAILED;
    ticket.cancel();
    end(result, "");
  }

  /** Cancels it if nothing of it has been written: it never ran, and that is no host's fault. */
  void cancelIfNotBegun() {
    if (!over && ticket != null && !ticket.isFirstByteSent()) {
      ticket.cancel();
      endUnsent();
    }
  }

  /** Cancels it if its last byte has not been written. */
  void cancelIfNotSent() {
    if (ticket != null && !over && !ticket.isLastByteSent()) {
      cancelSoon();
    }
  }

  /** Cancels it at once as far as its host is concerned; its end is told on a later turn. */
  void cancelSoon() {
    services.loop().execute(this::cancel);
    giveUp();
  }

  void cancel() {
    if (!over) {
      giveUp();
      end(Result.CANCELLED, "");
    }
  }

  private void giveUp() {
    if (ticket != null && !over) {
      ticket.cancel();
    }
  }

  /** It was not started, or not written. */
  void endUnsent() {
    end(Result.NOT_SENT, "");
  }

  @Override
  public boolean maySendFirstByte() {
    return services.guard().mayBegin(x, beginBy) == SendGuard.Verdict.ALLOWED;
  }

  @Override
  public boolean maySendLastByte() {
    return services.guard().mayFinish(x, beginBy) == SendGuard.Verdict.ALLOWED;
  }

  @Override
  public Request request() {
    return x.request();
  }

  @Override
  public double remainingMs() {
    double leftMs = Math.max(0, x.patienceMs(services.clock().nowMs()));
    double told = leftMs < Double.POSITIVE_INFINITY ? leftMs : x.request().remainingMs();
    services.guard().onTold(x, told);
    return told;
  }

  @Override
  public void onSent() {
    wasSent = true;
    services.guard().onSent(x);
    Request request = x.request();
    if (request != null && request.body().remainder() != null) {
      uploadMs = elapsedMs();
    }
    services.meter().onSent();
  }

  @Override
  public void onAnswer(Metadata metadata, String loadReport, Body body, ByteBudget.Share share) {
    listener.onHostAnswer(x, Answer.served(metadata, body, share));
    end(Result.OK, loadReport);
  }

  @Override
  public void onEnd(Result result, String loadReport) {
    end(result, loadReport);
  }

  private void end(Result result, String loadReport) {
    if (over) {
      return;
    }
    over = true;
    mayRun = !result.neverRan();
    services.timers().remove(this);
    listener.onAttemptEnded(this, result, loadReport);
  }
}
