package hazelspoke.front.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Takes no request whose length is given in two ways: one reader would go by the one and the next
 * by the other, and what lies between may be a request of its own.
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
