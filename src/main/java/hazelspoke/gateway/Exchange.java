package hazelspoke.gateway;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import ternscale.api.RequestInfo;
import ternscale.api.Settings;

/** One request of a client's: what it says, and how far it has come. */
final class Exchange {
  private static final double MS_PER_SECOND = 1_000;
  private static final double US_PER_MS = 1_000;

  private final HttpRequest request;
  private final int requestClass;
  private final int tenant;
  private final double remainingMs;
  private final double costHint;
  final ClientConnection client;
  final Body body = new Body();

  /** Counts the body as long as it may be needed for another attempt. */
  final ByteBudget.Share share;

  final List<Dispatcher.Attempt> attempts = new ArrayList<>(1);

  /** The gateway's own number: a client may send the same X-Txn again. */
  String id;

  double deadline;

  /** Whether the client was answered or has gone: nothing more may be said or sent for it. */
  boolean ended;

  /** Attempts whose outcome the module has not been told. */
  int out;

  /** Reads the head of a request; the time runs only once its last byte has come. */
  Exchange(
      HttpRequest request,
      ClientConnection client,
      ByteBudget.Share share,
      Names names,
      Settings settings)
      throws BadRequestException {
    this.request = request;
    this.client = client;
    this.share = share;
    HttpHeaders headers = request.headers();
    String name = headers.get(Headers.CLASS);
    if (name == null) {
      throw new BadRequestException(HttpResponseStatus.BAD_REQUEST, Headers.CLASS + " is missing");
    }
    requestClass = names.classes().indexOf(name);
    if (requestClass < 0) {
      throw new BadRequestException(
          HttpResponseStatus.NOT_FOUND, Headers.CLASS + " names no class");
    }
    tenant = names.tenant(headers.get(Headers.TENANT));
    double limitMs = settings.classes().get(requestClass).deadlineMs();
    remainingMs =
        Math.min(
            limitMs, MS_PER_SECOND * number(headers, Headers.REMAINING, limitMs / MS_PER_SECOND));
    costHint = number(headers, Headers.COST_HINT, 0) / US_PER_MS;
  }

  private static double number(HttpHeaders headers, String name, double absent)
      throws BadRequestException {
    String text = headers.get(name);
    if (text == null) {
      return absent;
    }
    try {
      double value = Double.parseDouble(text);
      if (value >= 0 && Double.isFinite(value)) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Said below, as for a number that makes no sense.
    }
    throw new BadRequestException(HttpResponseStatus.BAD_REQUEST, name + " is no such number");
  }

  /** The request is whole: its time runs from now on. */
  RequestInfo taken(String ownId, double now) {
    id = ownId;
    deadline = now + remainingMs;
    HttpHeaders headers = request.headers();
    return new RequestInfo(
        id,
        requestClass,
        tenant,
        deadline,
        costHint,
        headers.get(Headers.KEY),
        !request.method().equals(HttpMethod.GET),
        "1".equals(headers.get(Headers.RESENT)));
  }

  /** The head for a host: all that the client sent for it, and how long an answer is awaited. */
  HttpRequest headFor(String authority, double now) {
    HttpRequest head =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
    Headers.copyEndToEnd(request.headers(), head.headers());
    head.headers()
        .set(HttpHeaderNames.HOST, authority)
        .set(
            Headers.REMAINING,
            String.format(Locale.ROOT, "%.3f", Math.max(0, deadline - now) / MS_PER_SECOND));
    if (body.length() > 0 || !request.method().equals(HttpMethod.GET)) {
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length());
    }
    return head;
  }
}
