package hazelspoke.http;

import hazelspoke.core.Metadata;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** The headers of the deployment's protocol, and those that are not forwarded. */
public final class Headers {
  public static final AsciiString TXN = AsciiString.cached("X-Txn");
  public static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");
  public static final AsciiString CLASS = AsciiString.cached("X-Lane");
  public static final AsciiString TENANT = AsciiString.cached("X-Org");
  public static final AsciiString ENTITY = AsciiString.cached("X-Entity");
  public static final AsciiString REMAINING = AsciiString.cached("X-Remaining");
  public static final AsciiString RESENT = AsciiString.cached("X-Resent");
  public static final AsciiString COST_HINT = AsciiString.cached("X-Estimate");
  public static final AsciiString REJECTED = AsciiString.cached("X-Turned-Away");
  public static final AsciiString LOAD_REPORT = AsciiString.cached("X-Pressure");
  private static final AsciiString KEEP_ALIVE = AsciiString.cached("Keep-Alive");
  private static final AsciiString PROXY_CONNECTION = AsciiString.cached("Proxy-Connection");

  private Headers() {}

  /** Whether a header has this name, ignoring case. */
  public static boolean is(CharSequence name, AsciiString known) {
    return known.contentEqualsIgnoreCase(name);
  }

  /** The headers of a response that are forwarded. */
  public static Metadata endToEnd(HttpHeaders from) {
    Metadata to = new Metadata();
    Set<String> listed = listedInConnection(from);
    Iterator<Map.Entry<CharSequence, CharSequence>> headers = from.iteratorCharSequence();
    while (headers.hasNext()) {
      Map.Entry<CharSequence, CharSequence> header = headers.next();
      if (isEndToEnd(header.getKey(), listed)) {
        to.add(header.getKey(), header.getValue());
      }
    }
    return to;
  }

  /**
   * Whether a header is forwarded. Headers that apply to one connection or to message framing are
   * not, nor are those set anew for each hop, such as the host name and the remaining time.
   *
   * @param listed the names returned by {@link #listedInConnection}
   */
  public static boolean isEndToEnd(CharSequence name, Set<String> listed) {
    boolean isConsumedHere =
        switch (name.length()) {
          case 2 -> is(name, HttpHeaderNames.TE);
          case 4 -> is(name, HttpHeaderNames.HOST);
          case 6 -> is(name, HttpHeaderNames.EXPECT);
          case 7 -> is(name, HttpHeaderNames.TRAILER) || is(name, HttpHeaderNames.UPGRADE);
          case 10 -> is(name, HttpHeaderNames.CONNECTION) || is(name, KEEP_ALIVE);
          case 11 -> is(name, REMAINING);
          case 14 -> is(name, HttpHeaderNames.CONTENT_LENGTH);
          case 16 -> is(name, PROXY_CONNECTION);
          case 17 -> is(name, HttpHeaderNames.TRANSFER_ENCODING);
          default -> false;
        };
    return !isConsumedHere && !isListed(name, listed);
  }

  /** Whether the sender listed a header as specific to this connection. */
  public static boolean isListed(CharSequence name, Set<String> listed) {
    return !listed.isEmpty() && listed.contains(name.toString().toLowerCase(Locale.ROOT));
  }

  /** The names, in lower case, that the {@code Connection} headers list. */
  public static Set<String> listedInConnection(HttpHeaders headers) {
    List<String> values = headers.getAll(HttpHeaderNames.CONNECTION);
    if (values.isEmpty()) {
      return Set.of();
    }
    return Arrays.stream(String.join(",", values).toLowerCase(Locale.ROOT).split(","))
        .map(String::trim)
        .filter(name -> !name.isEmpty())
        .collect(Collectors.toUnmodifiableSet());
  }

  /**
   * A time in seconds, truncated to milliseconds. It is sent with every request, and {@link
   * String#format} alone took a fifteenth of the processing time of a request in a newly started
   * gateway.
   */
  public static String formatSeconds(double ms) {
    long wholeMs = (long) ms;
    String thousandths = Long.toString(1_000 + wholeMs % 1_000).substring(1);
    return wholeMs / 1_000 + "." + thousandths;
  }
}
