package hazelspoke.http;

import hazelspoke.net.Buffers;
import io.netty.handler.codec.http.HttpDecoderConfig;

/** The size limits of a message's head. */
public final class HttpLimits {
  /** Long headers are legitimate; heads above these limits are rejected. */
  private static final int MAX_LINE_BYTES = 16_384;

  private static final int MAX_HEAD_BYTES = 32_768;

  private HttpLimits() {}

  public static HttpDecoderConfig decoderConfig() {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(MAX_LINE_BYTES)
        .setMaxHeaderSize(MAX_HEAD_BYTES)
        .setMaxChunkSize(Buffers.MAX_READ_BYTES);
  }
}
