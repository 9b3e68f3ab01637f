package hazelspoke.http;

import hazelspoke.core.Body;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;

/**
 * Writes one message: its head and a short body in one piece, a long body in pieces as the peer
 * takes them. What waits at a socket is copied outside the heap, and many slow peers at once must
 * not fill that memory.
 */
public final class BodyWriter {
  private static final int PIECE_BYTES = 16_384;

  private final Channel channel;
  private final Body body;
  private final ChannelFutureListener whenWritten;
  private long offset;
  private boolean done;

  /** One for this body; {@code whenWritten} is told when the last byte has gone to the socket. */
  public BodyWriter(Channel channel, Body body, ChannelFutureListener whenWritten) {
    this.channel = channel;
    this.body = body;
    this.whenWritten = whenWritten;
  }

  /** Begins with this head; the end may be told before this returns. */
  public void start(HeadWriter head) {
    if (body.length() <= PIECE_BYTES) {
      done = true;
      ByteBuf whole = head.end((int) body.length());
      body.copyTo(whole);
      channel.writeAndFlush(whole).addListener(whenWritten);
    } else {
      channel.write(head.end(0));
      resume();
    }
  }

  /** Goes on; to be called whenever the channel has become writable. */
  public void resume() {
    while (!done && channel.isWritable()) {
      ByteBuf piece = body.slice(offset, PIECE_BYTES);
      offset += piece.readableBytes();
      if (offset == body.length()) {
        done = true;
        channel.writeAndFlush(piece).addListener(whenWritten);
      } else {
        channel.write(piece);
      }
    }
    channel.flush();
  }
}
