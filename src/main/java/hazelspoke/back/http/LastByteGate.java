package hazelspoke.back.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;

/**
 * While it is closed, keeps back the last byte of what is written until it is let go. A host begins
 * a request with its last byte, so a connection that turns out to be broken before that proves that
 * nothing ran.
 */
final class LastByteGate extends ChannelOutboundHandlerAdapter {
  private ChannelHandlerContext context;
  private ByteBuf kept;
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
    if (kept != null) {
      ctx.write(kept);
    }
    kept = bytes.alloc().buffer(1, 1).writeByte(bytes.getByte(bytes.writerIndex() - 1));
    bytes.writerIndex(bytes.writerIndex() - 1);
    ctx.write(bytes, promise);
  }

  /** From now on the last byte of what is written is kept back. */
  void close() {
    closed = true;
  }

  /** Writes the byte that was kept back, and opens. */
  ChannelFuture letGo() {
    closed = false;
    ByteBuf last = kept;
    kept = null;
    return context.writeAndFlush(last);
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext ctx) {
    if (kept != null) {
      kept.release();
      kept = null;
    }
  }
}
