package hazelspoke.gateway;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import ternscale.api.RequestInfo;
import ternscale.api.Settings.Effect;

/** One request of a client's: what it says, and how far it has come. */
final class Exchange {
  private final RequestHead head;
  final ClientConnection client;
  final Body body = new Body();

  /** Counts the body as long as it may be needed for another attempt. */
  final ByteBudget.Share share;

  final List<Dispatcher.Attempt> attempts = new ArrayList<>(1);

  /** The gateway's own number: a client may send the same X-Txn again, once the first is over. */
  String id;

  double deadline;

  /** Whether the client was answered or has gone: nothing more may be said or sent for it. */
  boolean ended;

  /** Attempts whose outcome the module has not been told. */
  int out;

  Exchange(RequestHead head, ClientConnection client, ByteBudget.Share share) {
    this.head = head;
    this.client = client;
    this.share = share;
  }

  /** The client's id of the request: no other open one may bear it. */
  String txn() {
    return head.txn();
  }

  boolean once() {
    return head.effect() == Effect.ONCE;
  }

  /** The request is whole: its time has been running since it lay ready to be read. */
  RequestInfo taken(String ownId, double now, double waitedMs) {
    id = ownId;
    deadline = now - waitedMs + head.remainingMs();
    HttpHeaders headers = head.request().headers();
    return new RequestInfo(
        id,
        head.requestClass(),
        head.tenant(),
        deadline,
        head.costHint(),
        headers.get(Headers.KEY),
        !head.request().method().equals(HttpMethod.GET),
        "1".equals(headers.get(Headers.RESENT)),
        waitedMs);
  }

  /** The head for a host: all that the client sent for it, and how long an answer is awaited. */
  HttpRequest headFor(String authority, double now) {
    HttpRequest from = head.request();
    HttpRequest to = new DefaultHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri());
    Headers.copyEndToEnd(from.headers(), to.headers());
    to.headers()
        .set(HttpHeaderNames.HOST, authority)
        .set(Headers.REMAINING, Headers.seconds(Math.max(0, deadline - now)));
    if (body.length() > 0 || !from.method().equals(HttpMethod.GET)) {
      to.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length());
    }
    return to;
  }
}
