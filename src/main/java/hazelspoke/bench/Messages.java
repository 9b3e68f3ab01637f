package hazelspoke.bench;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * The messages that clients and hosts of the benchmark exchange. Each ends in a byte that occurs
 * nowhere else in it, so that neither side has to parse: what they cost is not what is measured.
 */
final class Messages {
  private static final char LAST = '!';
  private static final String BODY = "-".repeat(199) + LAST;

  /** Ids are 32 hexadecimal digits long, as clients' are. */
  private static final String ID = "%032x";

  private static final String KEYED =
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

  private static final ByteBuf ANSWER =
      Unpooled.unreleasableBuffer(
          Unpooled.directBuffer()
              .writeBytes(
                  ascii(
                      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                          + BODY.length()
                          + "\r\n\r\n"
                          + BODY)));

  private Messages() {}

  /** A keyed request, the {@code number}th of all, whose client waits for so many seconds. */
  static ByteBuf request(long number, double remainingS) {
    String id = ID.formatted(number);
    return Unpooled.wrappedBuffer(
        ascii(KEYED.formatted(id, number % 1_000, remainingS, id, BODY.length(), BODY)));
  }

  static ByteBuf answer() {
    return ANSWER.duplicate();
  }

  /** Whether these bytes end a message; releases them. */
  static boolean ends(Object message) {
    ByteBuf bytes = (ByteBuf) message;
    boolean last = bytes.isReadable() && bytes.getByte(bytes.writerIndex() - 1) == LAST;
    bytes.release();
    return last;
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
