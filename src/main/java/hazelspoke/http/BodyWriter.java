package hazelspoke.http;

import hazelspoke.core.Body;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Writes one message with its body, in pieces as the peer takes them: what waits at a socket is
 * copied outside the heap, and many slow peers at once must not fill that memory.
 */
public final class BodyWriter {
  private static final int PIECE_BYTES = 16_384;

  private final Channel channel;
  private final Body body;
  private final ChannelFutureListener whenWritten;
  private long offset;
  private boolean done;

  public BodyWriter(
      Channel channel, HttpMessage head, Body body, ChannelFutureListener whenWritten) {
    this.channel = channel;
    this.body = body;
    this.whenWritten = whenWritten;
    channel.write(head);
    resume();
  }

  /** Goes on; to be called whenever the channel has become writable. */
  public void resume() {
    while (!done && offset < body.length() && channel.isWritable()) {
      var piece = body.slice(offset, PIECE_BYTES);
      offset += piece.readableBytes();
      channel.write(new DefaultHttpContent(piece));
    }
    if (!done && offset == body.length()) {
      done = true;
      channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(whenWritten);
    } else {
      channel.flush();
    }
  }
}
