package hazelspoke.http;

import hazelspoke.core.Metadata;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.List;

/**
 * Counts the memory that a decoder holds besides the messages that it has emitted: the parsed lines
 * of an incomplete head, which are objects on the heap, unparsed bytes, which are off the heap, and
 * the decoder's own line buffer. Limits the number of lines, each of which costs several objects
 * and more time than its bytes.
 */
public final class DecoderFootprint {
  /** The most header lines of a message; common servers allow 100. */
  static final int MAX_HEADER_LINES = 200;

  /** Line buffers up to this size are part of the memory of every connection. */
  private static final int USUAL_LINE_BYTES = 2_048;

  private long parsedBytes;
  private int parsedLines;

  /** The most bytes parsed in one step; the decoder's line buffer grows to the longest line. */
  private long lineBufferBytes;

  /**
   * Called for each header line.
   *
   * @throws TooLongHttpHeaderException if a message has too many of them
   */
  public void onHeaderLine() {
    parsedLines++;
    if (parsedLines > MAX_HEADER_LINES) {
      throw new TooLongHttpHeaderException("more than " + MAX_HEADER_LINES + " header lines");
    }
  }

  /**
   * Called after each step of the decoder.
   *
   * @param consumedBytes the bytes that the step consumed
   * @param emitted the messages that the step emitted, which hold what was parsed
   */
  public void onStep(int consumedBytes, List<Object> emitted) {
    if (emitted.isEmpty()) {
      parsedBytes += consumedBytes;
    } else {
      parsedBytes = 0;
      parsedLines = 0;
    }
    if (consumedBytes > USUAL_LINE_BYTES
        && (emitted.isEmpty() || emitted.get(0) instanceof HttpMessage)) {
      lineBufferBytes = Math.max(lineBufferBytes, consumedBytes);
    }
  }

  /**
   * The bytes held.
   *
   * @param unparsed the buffer of bytes that were not parsed yet
   */
  public long heldBytes(ByteBuf unparsed) {
    return unparsed.capacity()
        + parsedBytes
        + (long) parsedLines * Metadata.ENTRY_BYTES
        + lineBufferBytes;
  }
}
