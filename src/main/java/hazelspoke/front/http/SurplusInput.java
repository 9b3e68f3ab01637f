package hazelspoke.front.http;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/**
 * Tells whether more than one request is on its way on a connection. Clients send one request at a
 * time, so bytes behind a request whose response has not begun show that its announced length is
 * too short, that it hides another request, or that a client floods the gateway. One empty line is
 * tolerated there, as some clients end a body with it (RFC 9112, 2.2).
 */
final class SurplusInput {
  /** What a client is told whose request is followed by bytes. */
  static final String REJECTION_MESSAGE = "one request at a time: bytes follow the request";

  /** The length of a carriage return and a line feed. */
  private static final int EMPTY_LINE_BYTES = 2;

  private static final ByteProcessor IS_LINE_END = value -> value == '\r' || value == '\n';

  /** The line ends found behind the current request so far. */
  private int lineEndBytes;

  /** Reports that a request begins. */
  void onRequestBegun() {
    lineEndBytes = 0;
  }

  /**
   * Whether the bytes behind the current request are more than an empty line. Called once for all
   * bytes that follow it; consumes none of them.
   */
  boolean exceedsEmptyLine(ByteBuf bytes) {
    if (!bytes.isReadable()) {
      return false;
    }
    lineEndBytes += bytes.readableBytes();
    return lineEndBytes > EMPTY_LINE_BYTES || !isLineEnds(bytes);
  }

  /** Whether the bytes are nothing but line ends, and so no part of a request. */
  static boolean isLineEnds(ByteBuf bytes) {
    return bytes.forEachByte(IS_LINE_END) < 0;
  }
}
