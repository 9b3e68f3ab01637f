package hazelspoke.back.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;

/**
 * Sees what a host sends before it is decoded. A decoder waits for the end of a line, so noise
 * without one would keep its request waiting; and it hands out an answer whenever one comes, asked
 * for or not. Any answer begins with the name of the protocol, so nothing good is lost here.
 */
final class ResponseStartValidator extends ChannelInboundHandlerAdapter {
  private static final byte[] START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  private final HostConnection connection;
  private int matched;

  ResponseStartValidator(HostConnection connection) {
    this.connection = connection;
  }

  void expectAnswer() {
    matched = 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof ByteBuf bytes && bytes.isReadable()) {
      connection.heard();
      int at = bytes.readerIndex();
      while (matched < START.length && at < bytes.writerIndex()) {
        if (bytes.getByte(at++) != START[matched++]) {
          matched = START.length;
          bytes.release();
          connection.spoilt();
          return;
        }
      }
    }
    ctx.fireChannelRead(message);
  }
}
