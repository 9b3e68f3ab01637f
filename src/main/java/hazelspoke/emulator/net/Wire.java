package hazelspoke.emulator.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Header names and message formats of the protocol between clients, gateways and hosts. */
public final class Wire {
  public static final String TXN = "X-Txn";
  public static final String CLASS = "X-Lane";
  public static final String KEY = "X-Entity";
  public static final String REMAINING = "X-Remaining";
  public static final String HINT = "X-Estimate";
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  static final String TURNED_AWAY = "X-Turned-Away";

  /** Maximum size of a request or response body. */
  static final int MAX_BODY_BYTES = 65_536;

  private static final int RESPONSE_BODY_CHARS = 180;

  private Wire() {}

  /** Formats the body of a request: its number and work for the host, and padding. */
  public static String requestBody(int number, double workMs) {
    return String.format(Locale.ROOT, "order=%d work_ms=%.6f;", number, workMs) + "-".repeat(120);
  }

  /** Reads a number from a request's body; NaN if it is missing or invalid. */
  static double bodyNumber(String body, String name) {
    for (String part : body.split("[ ;]", 3)) {
      if (part.startsWith(name + "=")) {
        try {
          return Double.parseDouble(part.substring(name.length() + 1));
        } catch (NumberFormatException e) {
          return Double.NaN;
        }
      }
    }
    return Double.NaN;
  }

  /** The only valid response body of a host for a request. */
  public static String responseBody(String txn, String host) {
    String text = "served " + txn + " at " + host + ";";
    return text + "=".repeat(Math.max(0, RESPONSE_BODY_CHARS - text.length()));
  }

  /** The host that produced this response to the request, or null if no host can have. */
  public static String respondingHost(String txn, String body) {
    String start = "served " + txn + " at ";
    int end = body.indexOf(';');
    if (!body.startsWith(start) || end < start.length()) {
      return null;
    }
    String host = body.substring(start.length(), end);
    return responseBody(txn, host).equals(body) ? host : null;
  }

  static FullHttpResponse response(HttpResponseStatus status, String body) {
    ByteBuf bytes = Unpooled.copiedBuffer(body, StandardCharsets.UTF_8);
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, bytes);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes());
    return response;
  }

  /** Resets a connection, as the end of a process does. */
  static void reset(Channel channel) {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }
  }
}
