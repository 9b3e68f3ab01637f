package hazelspoke.http;

import hazelspoke.core.Metadata;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.List;

/**
 * Counts the memory that a decoder holds of an incomplete head: parsed lines, which are objects on
 * the heap, and unparsed bytes, which are off the heap. Limits the number of lines, each of which
 * costs several objects and more time than its bytes. The decoder's own buffer for one line is not
 * counted.
 */
public final class DecoderFootprint {
  /** The most header lines of a message; common servers allow 100. */
  static final int MAX_HEADER_LINES = 200;

  private long parsedBytes;
  private int parsedLines;

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
  }

  /**
   * The bytes held.
   *
   * @param unparsed the buffer of bytes that were not parsed yet
   */
  public long heldBytes(ByteBuf unparsed) {
    return unparsed.capacity() + parsedBytes + (long) parsedLines * Metadata.ENTRY_BYTES;
  }
}
