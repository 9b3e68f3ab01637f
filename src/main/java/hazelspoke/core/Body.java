package hazelspoke.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The bytes of a body, copied out of the read buffers: pieces of a few bytes would otherwise each
 * keep a whole one. Of a large body only the beginning is held; the rest comes through an {@link
 * BodyStream}.
 */
public final class Body {
  /** An answer of up to so many bytes is held until it is whole. */
  public static final int MAX_BUFFERED_RESPONSE_BYTES = 65_536;

  /**
   * And a request of up to so many while there is room: it can be tried again, and counts at no
   * host before it can run there.
   */
  public static final int MAX_BUFFERED_REQUEST_BYTES = 262_144;

  /** With little room left a request of more than this is passed on as it comes. */
  public static final int STREAMING_THRESHOLD_BYTES = 65_536;

  /** The protocol allows no more, in either direction. */
  public static final int MAX_BYTES = 32 << 20;

  /** The length of a body whose sender has not told it. */
  public static final long UNKNOWN_LENGTH = -1;

  private static final int FIRST_BYTES = 512;
  private static final int CHUNK_BYTES = 65_536;

  private final List<byte[]> full = new ArrayList<>();
  private byte[] last = new byte[0];
  private int lastLength;
  private BodyStream remainder;
  private long totalLength;

  /**
   * From now on what is held is the beginning only.
   *
   * @param whole the length of all of it in bytes, or {@link #UNKNOWN_LENGTH}
   */
  public void setRemainder(BodyStream more, long whole) {
    remainder = more;
    totalLength = whole;
  }

  /** What comes behind what is held; null when that is all. */
  public BodyStream remainder() {
    return remainder;
  }

  /** The length of all of it in bytes, or {@link #UNKNOWN_LENGTH}. */
  public long totalLength() {
    return remainder == null ? bufferedLength() : totalLength;
  }

  /** Whether all of it can be written once more: it is held, or no rest has gone anywhere yet. */
  public boolean isRepeatable() {
    return remainder == null || !remainder.isAttached();
  }

  /** What is held has been written, and will not be again. */
  public void releaseBuffered() {
    full.clear();
    last = new byte[0];
    lastLength = 0;
  }

  /** Nobody wants it: the rest, if there is one, need not come. */
  public void abandon() {
    if (remainder != null) {
      remainder.abandon();
    }
  }

  /** What is held, in bytes. */
  public long bufferedLength() {
    return (long) full.size() * CHUNK_BYTES + lastLength;
  }

  public void append(ByteBuf bytes) {
    while (bytes.isReadable()) {
      if (lastLength == CHUNK_BYTES) {
        full.add(last);
        last = new byte[0];
        lastLength = 0;
      }
      int wanted = Math.min(CHUNK_BYTES, lastLength + bytes.readableBytes());
      if (wanted > last.length) {
        int size = Math.max(wanted, Math.max(FIRST_BYTES, 2 * last.length));
        last = Arrays.copyOf(last, Math.min(CHUNK_BYTES, size));
      }
      bytes.readBytes(last, lastLength, wanted - lastLength);
      lastLength = wanted;
    }
  }

  /** A short body as text. */
  public String text() {
    return new String(last, 0, lastLength, StandardCharsets.UTF_8);
  }

  /** Writes all of it there. */
  public void copyTo(ByteBuf to) {
    full.forEach(to::writeBytes);
    to.writeBytes(last, 0, lastLength);
  }

  /** At most {@code most} bytes from {@code offset} on, not copied. */
  public ByteBuf slice(long offset, int most) {
    int chunk = (int) (offset / CHUNK_BYTES);
    int from = (int) (offset % CHUNK_BYTES);
    byte[] bytes = chunk < full.size() ? full.get(chunk) : last;
    int end = chunk < full.size() ? CHUNK_BYTES : lastLength;
    return Unpooled.wrappedBuffer(bytes, from, Math.min(most, end - from));
  }
}
