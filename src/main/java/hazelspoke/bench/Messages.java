package hazelspoke.bench;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * The messages that clients and hosts of the benchmark exchange. Each ends in a byte that occurs
 * nowhere else in it, so that neither side has to parse and their cost stays out of the results.
 */
final class Messages {
  private static final char END_MARKER = '!';
  private static final String BODY = "-".repeat(199) + END_MARKER;

  /** 32 hexadecimal digits, like the ids of real clients. */
  private static final String ID_FORMAT = "%032x";

  private static final String REQUEST_TEMPLATE =
      """
      POST /reserve HTTP/1.1\r
      Host: bench\r
      X-Lane: reserve\r
      X-Txn: %s\r
      X-Org: mill\r
      X-Entity: e%d\r
      X-Remaining: %.3f\r
      X-Estimate: 90000\r
      Idempotency-Key: %s\r
      Content-Length: %d\r
      \r
      %s""";

  private static final ByteBuf RESPONSE =
      Unpooled.unreleasableBuffer(
          Unpooled.directBuffer()
              .writeBytes(
                  ascii(
                      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                          + BODY.length()
                          + "\r\n\r\n"
                          + BODY)));

  private Messages() {}

  /** Returns request {@code number}, with an idempotency key and a deadline in seconds. */
  static ByteBuf request(long number, double remainingS) {
    String id = ID_FORMAT.formatted(number);
    return Unpooled.wrappedBuffer(
        ascii(REQUEST_TEMPLATE.formatted(id, number % 1_000, remainingS, id, BODY.length(), BODY)));
  }

  static ByteBuf response() {
    return RESPONSE.duplicate();
  }

  /** Returns whether these bytes end a message, and releases them. */
  static boolean endsMessage(Object message) {
    ByteBuf bytes = (ByteBuf) message;
    boolean last = bytes.isReadable() && bytes.getByte(bytes.writerIndex() - 1) == END_MARKER;
    bytes.release();
    return last;
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
