package hazelspoke.http;

import hazelspoke.core.Metadata;
import hazelspoke.core.Request;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import ternscale.api.Settings.Effect;

/** The headers of this deployment's protocol, and those that end at a gateway. */
public final class Headers {
  public static final String TXN = "X-Txn";
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  public static final String CLASS = "X-Lane";
  public static final String TENANT = "X-Org";
  public static final String KEY = "X-Entity";
  public static final String REMAINING = "X-Remaining";
  public static final String RESENT = "X-Resent";
  public static final String COST_HINT = "X-Estimate";
  public static final String TURNED_AWAY = "X-Turned-Away";
  public static final String LOAD_REPORT = "X-Pressure";

  /** Those that speak of one connection or of how a message is cut, not of the message. */
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect",
          "content-length");

  private Headers() {}

  /** What of these goes on to a message's other end. */
  public static Metadata endToEnd(HttpHeaders from) {
    Metadata to = new Metadata();
    String named =
        String.join(",", from.getAll(HttpHeaderNames.CONNECTION)).toLowerCase(Locale.ROOT);
    Set<String> listed = Set.of(named.isBlank() ? new String[0] : distinct(named));
    for (Map.Entry<String, String> header : from) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP.contains(name) && !listed.contains(name)) {
        to.add(header.getKey(), header.getValue());
      }
    }
    return to;
  }

  public static void add(Metadata from, HttpHeaders to) {
    for (int i = 0; i < from.size(); i++) {
      to.add(from.name(i), from.value(i));
    }
  }

  /** The head for a host: all that the client sent for it, and how long an answer is awaited. */
  public static HttpRequest request(Request request, String authority, double remainingMs) {
    boolean safe = request.effect() == Effect.REPEATABLE;
    HttpRequest to =
        new DefaultHttpRequest(
            HttpVersion.HTTP_1_1, safe ? HttpMethod.GET : HttpMethod.POST, request.target());
    add(request.metadata(), to.headers());
    to.headers().set(HttpHeaderNames.HOST, authority).set(REMAINING, seconds(remainingMs));
    if (request.body().length() > 0 || !safe) {
      to.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length());
    }
    return to;
  }

  /**
   * A time in seconds, to the millisecond below. Every request bears one, and {@link String#format}
   * alone took a fifteenth of the time that a request takes in a gateway just started.
   */
  public static String seconds(double ms) {
    long whole = (long) ms;
    String thousandths = Long.toString(1_000 + whole % 1_000).substring(1);
    return whole / 1_000 + "." + thousandths;
  }

  /** A request for this path, with nothing to it. */
  public static HttpRequest get(String path, String authority) {
    HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
    request.headers().set(HttpHeaderNames.HOST, authority);
    return request;
  }

  private static String[] distinct(String list) {
    return Arrays.stream(list.split(",")).map(String::trim).distinct().toArray(String[]::new);
  }
}
