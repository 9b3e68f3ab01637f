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

/**
 * Sends and receives frames on a connection: a length of four bytes, then that many bytes of CBOR.
 */
abstract class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
  /** Maximum size of a frame; larger than the largest possible record. */
  static final int MAX_BYTES = 8 << 20;

  /** Maximum size of a frame from a peer that has not sent its greeting. */
  static final int MAX_GREETING_BYTES = 1_024;

  /** Maximum size of a frame from an operator. */
  static final int MAX_OPERATOR_CALL_BYTES = 64 << 10;

  /**
   * Limits on bytes waiting to be written; packets beyond them are dropped, which their senders
   * tolerate.
   */
  static final WriteBufferWaterMark WRITE_BUFFER_LIMITS =
      new WriteBufferWaterMark(2 << 20, 8 << 20);

  private static final int LENGTH_BYTES = 4;
  private static final String DECODER_NAME = "frames";

  /** Adds the frame codec and this handler to a channel's pipeline. */
  void addTo(Channel channel) {
    channel
        .pipeline()
        .addLast(DECODER_NAME, decoder(MAX_GREETING_BYTES))
        .addLast(new LengthFieldPrepender(LENGTH_BYTES), this);
  }

  /** Raises the maximum size of a received frame once the peer has sent its greeting. */
  static void setMaxFrameBytes(Channel channel, int maxBytes) {
    channel.pipeline().replace(DECODER_NAME, DECODER_NAME, decoder(maxBytes));
  }

  private static LengthFieldBasedFrameDecoder decoder(int maxBytes) {
    return new LengthFieldBasedFrameDecoder(maxBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
  }

  private final Counter counter;

  /** Creates a handler that adds its traffic to a counter. */
  FrameHandler(Counter counter) {
    this.counter = counter;
  }

  /**
   * The traffic of all connections of a member; updated on its event loop and readable from any
   * thread.
   */
  static final class Counter {
    private volatile long receivedBytes;
    private volatile long sentBytes;

    private void received(int bytes) {
      receivedBytes += LENGTH_BYTES + bytes;
    }

    private void sent(int bytes) {
      sentBytes += LENGTH_BYTES + bytes;
    }

    Traffic traffic() {
      return new Traffic(receivedBytes, sentBytes);
    }
  }

  void write(Channel channel, byte[] packet) {
    if (channel.isActive() && channel.isWritable() && packet.length <= MAX_BYTES) {
      counter.sent(packet.length);
      channel.writeAndFlush(channel.alloc().buffer(packet.length).writeBytes(packet));
    }
  }

  abstract void handleFrame(byte[] packet);

  abstract void closed();

  @Override
  protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
    counter.received(frame.readableBytes());
    handleFrame(ByteBufUtil.getBytes(frame));
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    closed();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // The connection was reset, or received data that is not a valid frame.
    context.close();
  }

  /** Returns a function that sends packets on a connection, for replies to what came on it. */
  Consumer<byte[]> replyTo(Channel channel) {
    return packet -> write(channel, packet);
  }
}
