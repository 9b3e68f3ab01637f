package hazelspoke.front.http;

import hazelspoke.http.DecoderFootprint;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Rejects requests with both Content-Length and Transfer-Encoding. If the gateway used one and a
 * host the other, the bytes between the two ends could be a smuggled request.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
  private final DecoderFootprint footprint = new DecoderFootprint();

  StrictRequestDecoder(HttpDecoderConfig config) {
    super(config);
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf input, List<Object> out)
      throws Exception {
    int consumedFrom = input.readerIndex();
    super.decode(ctx, input, out);
    footprint.onStep(input.readerIndex() - consumedFrom, out);
  }

  /** The memory held besides emitted messages, in bytes. */
  long heldBytes() {
    return footprint.heldBytes(internalBuffer());
  }

  /**
   * The bytes that were received and not decoded. Right after the last part of a request was
   * emitted, these are the bytes behind that request. Not to be kept or changed.
   */
  ByteBuf undecodedBytes() {
    return internalBuffer();
  }

  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    footprint.onHeaderLine();
    return super.splitHeaderName(line, start, length);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
