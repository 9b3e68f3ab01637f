package hazelspoke.back.http;

import hazelspoke.http.DecoderFootprint;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Rejects malformed response heads that Netty's decoder would tolerate. The bytes after such a head
 * may be anything, and forwarding them could give the client a response that no host made for its
 * request. This also rejects old servers that send a blank before the colon of a header.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
  private final DecoderFootprint footprint = new DecoderFootprint();

  StrictResponseDecoder(HttpDecoderConfig config) {
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

  /** Rejects header names without a colon; Netty also ends a name at a blank. */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    footprint.onHeaderLine();
    if (line[start + length] != ':') {
      throw new IllegalArgumentException("header name without a colon");
    }
    return super.splitHeaderName(line, start, length);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }

  /** Whether undecoded bytes follow the last decoded message. */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }
}
