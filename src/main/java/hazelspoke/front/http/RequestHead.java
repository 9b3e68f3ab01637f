package hazelspoke.front.http;

import hazelspoke.core.Body;
import hazelspoke.core.ClassRegistry;
import hazelspoke.core.Metadata;
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
import io.netty.util.AsciiString;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import ternscale.api.Settings;
import ternscale.api.Settings.Effect;

/**
 * What the head of a client's request says, read strictly: whatever does not follow the protocol is
 * turned away here, so that no host ever sees it. It also catches what nobody has sent yet, such as
 * doubled headers or paths that point elsewhere; it does harm where clients start to use a new form
 * before this page knows it. The headers are gone through once and no pattern is matched, as every
 * request passes here.
 */
final class RequestHead {
  private static final double MS_PER_SECOND = 1_000;
  private static final double US_PER_MS = 1_000;

  private static final int LONGEST_ID = 128;
  private static final int MOST_DIGITS = 12;
  private static final int MOST_DECIMALS = 18;

  private final HttpRequest request;
  private final Metadata metadata = new Metadata();
  private final Set<String> listed;
  private String txn;
  private String className;
  private String tenant;
  private String entity;
  private String remaining;
  private String costHint;
  private String idempotencyKey;
  private String resent;

  private RequestHead(HttpRequest request) {
    this.request = request;
    listed = Headers.listedInConnection(request.headers());
  }

  /** Reads a head; {@code classes} tell what may be asked for now and in which form. */
  static Request read(HttpRequest request, Names names, ClassRegistry classes, double now)
      throws BadRequestException {
    if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)
        && !request.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
      throw bad(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "this is no HTTP/1.1");
    }
    RequestHead head = new RequestHead(request);
    Iterator<Map.Entry<CharSequence, CharSequence>> headers =
        request.headers().iteratorCharSequence();
    while (headers.hasNext()) {
      Map.Entry<CharSequence, CharSequence> header = headers.next();
      head.take(header.getKey(), header.getValue());
    }
    return head.toRequest(names, classes, now);
  }

  /** Takes a header in. Those that mean one thing each would, doubled, be read in two ways. */
  private void take(CharSequence name, CharSequence value) throws BadRequestException {
    switch (name.length()) {
      case 5 -> {
        if (Headers.is(name, Headers.TXN)) {
          txn = only(Headers.TXN, txn, value);
        } else if (Headers.is(name, Headers.TENANT)) {
          tenant = only(Headers.TENANT, tenant, value);
        }
      }
      case 6 -> {
        if (Headers.is(name, Headers.CLASS)) {
          className = only(Headers.CLASS, className, value);
        }
      }
      case 8 -> {
        if (Headers.is(name, Headers.ENTITY)) {
          entity = only(Headers.ENTITY, entity, value);
        } else if (Headers.is(name, Headers.RESENT) && resent == null) {
          resent = value.toString();
        }
      }
      case 10 -> {
        if (Headers.is(name, Headers.COST_HINT)) {
          costHint = only(Headers.COST_HINT, costHint, value);
        }
      }
      case 11 -> {
        if (Headers.is(name, Headers.REMAINING)) {
          remaining = only(Headers.REMAINING, remaining, value);
        }
      }
      case 15 -> {
        if (Headers.is(name, Headers.IDEMPOTENCY_KEY)) {
          idempotencyKey = only(Headers.IDEMPOTENCY_KEY, idempotencyKey, value);
        }
      }
      default -> {
        // Not one that is read here.
      }
    }
    if (Headers.isEndToEnd(name, listed)) {
      metadata.add(name, value);
    }
  }

  private String only(AsciiString name, String before, CharSequence value)
      throws BadRequestException {
    if (before != null) {
      throw bad(HttpResponseStatus.BAD_REQUEST, name + " is given twice");
    }
    if (Headers.isListed(name, listed)) {
      throw bad(HttpResponseStatus.BAD_REQUEST, name + " is not for one connection only");
    }
    return value.toString();
  }

  private Request toRequest(Names names, ClassRegistry classes, double now)
      throws BadRequestException {
    int requestClass = className == null ? -1 : classes.find(className, form(), now);
    if (requestClass < 0) {
      throw bad(HttpResponseStatus.NOT_FOUND, Headers.CLASS + " names no class");
    }
    Settings.RequestClass type = classes.type(requestClass);
    checkPath(request.uri(), className);
    checkMethod(type.effect());
    if (txn == null || !isVisible(txn, 0, LONGEST_ID)) {
      throw bad(HttpResponseStatus.BAD_REQUEST, Headers.TXN + " is no id");
    }
    double limitMs = type.deadlineMs();
    double seconds = number(Headers.REMAINING, remaining, limitMs / MS_PER_SECOND);
    return new Request(
        txn,
        requestClass,
        type.effect(),
        names.tenantIndex(tenant),
        Math.min(limitMs, MS_PER_SECOND * seconds),
        number(Headers.COST_HINT, costHint, 0) / US_PER_MS,
        entity,
        "1".equals(resent),
        request.uri(),
        metadata,
        new Body());
  }

  /** What the method and the key say that a second run would do. */
  private Effect form() {
    if (request.method().equals(HttpMethod.GET)) {
      return Effect.REPEATABLE;
    }
    return idempotencyKey != null ? Effect.BY_KEY : Effect.ONCE;
  }

  private static void checkPath(String uri, String className) throws BadRequestException {
    int end = 1 + className.length();
    boolean named =
        uri.startsWith("/")
            && uri.startsWith(className, 1)
            && (uri.length() == end || "/?".indexOf(uri.charAt(end)) >= 0);
    if (!named || !isVisible(uri, 1, Integer.MAX_VALUE)) {
      throw bad(HttpResponseStatus.NOT_FOUND, "the path does not begin with the class");
    }
  }

  private void checkMethod(Effect effect) throws BadRequestException {
    HttpMethod method = effect == Effect.REPEATABLE ? HttpMethod.GET : HttpMethod.POST;
    if (!request.method().equals(method)) {
      throw bad(HttpResponseStatus.METHOD_NOT_ALLOWED, "the class is asked for by " + method);
    }
    boolean fits =
        effect == Effect.BY_KEY
            ? idempotencyKey != null && isVisible(idempotencyKey, 0, LONGEST_ID)
            : idempotencyKey == null;
    if (!fits) {
      throw bad(
          HttpResponseStatus.BAD_REQUEST, Headers.IDEMPOTENCY_KEY + " does not fit the class");
    }
    checkLength(request, effect == Effect.REPEATABLE ? 0 : Body.MAX_BYTES);
  }

  /** Refuses a body that is too long by its head alone. */
  static void checkLength(HttpRequest request, long mostBytes) throws BadRequestException {
    HttpHeaders headers = request.headers();
    if (HttpUtil.getContentLength(request, 0L) > mostBytes
        || (mostBytes == 0 && headers.contains(HttpHeaderNames.TRANSFER_ENCODING))) {
      throw bad(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
    }
  }

  private static double number(AsciiString name, String text, double absent)
      throws BadRequestException {
    if (text == null) {
      return absent;
    }
    if (!isDecimal(text)) {
      throw bad(HttpResponseStatus.BAD_REQUEST, name + " is no such number");
    }
    return Double.parseDouble(text);
  }

  /** Plain decimals only: what Java reads as a number besides (NaN, 1e9, 0x1p3) is no figure. */
  static boolean isDecimal(String text) {
    int point = text.indexOf('.');
    int whole = point < 0 ? text.length() : point;
    int decimals = point < 0 ? 0 : text.length() - point - 1;
    return whole >= 1
        && whole <= MOST_DIGITS
        && (point < 0 || (decimals >= 1 && decimals <= MOST_DECIMALS))
        && areDigits(text, 0, whole)
        && areDigits(text, whole + 1, text.length());
  }

  private static boolean areDigits(String text, int from, int to) {
    for (int i = from; i < to; i++) {
      if (text.charAt(i) < '0' || text.charAt(i) > '9') {
        return false;
      }
    }
    return true;
  }

  /** Whether it is 1 to {@code most} characters from {@code from} on, none of them a blank. */
  private static boolean isVisible(String text, int from, int most) {
    int length = text.length();
    if (length == 0 || length > most) {
      return false;
    }
    for (int i = from; i < length; i++) {
      if (text.charAt(i) < '!' || text.charAt(i) > '~') {
        return false;
      }
    }
    return true;
  }

  private static BadRequestException bad(HttpResponseStatus status, String what) {
    return new BadRequestException(status, what);
  }
}
