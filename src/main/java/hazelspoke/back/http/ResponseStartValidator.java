package hazelspoke.back.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;

/**
 * Checks the first bytes of each response before they are decoded. The decoder waits for the end of
 * a line, so invalid bytes without one would keep the request waiting, and it emits a response even
 * if no request is pending. Every valid response begins with the protocol name, so none is rejected
 * here.
 */
final class ResponseStartValidator extends ChannelInboundHandlerAdapter {
  private static final byte[] RESPONSE_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  private final HostConnection connection;
  private int matched;

  ResponseStartValidator(HostConnection connection) {
    this.connection = connection;
  }

  void expectResponse() {
    matched = 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof ByteBuf bytes && bytes.isReadable()) {
      connection.bytesReceived();
      int index = bytes.readerIndex();
      while (matched < RESPONSE_START.length && index < bytes.writerIndex()) {
        if (bytes.getByte(index++) != RESPONSE_START[matched++]) {
          matched = RESPONSE_START.length;
          bytes.release();
          connection.rejectResponse();
          return;
        }
      }
    }
    ctx.fireChannelRead(message);
  }
}
