package hazelspoke.http;

import hazelspoke.core.Metadata;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Writes the head of a message directly from the core's metadata. The values come from a strict
 * decoder or from the gateway itself; line breaks in them are not checked for here.
 */
public final class HeadWriter {
  private static final int INITIAL_BYTES = 512;
  private static final AsciiString SEPARATOR = AsciiString.cached(": ");
  private static final AsciiString CRLF = AsciiString.cached("\r\n");
  private static final AsciiString REQUEST_LINE_END = AsciiString.cached(" HTTP/1.1\r\n");
  private static final AsciiString STATUS_LINE_START = AsciiString.cached("HTTP/1.1 ");
  private static final AsciiString SPACE = AsciiString.cached(" ");

  private final ByteBufAllocator allocator;

  /** On the heap, because small writes to a direct buffer are expensive. */
  private byte[] bytes = new byte[INITIAL_BYTES];

  private int length;

  private HeadWriter(ByteBufAllocator allocator) {
    this.allocator = allocator;
  }

  /** Starts a request. */
  public static HeadWriter request(ByteBufAllocator allocator, String method, String target) {
    HeadWriter head = new HeadWriter(allocator);
    head.put(method).put(SPACE).put(target).put(REQUEST_LINE_END);
    return head;
  }

  /** Starts a response. */
  public static HeadWriter response(ByteBufAllocator allocator, HttpResponseStatus status) {
    HeadWriter head = new HeadWriter(allocator);
    head.put(STATUS_LINE_START).put(status.codeAsText()).put(SPACE);
    head.put(status.reasonPhrase()).put(CRLF);
    return head;
  }

  /** Adds a header. */
  public HeadWriter add(CharSequence name, CharSequence value) {
    return put(name).put(SEPARATOR).put(value).put(CRLF);
  }

  /** Adds all metadata as headers. */
  public HeadWriter add(Metadata metadata) {
    for (int i = 0; i < metadata.size(); i++) {
      add(metadata.name(i), metadata.value(i));
    }
    return this;
  }

  /**
   * Ends the head and returns it in a buffer with capacity for {@code extraBytes} more; the caller
   * releases it.
   */
  public ByteBuf finish(int extraBytes) {
    put(CRLF);
    return allocator.directBuffer(length + extraBytes).writeBytes(bytes, 0, length);
  }

  private HeadWriter put(CharSequence text) {
    int added = text.length();
    if (length + added > bytes.length) {
      bytes = Arrays.copyOf(bytes, 2 * (length + added));
    }
    if (text instanceof AsciiString ascii) {
      ascii.copy(0, bytes, length, added);
    } else {
      byte[] latin = text.toString().getBytes(StandardCharsets.ISO_8859_1);
      System.arraycopy(latin, 0, bytes, length, added);
    }
    length += added;
    return this;
  }
}
