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
 * Parses the head of a client's request strictly: requests that violate the protocol are rejected
 * here and reach no host. This covers forms that no client sends today, such as repeated headers or
 * paths that do not match the class; a new form that clients start to use is rejected until it is
 * added here. Iterates over the headers once and uses no regular expressions, as every request
 * passes through.
 */
final class RequestHead {
  private static final double MS_PER_SECOND = 1_000;
  private static final double US_PER_MS = 1_000;

  private static final int MAX_ID_LENGTH = 128;
  private static final int MAX_DIGITS = 12;
  private static final int MAX_DECIMALS = 18;

  private final HttpRequest request;
  private final Metadata metadata = new Metadata();
  private final Set<String> connectionHeaders;
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
    connectionHeaders = Headers.listedInConnection(request.headers());
  }

  /** Parses a head; {@code classes} are the classes that may be requested now. */
  static Request read(HttpRequest request, Names names, ClassRegistry classes, double nowMs)
      throws BadRequestException {
    if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)
        && !request.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
      throw badRequest(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "this is no HTTP/1.1");
    }
    RequestHead head = new RequestHead(request);
    Iterator<Map.Entry<CharSequence, CharSequence>> headers =
        request.headers().iteratorCharSequence();
    while (headers.hasNext()) {
      Map.Entry<CharSequence, CharSequence> header = headers.next();
      head.readHeader(header.getKey(), header.getValue());
    }
    return head.toRequest(names, classes, nowMs);
  }

  /** Reads one header. Those with a single meaning may not be repeated, as that is ambiguous. */
  private void readHeader(CharSequence name, CharSequence value) throws BadRequestException {
    switch (name.length()) {
      case 5 -> {
        if (Headers.is(name, Headers.TXN)) {
          txn = requireSingle(Headers.TXN, txn, value);
        } else if (Headers.is(name, Headers.TENANT)) {
          tenant = requireSingle(Headers.TENANT, tenant, value);
        }
      }
      case 6 -> {
        if (Headers.is(name, Headers.CLASS)) {
          className = requireSingle(Headers.CLASS, className, value);
        }
      }
      case 8 -> {
        if (Headers.is(name, Headers.ENTITY)) {
          entity = requireSingle(Headers.ENTITY, entity, value);
        } else if (Headers.is(name, Headers.RESENT) && resent == null) {
          resent = value.toString();
        }
      }
      case 10 -> {
        if (Headers.is(name, Headers.COST_HINT)) {
          costHint = requireSingle(Headers.COST_HINT, costHint, value);
        }
      }
      case 11 -> {
        if (Headers.is(name, Headers.REMAINING)) {
          remaining = requireSingle(Headers.REMAINING, remaining, value);
        }
      }
      case 15 -> {
        if (Headers.is(name, Headers.IDEMPOTENCY_KEY)) {
          idempotencyKey = requireSingle(Headers.IDEMPOTENCY_KEY, idempotencyKey, value);
        }
      }
      default -> {
        // Not a header that is interpreted here.
      }
    }
    if (Headers.isEndToEnd(name, connectionHeaders)) {
      metadata.add(name, value);
    }
  }

  private String requireSingle(AsciiString name, String previous, CharSequence value)
      throws BadRequestException {
    if (previous != null) {
      throw badRequest(HttpResponseStatus.BAD_REQUEST, name + " is given twice");
    }
    if (Headers.isListed(name, connectionHeaders)) {
      throw badRequest(HttpResponseStatus.BAD_REQUEST, name + " is not for one connection only");
    }
    return value.toString();
  }

  private Request toRequest(Names names, ClassRegistry classes, double nowMs)
      throws BadRequestException {
    int requestClass = className == null ? -1 : classes.find(className, requestedEffect(), nowMs);
    if (requestClass < 0) {
      throw badRequest(HttpResponseStatus.NOT_FOUND, Headers.CLASS + " names no class");
    }
    Settings.RequestClass type = classes.type(requestClass);
    checkPath(request.uri(), className);
    checkEffect(type.effect());
    if (txn == null || !isVisible(txn, 0, MAX_ID_LENGTH)) {
      throw badRequest(HttpResponseStatus.BAD_REQUEST, Headers.TXN + " is no id");
    }
    double limitMs = type.deadlineMs();
    double remainingSeconds = number(Headers.REMAINING, remaining, limitMs / MS_PER_SECOND);
    return new Request(
        txn,
        requestClass,
        type.effect(),
        names.tenantIndex(tenant),
        Math.min(limitMs, MS_PER_SECOND * remainingSeconds),
        number(Headers.COST_HINT, costHint, 0) / US_PER_MS,
        entity,
        "1".equals(resent),
        request.uri(),
        metadata,
        new Body());
  }

  /** Returns the effect of a second run that the method and the idempotency key imply. */
  private Effect requestedEffect() {
    if (request.method().equals(HttpMethod.GET)) {
      return Effect.REPEATABLE;
    }
    return idempotencyKey != null ? Effect.BY_KEY : Effect.ONCE;
  }

  private static void checkPath(String uri, String className) throws BadRequestException {
    int end = 1 + className.length();
    boolean matchesClass =
        uri.startsWith("/")
            && uri.startsWith(className, 1)
            && (uri.length() == end || "/?".indexOf(uri.charAt(end)) >= 0);
    if (!matchesClass || !isVisible(uri, 1, Integer.MAX_VALUE)) {
      throw badRequest(HttpResponseStatus.NOT_FOUND, "the path does not begin with the class");
    }
  }

  private void checkEffect(Effect effect) throws BadRequestException {
    HttpMethod method = effect == Effect.REPEATABLE ? HttpMethod.GET : HttpMethod.POST;
    if (!request.method().equals(method)) {
      throw badRequest(
          HttpResponseStatus.METHOD_NOT_ALLOWED, "the class is asked for by " + method);
    }
    boolean fits =
        effect == Effect.BY_KEY
            ? idempotencyKey != null && isVisible(idempotencyKey, 0, MAX_ID_LENGTH)
            : idempotencyKey == null;
    if (!fits) {
      throw badRequest(
          HttpResponseStatus.BAD_REQUEST, Headers.IDEMPOTENCY_KEY + " does not fit the class");
    }
    checkLength(request, effect == Effect.REPEATABLE ? 0 : Body.MAX_BYTES);
  }

  /** Rejects a request whose head announces a body that is too large. */
  static void checkLength(HttpRequest request, long maxBytes) throws BadRequestException {
    HttpHeaders headers = request.headers();
    if (HttpUtil.getContentLength(request, 0L) > maxBytes
        || (maxBytes == 0 && headers.contains(HttpHeaderNames.TRANSFER_ENCODING))) {
      throw badRequest(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
    }
  }

  private static double number(AsciiString name, String text, double defaultValue)
      throws BadRequestException {
    if (text == null) {
      return defaultValue;
    }
    if (!isDecimal(text)) {
      throw badRequest(HttpResponseStatus.BAD_REQUEST, name + " is no such number");
    }
    return Double.parseDouble(text);
  }

  /**
   * Whether the text is a plain decimal number, unlike other forms that Java parses: NaN, 1e9,
   * 0x1p3.
   */
  static boolean isDecimal(String text) {
    int point = text.indexOf('.');
    int integerDigits = point < 0 ? text.length() : point;
    int decimals = point < 0 ? 0 : text.length() - point - 1;
    return integerDigits >= 1
        && integerDigits <= MAX_DIGITS
        && (point < 0 || (decimals >= 1 && decimals <= MAX_DECIMALS))
        && areDigits(text, 0, integerDigits)
        && areDigits(text, integerDigits + 1, text.length());
  }

  private static boolean areDigits(String text, int from, int to) {
    for (int i = from; i < to; i++) {
      if (text.charAt(i) < '0' || text.charAt(i) > '9') {
        return false;
      }
    }
    return true;
  }

  /**
   * Whether the text has 1 to {@code maxLength} characters, all of them visible ASCII from index
   * {@code from} on.
   */
  private static boolean isVisible(String text, int from, int maxLength) {
    int length = text.length();
    if (length == 0 || length > maxLength) {
      return false;
    }
    for (int i = from; i < length; i++) {
      if (text.charAt(i) < '!' || text.charAt(i) > '~') {
        return false;
      }
    }
    return true;
  }

  private static BadRequestException badRequest(HttpResponseStatus status, String message) {
    return new BadRequestException(status, message);
  }
}
