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
  private static final double SPARE_PART = 1.0 / 8;

  /** But not more than processes with little to do were seen to stand still for, in ms. */
  static final double MOST_SPARE_MS = 250;

  private Request request;
  private Client client;

  /** Counts the body as long as it may be needed for another attempt. */
  final ByteBudget.Share share;

  final List<Attempt> attempts = new ArrayList<>(1);

  /** The gateway's own number: a client may send the same id again, once the first is over. */
  String id;

  /** Infinite while the rest of it is still to come. */
  double deadline;

  /**
   * From when on no attempt is waited for any more, so that what is said then gets to the client
   * while it still listens, though this process may stand still for a moment; infinite as above.
   */
  double answerBy;

  /** What fails it should the module forget it; null before it is taken. */
  Deadlines.Entry overdue;

  /** What the loop had lost in all when the request came, in milliseconds. */
  double lostBefore;

  /** When its answer was decided. */
  double decidedAt;

  /** Whether it was ended as overdue. */
  boolean leftOpen;

  /** Whether the client was answered or has gone: nothing more may be said or sent for it. */
  boolean ended;

  /** Attempts whose outcome the module has not been told. */
  int out;

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
  void letGo() {
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
  void complete(double now, double waitedMs, double endsBy) {
    due(now - waitedMs + request.remainingMs(), endsBy);
  }

  /** This process ends: it has to be answered by then, however long its client would wait. */
  void setShutdownDeadline(double endsBy) {
    if (endsBy < deadline) {
      due(endsBy, endsBy);
    }
  }

  private void due(double when, double endsBy) {
    deadline = Math.min(when, endsBy);
    answerBy = deadline - Math.min(MOST_SPARE_MS, SPARE_PART * request.remainingMs());
  }

  /**
   * How long an attempt that begins now is waited for, in milliseconds: until what is said then
   * still gets to the client. One that begins later than that has half of what is left. Never more
   * than the client has left.
   */
  double patienceMs(double now) {
    return Math.max(answerBy - now, (deadline - now) / 2);
  }

  /** The request is whole: its time has been running since it lay ready to be read. */
  RequestInfo accept(String ownId, double now, double waitedMs, double endsBy) {
    id = ownId;
    double ifWholeNow = Math.min(endsBy, now - waitedMs + request.remainingMs());
    due(request.body().remainder() == null ? ifWholeNow : Double.POSITIVE_INFINITY, endsBy);
    return new RequestInfo(
        id,
        request.requestClass(),
        request.tenant(),
        ifWholeNow,
        request.costHintMs(),
        request.entity(),
        request.effect() != Effect.REPEATABLE,
        request.resent(),
        waitedMs);
  }
}
