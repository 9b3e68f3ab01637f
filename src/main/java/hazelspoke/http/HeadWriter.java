package hazelspoke.http;

import hazelspoke.core.Metadata;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Writes the head of a message as bytes, straight from what the core holds. What goes into it was
 * read by a strict decoder or made here: nothing in it may hold a line's end, as nothing checks.
 */
public final class HeadWriter {
  private static final int USUAL_BYTES = 512;
  private static final AsciiString BETWEEN = AsciiString.cached(": ");
  private static final AsciiString LINE_END = AsciiString.cached("\r\n");
  private static final AsciiString OF_REQUEST = AsciiString.cached(" HTTP/1.1\r\n");
  private static final AsciiString OF_ANSWER = AsciiString.cached("HTTP/1.1 ");
  private static final AsciiString BLANK = AsciiString.cached(" ");

  private final ByteBufAllocator allocator;

  /** On the heap: a write of a few bytes outside it costs more than they are worth. */
  private byte[] bytes = new byte[USUAL_BYTES];

  private int length;

  private HeadWriter(ByteBufAllocator allocator) {
    this.allocator = allocator;
  }

  /** Begins a request. */
  public static HeadWriter request(ByteBufAllocator allocator, String method, String target) {
    HeadWriter head = new HeadWriter(allocator);
    head.put(method).put(BLANK).put(target).put(OF_REQUEST);
    return head;
  }

  /** Begins an answer. */
  public static HeadWriter response(ByteBufAllocator allocator, HttpResponseStatus status) {
    HeadWriter head = new HeadWriter(allocator);
    head.put(OF_ANSWER).put(status.codeAsText()).put(BLANK);
    head.put(status.reasonPhrase()).put(LINE_END);
    return head;
  }

  /** Adds a header. */
  public HeadWriter add(CharSequence name, CharSequence value) {
    return put(name).put(BETWEEN).put(value).put(LINE_END);
  }

  /** Adds headers. */
  public HeadWriter add(Metadata metadata) {
    for (int i = 0; i < metadata.size(); i++) {
      add(metadata.name(i), metadata.value(i));
    }
    return this;
  }

  /** Ends it, with room for so many bytes more; whoever takes the bytes releases them. */
  public ByteBuf finish(int room) {
    put(LINE_END);
    return allocator.directBuffer(length + room).writeBytes(bytes, 0, length);
  }

  private HeadWriter put(CharSequence text) {
    int more = text.length();
    if (length + more > bytes.length) {
      bytes = Arrays.copyOf(bytes, 2 * (length + more));
    }
    if (text instanceof AsciiString ascii) {
      ascii.copy(0, bytes, length, more);
    } else {
      byte[] latin = text.toString().getBytes(StandardCharsets.ISO_8859_1);
      System.arraycopy(latin, 0, bytes, length, more);
    }
    length += more;
    return this;
  }
}
