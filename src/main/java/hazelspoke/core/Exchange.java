package hazelspoke.core;

import java.util.ArrayList;
import java.util.List;
import ternscale.api.RequestInfo;
import ternscale.api.Settings.Effect;

/** One client request and its state. After its creation only the dispatcher changes it. */
public final class Exchange {
  /**
   * The fraction of the client's deadline reserved for delivery of the answer and for stalls of
   * this process.
   */
  private static final double RESERVE_FRACTION = 1.0 / 8;

  /**
   * The upper bound of that reserve, in milliseconds: the longest stall expected of processes under
   * low load.
   */
  static final double MAX_RESERVE_MS = 250;

  private Request request;
  private Client client;

  /** Counts the body against its budget for as long as another attempt may need it. */
  final ByteBudget.Share share;

  final List<Attempt> attempts = new ArrayList<>(1);

  /**
   * The id assigned by the gateway. Client-assigned ids can be reused after the first request has
   * ended.
   */
  String id;

  /** Infinite while the client is known to send the request. */
  double deadlineMs;

  /**
   * The time at which attempts time out. It precedes the deadline, so that an answer reaches the
   * client in time even if this process stalls briefly.
   */
  double attemptDeadlineMs;

  /** Fails the request if the balancer never answers it; null until the request is accepted. */
  DeadlineQueue.Entry overdueTimer;

  /** The total event-loop lag when the request arrived, in milliseconds. */
  double lagAtStartMs;

  /** When the answer was decided. */
  double answeredAtMs;

  /** How long the last byte may have waited unread in earlier event-loop iterations. */
  private double earlierWaitMs;

  /** Whether the request was failed by the overdue timer. */
  boolean endedAsOverdue;

  /** Whether the client was answered or has disconnected; nothing more may be answered or sent. */
  boolean ended;

  /** Whether the client-assigned id is claimed for this request. */
  boolean holdsId;

  /** The number of attempts whose outcome has not been reported to the balancer. */
  int pendingOutcomes;

  /**
   * Creates an exchange for a request that is being received.
   *
   * @param share counts the request's body; the dispatcher releases it once the request is handed
   *     over
   */
  public Exchange(Request request, Client client, ByteBudget.Share share) {
    this.request = request;
    this.client = client;
    this.share = share;
  }

  /** The request, or null after it was answered or its client has disconnected. */
  public Request request() {
    return request;
  }

  Client client() {
    return client;
  }

  /** Ends the request and keeps only what attempts in flight need. */
  void release() {
    ended = true;
    request.body().abandon();
    request = null;
    client = null;
    share.release();
  }

  /**
   * Reports that the last byte of the request may have waited unread for this long, as reading was
   * paused or took several iterations of the event loop. Called before it is handed over or
   * completed.
   */
  public void setUnread(double milliseconds) {
    earlierWaitMs = milliseconds;
  }

  /** Whether the request must not run twice and may have run. Not called after its end. */
  boolean mayHaveTakenEffect() {
    return request.effect() != Effect.REPEATABLE
        && attempts.stream().anyMatch(attempt -> attempt.isFullySent() && attempt.mayHaveRun());
  }

  /** The share that counts the body. */
  public ByteBudget.Share share() {
    return share;
  }

  /**
   * Reports since when the client may have sent the whole request, although this process has not
   * read all of it. Its time runs from then on.
   *
   * @param sinceMs infinite if the client is known to send on
   */
  void mayBeCompleteSince(double sinceMs, double shutdownDeadlineMs) {
    setDeadline(sinceMs + request.remainingMs(), shutdownDeadlineMs);
  }

  /**
   * Reports that the request has been received completely.
   *
   * @param shutdownDeadlineMs when this process must have answered all requests; infinite unless it
   *     is shutting down
   */
  void complete(double nowMs, double waitedMs, double shutdownDeadlineMs) {
    setDeadline(nowMs - unreadMs(waitedMs) + request.remainingMs(), shutdownDeadlineMs);
  }

  /**
   * Limits the deadline to the shutdown of this process, regardless of the client's own deadline.
   */
  void setShutdownDeadline(double shutdownDeadlineMs) {
    if (shutdownDeadlineMs < deadlineMs) {
      setDeadline(shutdownDeadlineMs, shutdownDeadlineMs);
    }
  }

  /** How long the last byte may have waited to be read. */
  private double unreadMs(double waitedMs) {
    return Math.max(waitedMs, earlierWaitMs);
  }

  private void setDeadline(double requestDeadlineMs, double shutdownDeadlineMs) {
    deadlineMs = Math.min(requestDeadlineMs, shutdownDeadlineMs);
    attemptDeadlineMs =
        deadlineMs - Math.min(MAX_RESERVE_MS, RESERVE_FRACTION * request.remainingMs());
  }

  /**
   * The timeout of an attempt that starts now, in milliseconds. It leaves time to deliver an answer
   * to the client; an attempt that starts later than that gets half of the remaining time. Never
   * more than the time until the client's deadline.
   */
  double attemptTimeoutMs(double nowMs) {
    return Math.max(attemptDeadlineMs - nowMs, (deadlineMs - nowMs) / 2);
  }

  /**
   * Accepts the request. The client's time has been running since the request was ready to be read.
   */
  RequestInfo accept(String assignedId, double nowMs, double waitedMs, double shutdownDeadlineMs) {
    id = assignedId;
    double deadlineIfCompleteMs =
        Math.min(shutdownDeadlineMs, nowMs - unreadMs(waitedMs) + request.remainingMs());
    setDeadline(
        request.body().remainder() == null ? deadlineIfCompleteMs : Double.POSITIVE_INFINITY,
        shutdownDeadlineMs);
    return new RequestInfo(
        id,
        request.requestClass(),
        request.tenant(),
        deadlineIfCompleteMs,
        request.costHintMs(),
        request.entity(),
        request.effect() != Effect.REPEATABLE,
        request.resent(),
        unreadMs(waitedMs));
  }
}
