package hazelspoke.front.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Rejects requests with both Content-Length and Transfer-Encoding. If the gateway used one and a
 * host the other, the bytes between the two ends could be a smuggled request.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
  StrictRequestDecoder(HttpDecoderConfig config) {
    super(config);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
