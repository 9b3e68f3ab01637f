package hazelspoke.back.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Takes no answer whose head only looks like one. Where its decoder would guess, the answer is
 * spoilt: what follows such a head may be anything, and to serve it could pass on what no host made
 * for the request. Old servers that leave a blank before the colon would be turned down with it.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
  StrictResponseDecoder(HttpDecoderConfig config) {
    super(config);
  }

  /** The decoder ends a name at a blank as well, with or without a colon behind it. */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    if (line[start + length] != ':') {
      throw new IllegalArgumentException("a header without a colon");
    }
    return super.splitHeaderName(line, start, length);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }

  /** Whether bytes have come behind what was decoded last. */
  boolean hasMore() {
    return actualReadableBytes() > 0;
  }
}
