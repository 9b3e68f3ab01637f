package hazelspoke.http;

import hazelspoke.core.Awaited;
import hazelspoke.core.Body;
import hazelspoke.core.BodyStream;
import hazelspoke.core.WaitTracker;
import hazelspoke.net.Buffers;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;

/**
 * Writes one message: the head and a short body in one buffer, a long body in pieces at the rate at
 * which the peer reads, and the remainder of a large body as it is received. Bytes pending at a
 * socket are copied to off-heap memory, which many slow peers at once must not exhaust.
 */
public final class BodyWriter implements BodyStream.Sink {
  private static final byte[] CRLF = {'\r', '\n'};
  private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final Channel channel;
  private final Body body;
  private final WaitTracker waitTracker;
  private final boolean chunked;
  private final ChannelFutureListener whenWritten;
  private final Runnable whenTruncated;
  private final long bufferedLength;
  private long offset;
  private boolean done;
  private boolean streaming;
  private int piecesInFlight;

  /**
   * Creates a writer for this body.
   *
   * @param waitTracker informed whether the peer or the source of the body is waited for
   * @param chunked whether to use chunked transfer encoding, for a body whose length is not
   *     declared to the receiver
   * @param whenWritten notified when the last byte was handed to the socket
   * @param whenTruncated called instead if the remainder of the body will not arrive, so that the
   *     written message is incomplete
   */
  public BodyWriter(
      Channel channel,
      Body body,
      WaitTracker waitTracker,
      boolean chunked,
      ChannelFutureListener whenWritten,
      Runnable whenTruncated) {
    this.channel = channel;
    this.body = body;
    this.waitTracker = waitTracker;
    this.chunked = chunked;
    this.whenWritten = whenWritten;
    this.whenTruncated = whenTruncated;
    bufferedLength = body.bufferedLength();
  }

  /** Writes the head and starts on the body; completion may be reported before this returns. */
  public void start(HeadWriter head) {
    waitTracker.setAwaited(Awaited.PEER_TO_READ);
    if (body.remainder() == null && !chunked && body.bufferedLength() <= Buffers.PIECE_BYTES) {
      done = true;
      ByteBuf message = head.finish((int) body.bufferedLength());
      body.copyTo(message);
      channel.writeAndFlush(message).addListener(whenWritten);
    } else {
      channel.write(head.finish(0));
      resume();
    }
  }

  /** Continues writing; to be called whenever the channel becomes writable. */
  public void resume() {
    while (!done && offset < bufferedLength && channel.isWritable()) {
      ByteBuf piece = body.slice(offset, Buffers.PIECE_BYTES);
      offset += piece.readableBytes();
      if (offset == bufferedLength && body.remainder() == null && !chunked) {
        done = true;
        channel.writeAndFlush(piece).addListener(whenWritten);
      } else {
        write(piece);
      }
    }
    if (!done && offset == bufferedLength) {
      if (body.remainder() == null) {
        onComplete();
      } else if (!streaming) {
        streaming = true;
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
              Unpooled.wrappedBuffer(CRLF));
    }
    piecesInFlight++;
    waitTracker.setAwaited(Awaited.PEER_TO_READ);
    channel.write(framed).addListener(this::onPieceWritten);
  }

  private void onPieceWritten(Future<? super Void> written) {
    piecesInFlight--;
    if (done) {
      return;
    }
    waitTracker.progress(Awaited.PEER_TO_READ);
    if (piecesInFlight == 0) {
      waitTracker.setAwaited(Awaited.OTHER_SIDE);
    }
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
    waitTracker.setAwaited(Awaited.PEER_TO_READ);
    ByteBuf last = chunked ? Unpooled.wrappedBuffer(LAST_CHUNK) : Unpooled.EMPTY_BUFFER;
    channel.writeAndFlush(last).addListener(whenWritten);
  }

  @Override
  public void onTruncated() {
    done = true;
    whenTruncated.run();
  }

  /**
   * Stops writing, because the message has no receiver any more, and discards the remainder of the
   * body.
   */
  public void abandon() {
    done = true;
    body.abandon();
  }
}
