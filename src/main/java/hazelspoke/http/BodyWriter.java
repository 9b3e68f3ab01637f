package hazelspoke.http;

import hazelspoke.core.Body;
import hazelspoke.core.BodyStream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;

/**
 * Writes one message: its head and a short body in one piece, a long body in pieces as the peer
 * takes them, and the rest of a large one as it comes. What waits at a socket is copied outside the
 * heap, and many slow peers at once must not fill that memory.
 */
public final class BodyWriter implements BodyStream.Sink {
  private static final int PIECE_BYTES = 16_384;
  private static final byte[] LINE_END = {'\r', '\n'};
  private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final Channel channel;
  private final Body body;
  private final boolean chunked;
  private final ChannelFutureListener whenWritten;
  private final Runnable whenBroken;
  private final long held;
  private long offset;
  private boolean done;
  private boolean passing;
  private int piecesOut;
  private long piecesWritten;

  /** One for a body of which all is held; otherwise as below. */
  public BodyWriter(Channel channel, Body body, ChannelFutureListener whenWritten) {
    this(channel, body, false, whenWritten, () -> {});
  }

  /**
   * One for this body.
   *
   * @param chunked whether each piece is preceded by its length, for a body whose length its
   *     receiver is not told
   * @param whenWritten is told when the last byte has gone to the socket
   * @param whenBroken is told instead when the rest of a body will not come: what was written is no
   *     whole message
   */
  public BodyWriter(
      Channel channel,
      Body body,
      boolean chunked,
      ChannelFutureListener whenWritten,
      Runnable whenBroken) {
    this.channel = channel;
    this.body = body;
    this.chunked = chunked;
    this.whenWritten = whenWritten;
    this.whenBroken = whenBroken;
    held = body.bufferedLength();
  }

  /** Begins with this head; the end may be told before this returns. */
  public void start(HeadWriter head) {
    if (body.remainder() == null && !chunked && body.bufferedLength() <= PIECE_BYTES) {
      done = true;
      ByteBuf whole = head.finish((int) body.bufferedLength());
      body.copyTo(whole);
      channel.writeAndFlush(whole).addListener(whenWritten);
    } else {
      channel.write(head.finish(0));
      resume();
    }
  }

  /** Goes on; to be called whenever the channel has become writable. */
  public void resume() {
    while (!done && offset < held && channel.isWritable()) {
      ByteBuf piece = body.slice(offset, PIECE_BYTES);
      offset += piece.readableBytes();
      if (offset == held && body.remainder() == null && !chunked) {
        done = true;
        channel.writeAndFlush(piece).addListener(whenWritten);
      } else {
        write(piece);
      }
    }
    if (!done && offset == held) {
      if (body.remainder() == null) {
        onComplete();
      } else if (!passing) {
        passing = true;
        body.remainder().attach(this);
      } else if (channel.isWritable()) {
        body.remainder().pull();
      }
    }
    channel.flush();
  }

  private void write(ByteBuf piece) {
    ByteBuf framed = piece;
    if (chunked) {
      String length = Integer.toHexString(piece.readableBytes()) + "\r\n";
      framed =
          Unpooled.wrappedBuffer(
              Unpooled.wrappedBuffer(length.getBytes(StandardCharsets.US_ASCII)),
              piece,
              Unpooled.wrappedBuffer(LINE_END));
    }
    piecesOut++;
    channel.write(framed).addListener(this::pieceGone);
  }

  private void pieceGone(Future<? super Void> written) {
    piecesOut--;
    piecesWritten++;
  }

  /** How many pieces the peer has taken so far: while it stands still the peer does not read. */
  public long piecesWritten() {
    return piecesWritten;
  }

  /** Whether something waits for the peer to take it, rather than for its source. */
  public boolean isAwaitingPeer() {
    return done || piecesOut > 0;
  }

  @Override
  public boolean write(byte[] bytes) {
    write(Unpooled.wrappedBuffer(bytes));
    channel.flush();
    return channel.isWritable();
  }

  @Override
  public void onComplete() {
    done = true;
    ByteBuf last = chunked ? Unpooled.wrappedBuffer(LAST_CHUNK) : Unpooled.EMPTY_BUFFER;
    channel.writeAndFlush(last).addListener(whenWritten);
  }

  @Override
  public void onTruncated() {
    done = true;
    whenBroken.run();
  }

  /** Nobody takes what is written any more: the rest need not come. */
  public void abandon() {
    done = true;
    body.abandon();
  }
}
