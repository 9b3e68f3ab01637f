package hazelspoke.front.http;

import hazelspoke.core.Metadata;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import java.util.Iterator;
import java.util.Map;

/** Decoded input that is kept for later, and the memory that it holds. */
final class HeldMessage {
  /** The memory for a message object itself. */
  private static final int MESSAGE_BYTES = 256;

  private HeldMessage() {}

  /**
   * Returns a message that can be kept. Content is copied, as a small slice would retain an entire
   * read buffer.
   */
  static HttpObject of(HttpObject message) {
    if (!(message instanceof HttpContent content)) {
      return message;
    }
    HttpContent copy = content.replace(Unpooled.copiedBuffer(content.content()));
    copy.setDecoderResult(content.decoderResult());
    content.release();
    return copy;
  }

  /** The memory held by a message or by undecoded bytes. */
  static long heldBytes(Object message) {
    long bytes = message instanceof ByteBuf undecoded ? undecoded.readableBytes() : MESSAGE_BYTES;
    if (message instanceof HttpMessage head) {
      bytes += headBytes(head);
    }
    if (message instanceof HttpContent content) {
      bytes += content.content().readableBytes();
    }
    return bytes;
  }

  private static long headBytes(HttpMessage head) {
    long bytes = 0;
    Iterator<Map.Entry<CharSequence, CharSequence>> headers = head.headers().iteratorCharSequence();
    while (headers.hasNext()) {
      Map.Entry<CharSequence, CharSequence> header = headers.next();
      bytes += Metadata.ENTRY_BYTES + header.getKey().length() + header.getValue().length();
    }
    return bytes;
  }
}
