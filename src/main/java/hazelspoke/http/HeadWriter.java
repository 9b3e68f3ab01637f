package hazelspoke.http;

import hazelspoke.core.Metadata;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Writes the head of a message as bytes, straight from what the core holds. What goes into it was
 * read by a strict decoder or made here: nothing in it may hold a line's end, as nothing checks.
 */
public final class HeadWriter {
  private static final int USUAL_BYTES = 512;

  private final ByteBuf out;

  private HeadWriter(ByteBufAllocator allocator) {
    out = allocator.directBuffer(USUAL_BYTES);
  }

  /** Begins a request. */
  public static HeadWriter request(ByteBufAllocator allocator, String method, String target) {
    HeadWriter head = new HeadWriter(allocator);
    head.ascii(method).ascii(" ").ascii(target).ascii(" HTTP/1.1\r\n");
    return head;
  }

  /** Begins an answer. */
  public static HeadWriter answer(ByteBufAllocator allocator, HttpResponseStatus status) {
    HeadWriter head = new HeadWriter(allocator);
    head.ascii("HTTP/1.1 ").ascii(status.codeAsText()).ascii(" ");
    head.ascii(status.reasonPhrase()).ascii("\r\n");
    return head;
  }

  /** Adds a header. */
  public HeadWriter add(CharSequence name, CharSequence value) {
    return ascii(name).ascii(": ").ascii(value).ascii("\r\n");
  }

  /** Adds headers. */
  public HeadWriter add(Metadata metadata) {
    for (int i = 0; i < metadata.size(); i++) {
      add(metadata.name(i), metadata.value(i));
    }
    return this;
  }

  /** Ends it; whoever takes the bytes releases them. */
  public ByteBuf end() {
    ascii("\r\n");
    return out;
  }

  private HeadWriter ascii(CharSequence text) {
    ByteBufUtil.writeAscii(out, text);
    return this;
  }
}
