package hazelspoke.core;

import java.util.ArrayList;
import java.util.List;
import ternscale.api.RequestInfo;
import ternscale.api.Settings.Effect;

/**
 * One request of a client's, and how far it has come; beyond its making, the dispatcher's alone.
 */
public final class Exchange {
  /** The part of a client's patience that is kept for the way back and for moments lost here. */
  private static final double RESERVE_FRACTION = 1.0 / 8;

  /** But not more than processes with little to do were seen to stand still for, in ms. */
  static final double MAX_RESERVE_MS = 250;

  private Request request;
  private Client client;

  /** Counts the body as long as it may be needed for another attempt. */
  final ByteBudget.Share share;

  final List<Attempt> attempts = new ArrayList<>(1);

  /** The gateway's own number: a client may send the same id again, once the first is over. */
  String id;

  /** Infinite while the rest of it is still to come. */
  double deadlineMs;

  /**
   * From when on no attempt is waited for any more, so that what is said then gets to the client
   * while it still listens, though this process may stand still for a moment; infinite as above.
   */
  double attemptDeadlineMs;

  /** What fails it should the module forget it; null before it is taken. */
  DeadlineQueue.Entry overdueTimer;

  /** What the loop had lost in all when the request came, in milliseconds. */
  double lagAtStartMs;

  /** When its answer was decided. */
  double answeredAtMs;

  /** Whether it was ended as overdue. */
  boolean endedAsOverdue;

  /** Whether the client was answered or has gone: nothing more may be said or sent for it. */
  boolean ended;

  /** Attempts whose outcome the module has not been told. */
  int pendingOutcomes;

  /**
   * A request that is coming in.
   *
   * @param share counts its body, and is the dispatcher's to release once it is handed over
   */
  public Exchange(Request request, Client client, ByteBudget.Share share) {
    this.request = request;
    this.client = client;
    this.share = share;
  }

  /** What is asked; null once it was answered or its client has gone. */
  public Request request() {
    return request;
  }

  Client client() {
    return client;
  }

  /** Ends it, and keeps nothing but what an attempt that is still out needs. */
  void release() {
    ended = true;
    request.body().abandon();
    request = null;
    client = null;
    share.release();
  }

  /** What counts its body. */
  public ByteBudget.Share share() {
    return share;
  }

  /**
   * The rest has come as well.
   *
   * @param endsBy when this process has to have answered all; infinite as long as it goes on
   */
  void complete(double nowMs, double waitedMs, double shutdownDeadlineMs) {
    setDeadline(nowMs - waitedMs + request.remainingMs(), shutdownDeadlineMs);
  }

  /** This process ends: it has to be answered by then, however long its client would wait. */
  void setShutdownDeadline(double shutdownDeadlineMs) {
    if (shutdownDeadlineMs < deadlineMs) {
      setDeadline(shutdownDeadlineMs, shutdownDeadlineMs);
    }
  }

  private void setDeadline(double requestDeadlineMs, double shutdownDeadlineMs) {
    deadlineMs = Math.min(requestDeadlineMs, shutdownDeadlineMs);
    attemptDeadlineMs =
        deadlineMs - Math.min(MAX_RESERVE_MS, RESERVE_FRACTION * request.remainingMs());
  }

  /**
   * How long an attempt that begins now is waited for, in milliseconds: until what is said then
   * still gets to the client. One that begins later than that has half of what is left. Never more
   * than the client has left.
   */
  double attemptTimeoutMs(double nowMs) {
    return Math.max(attemptDeadlineMs - nowMs, (deadlineMs - nowMs) / 2);
  }

  /** The request is whole: its time has been running since it lay ready to be read. */
  RequestInfo accept(String assignedId, double nowMs, double waitedMs, double shutdownDeadlineMs) {
    id = assignedId;
    double deadlineIfCompleteMs =
        Math.min(shutdownDeadlineMs, nowMs - waitedMs + request.remainingMs());
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
        waitedMs);
  }
}
