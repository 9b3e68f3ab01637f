package hazelspoke.back.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;

/**
 * While closed, withholds the last byte written until {@link #release}. A host runs a request only
 * once it has the last byte, so a connection that breaks before that proves that the request did
 * not run.
 */
final class LastByteGate extends ChannelOutboundHandlerAdapter {
  private ChannelHandlerContext context;
  private ByteBuf withheldByte;
  private boolean closed;

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    if (!closed || !(message instanceof ByteBuf bytes) || !bytes.isReadable()) {
      ctx.write(message, promise);
      return;
    }
    if (withheldByte != null) {
      ctx.write(withheldByte);
    }
    withheldByte = bytes.alloc().buffer(1, 1).writeByte(bytes.getByte(bytes.writerIndex() - 1));
    bytes.writerIndex(bytes.writerIndex() - 1);
    ctx.write(bytes, promise);
  }

  /** Withholds the last byte written from now on. */
  void close() {
    closed = true;
  }

  /** Writes the withheld byte and passes all later writes through. */
  ChannelFuture release() {
    closed = false;
    ByteBuf last = withheldByte;
    withheldByte = null;
    return context.writeAndFlush(last);
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext ctx) {
    if (withheldByte != null) {
      withheldByte.release();
      withheldByte = null;
    }
  }
}
