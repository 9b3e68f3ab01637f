package hazelspoke.agreement.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.util.function.Consumer;

/** Whole frames on a connection: four bytes of length, then so many of CBOR. */
abstract class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
  /** The longest; a record with all that it may hold is shorter. */
  static final int LONGEST_BYTES = 8 << 20;

  /** What somebody may send who has not said who it is. */
  static final int LONGEST_HELLO_BYTES = 1_024;

  /** What an operator may send. */
  static final int LONGEST_CALL_BYTES = 64 << 10;

  /** What may wait to be written; further packets are dropped, which their senders allow for. */
  static final WriteBufferWaterMark WAITING = new WriteBufferWaterMark(2 << 20, 8 << 20);

  private static final int LENGTH_BYTES = 4;
  private static final String FRAMES = "frames";

  /** Puts this at the end of a connection's handlers. */
  void joins(Channel channel) {
    channel
        .pipeline()
        .addLast(FRAMES, frames(LONGEST_HELLO_BYTES))
        .addLast(new LengthFieldPrepender(LENGTH_BYTES), this);
  }

  /** The other end has said who it is, and may send longer ones. */
  static void allow(Channel channel, int longest) {
    channel.pipeline().replace(FRAMES, FRAMES, frames(longest));
  }

  private static LengthFieldBasedFrameDecoder frames(int longest) {
    return new LengthFieldBasedFrameDecoder(longest, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
  }

  private final Counter counter;

  /** Its traffic is counted there. */
  FrameHandler(Counter counter) {
    this.counter = counter;
  }

  /** What all connections of a member carry; counted on its loop, and any thread may look. */
  static final class Counter {
    private volatile long in;
    private volatile long out;

    private void in(int bytes) {
      in += LENGTH_BYTES + bytes;
    }

    private void out(int bytes) {
      out += LENGTH_BYTES + bytes;
    }

    Traffic traffic() {
      return new Traffic(in, out);
    }
  }

  void write(Channel channel, byte[] packet) {
    if (channel.isActive() && channel.isWritable() && packet.length <= LONGEST_BYTES) {
      counter.out(packet.length);
      channel.writeAndFlush(channel.alloc().buffer(packet.length).writeBytes(packet));
    }
  }

  abstract void frame(byte[] packet);

  abstract void gone();

  @Override
  protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
    counter.in(frame.readableBytes());
    frame(ByteBufUtil.getBytes(frame));
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    gone();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // A reset, or no frames at all.
    context.close();
  }

  /** For whoever answers on the connection that a packet came by. */
  Consumer<byte[]> back(Channel channel) {
    return packet -> write(channel, packet);
  }
}
