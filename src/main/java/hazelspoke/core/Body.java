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

  private static final int INITIAL_CHUNK_BYTES = 512;
  private static final int CHUNK_BYTES = 65_536;

  private final List<byte[]> fullChunks = new ArrayList<>();
  private byte[] lastChunk = new byte[0];
  private int lastChunkLength;
  private BodyStream remainder;
  private long totalLength;

  /**
   * From now on what is held is the beginning only.
   *
   * @param whole the length of all of it in bytes, or {@link #UNKNOWN_LENGTH}
   */
  public void setRemainder(BodyStream stream, long bodyLength) {
    remainder = stream;
    totalLength = bodyLength;
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
    fullChunks.clear();
    lastChunk = new byte[0];
    lastChunkLength = 0;
  }

  /** Nobody wants it: the rest, if there is one, need not come. */
  public void abandon() {
    if (remainder != null) {
      remainder.abandon();
    }
  }

  /** What is held, in bytes. */
  public long bufferedLength() {
    return (long) fullChunks.size() * CHUNK_BYTES + lastChunkLength;
  }

  public void append(ByteBuf bytes) {
    while (bytes.isReadable()) {
      if (lastChunkLength == CHUNK_BYTES) {
        fullChunks.add(lastChunk);
        lastChunk = new byte[0];
        lastChunkLength = 0;
      }
      int newLength = Math.min(CHUNK_BYTES, lastChunkLength + bytes.readableBytes());
      if (newLength > lastChunk.length) {
        int size = Math.max(newLength, Math.max(INITIAL_CHUNK_BYTES, 2 * lastChunk.length));
        lastChunk = Arrays.copyOf(lastChunk, Math.min(CHUNK_BYTES, size));
      }
      bytes.readBytes(lastChunk, lastChunkLength, newLength - lastChunkLength);
      lastChunkLength = newLength;
    }
  }

  /** A short body as text. */
  public String text() {
    return new String(lastChunk, 0, lastChunkLength, StandardCharsets.UTF_8);
  }

  /** Writes all of it there. */
  public void copyTo(ByteBuf to) {
    fullChunks.forEach(to::writeBytes);
    to.writeBytes(lastChunk, 0, lastChunkLength);
  }

  /** At most {@code most} bytes from {@code offset} on, not copied. */
  public ByteBuf slice(long offset, int maxBytes) {
    int chunk = (int) (offset / CHUNK_BYTES);
    int from = (int) (offset % CHUNK_BYTES);
    byte[] bytes = chunk < fullChunks.size() ? fullChunks.get(chunk) : lastChunk;
    int end = chunk < fullChunks.size() ? CHUNK_BYTES : lastChunkLength;
    return Unpooled.wrappedBuffer(bytes, from, Math.min(maxBytes, end - from));
  }
}
