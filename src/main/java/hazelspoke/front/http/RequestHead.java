package hazelspoke.front.http;

import hazelspoke.core.Body;
import hazelspoke.core.Names;
import hazelspoke.core.Request;
import hazelspoke.http.Headers;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.regex.Pattern;
import ternscale.api.Settings;
import ternscale.api.Settings.Effect;

/**
 * What the head of a client's request says, read strictly: whatever does not follow the protocol is
 * turned away here, so that no host ever sees it. It also catches what nobody has sent yet, such as
 * doubled headers or paths that point elsewhere; it does harm where clients start to use a new form
 * before this page knows it.
 */
final class RequestHead {
  private static final double MS_PER_SECOND = 1_000;
  private static final double US_PER_MS = 1_000;

  /** Plain decimals only: what Java reads as a number besides (NaN, 1e9, 0x1p3) is no figure. */
  private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,18})?");

  private static final Pattern VISIBLE = Pattern.compile("[!-~]{1,128}");
  private static final Pattern PATH = Pattern.compile("/[!-~]*");

  /**
   * Headers that mean one thing each: a second one would be read differently by different hosts.
   */
  private static final List<String> SINGLE =
      List.of(
          Headers.TXN,
          Headers.CLASS,
          Headers.TENANT,
          Headers.KEY,
          Headers.REMAINING,
          Headers.COST_HINT,
          Headers.IDEMPOTENCY_KEY);

  private RequestHead() {}

  /** Reads a head; {@code settings} tell which classes there are and how they may be repeated. */
  static Request read(HttpRequest request, Names names, Settings settings)
      throws BadRequestException {
    HttpHeaders headers = request.headers();
    if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)
        && !request.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
      throw bad(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "this is no HTTP/1.1");
    }
    for (String name : SINGLE) {
      if (headers.getAll(name).size() > 1) {
        throw bad(HttpResponseStatus.BAD_REQUEST, name + " is given twice");
      }
      if (headers.containsValue(HttpHeaderNames.CONNECTION, name, true)) {
        throw bad(HttpResponseStatus.BAD_REQUEST, name + " is not for one connection only");
      }
    }
    String name = headers.get(Headers.CLASS);
    int requestClass = name == null ? -1 : names.classes().indexOf(name);
    if (requestClass < 0) {
      throw bad(HttpResponseStatus.NOT_FOUND, Headers.CLASS + " names no class");
    }
    checkPath(request.uri(), name);
    checkMethod(request, settings.classes().get(requestClass).effect());
    String txn = headers.get(Headers.TXN);
    if (txn == null || !VISIBLE.matcher(txn).matches()) {
      throw bad(HttpResponseStatus.BAD_REQUEST, Headers.TXN + " is no id");
    }
    double limitMs = settings.classes().get(requestClass).deadlineMs();
    double remaining = number(headers, Headers.REMAINING, limitMs / MS_PER_SECOND);
    return new Request(
        txn,
        requestClass,
        settings.classes().get(requestClass).effect(),
        names.tenant(headers.get(Headers.TENANT)),
        Math.min(limitMs, MS_PER_SECOND * remaining),
        number(headers, Headers.COST_HINT, 0) / US_PER_MS,
        headers.get(Headers.KEY),
        "1".equals(headers.get(Headers.RESENT)),
        request.uri(),
        Headers.endToEnd(headers),
        new Body());
  }

  private static void checkPath(String uri, String className) throws BadRequestException {
    String start = "/" + className;
    boolean named =
        uri.startsWith(start)
            && (uri.length() == start.length() || "/?".indexOf(uri.charAt(start.length())) >= 0);
    if (!named || !PATH.matcher(uri).matches()) {
      throw bad(HttpResponseStatus.NOT_FOUND, "the path does not begin with the class");
    }
  }

  private static void checkMethod(HttpRequest request, Effect effect) throws BadRequestException {
    HttpMethod method = effect == Effect.REPEATABLE ? HttpMethod.GET : HttpMethod.POST;
    if (!request.method().equals(method)) {
      throw bad(HttpResponseStatus.METHOD_NOT_ALLOWED, "the class is asked for by " + method);
    }
    String key = request.headers().get(Headers.IDEMPOTENCY_KEY);
    boolean fits =
        effect == Effect.BY_KEY ? key != null && VISIBLE.matcher(key).matches() : key == null;
    if (!fits) {
      throw bad(
          HttpResponseStatus.BAD_REQUEST, Headers.IDEMPOTENCY_KEY + " does not fit the class");
    }
    checkLength(request, effect == Effect.REPEATABLE ? 0 : Body.MOST_BYTES);
  }

  /** Refuses a body that is too long by its head alone. */
  static void checkLength(HttpRequest request, long mostBytes) throws BadRequestException {
    if (HttpUtil.getContentLength(request, 0L) > mostBytes
        || (mostBytes == 0 && request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING))) {
      throw bad(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
    }
  }

  private static double number(HttpHeaders headers, String name, double absent)
      throws BadRequestException {
    String text = headers.get(name);
    if (text == null) {
      return absent;
    }
    if (!DECIMAL.matcher(text).matches()) {
      throw bad(HttpResponseStatus.BAD_REQUEST, name + " is no such number");
    }
    return Double.parseDouble(text);
  }

  private static BadRequestException bad(HttpResponseStatus status, String what) {
    return new BadRequestException(status, what);
  }
}
