package hazelspoke.core;

import java.util.ArrayList;
import java.util.List;
import ternscale.api.RequestInfo;
import ternscale.api.Settings.Effect;

/**
 * One request of a client's, and how far it has come; beyond its making, the dispatcher's alone.
 */
public final class Exchange {
  private Request request;
  private Client client;

  /** Counts the body as long as it may be needed for another attempt. */
  final ByteBudget.Share share;

  final List<Dispatcher.Attempt> attempts = new ArrayList<>(1);

  /** The gateway's own number: a client may send the same id again, once the first is over. */
  String id;

  /** Infinite while the rest of it is still to come. */
  double deadline;

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

  /** The rest has come as well. */
  void whole(double now, double waitedMs) {
    deadline = now - waitedMs + request.remainingMs();
  }

  /** The request is whole: its time has been running since it lay ready to be read. */
  RequestInfo taken(String ownId, double now, double waitedMs) {
    id = ownId;
    double ifWholeNow = now - waitedMs + request.remainingMs();
    deadline = request.body().rest() == null ? ifWholeNow : Double.POSITIVE_INFINITY;
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
