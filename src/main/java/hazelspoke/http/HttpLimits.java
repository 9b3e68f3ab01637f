package hazelspoke.http;

import hazelspoke.net.Buffers;
import io.netty.handler.codec.http.HttpDecoderConfig;

/** What a message's head may be at most. */
public final class HttpLimits {
  /** Long headers occur; heads beyond this are refused. */
  private static final int MOST_LINE_BYTES = 16_384;

  private static final int MOST_HEAD_BYTES = 32_768;

  private HttpLimits() {}

  public static HttpDecoderConfig decoderConfig() {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(MOST_LINE_BYTES)
        .setMaxHeaderSize(MOST_HEAD_BYTES)
        .setMaxChunkSize(Buffers.MAX_READ_BYTES);
  }
}
