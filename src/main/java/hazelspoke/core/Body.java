package hazelspoke.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The bytes of a body, copied out of the read buffers, because small slices would each retain an
 * entire read buffer. Of a large body only the beginning is buffered; the remainder comes through a
 * {@link BodyStream}.
 */
public final class Body {
  /** A response of up to this size is buffered until it is complete. */
  public static final int MAX_BUFFERED_RESPONSE_BYTES = 65_536;

  /**
   * A request of up to this size is buffered until it is complete while the budget allows it: a
   * complete request can be retried, and does not count as in flight at a host before the host can
   * execute it.
   */
  public static final int MAX_BUFFERED_REQUEST_BYTES = 262_144;

  /**
   * When the budget is short, requests above this size are forwarded while they are being received.
   */
  public static final int STREAMING_THRESHOLD_BYTES = 65_536;

  /** The largest body that the protocol allows, in either direction. */
  public static final int MAX_BYTES = 32 << 20;

  /** The length of a body whose sender has not declared it. */
  public static final long UNKNOWN_LENGTH = -1;

  private static final int INITIAL_CHUNK_BYTES = 512;
  private static final int CHUNK_BYTES = 65_536;

  private final List<byte[]> fullChunks = new ArrayList<>();
  private byte[] lastChunk = new byte[0];
  private int lastChunkLength;
  private BodyStream remainder;
  private long totalLength;

  /**
   * Declares the buffered bytes to be only the beginning of the body.
   *
   * @param stream the source of the remaining bytes
   * @param bodyLength the total length of the body in bytes, or {@link #UNKNOWN_LENGTH}
   */
  public void setRemainder(BodyStream stream, long bodyLength) {
    remainder = stream;
    totalLength = bodyLength;
  }

  /** The bytes that follow the buffered ones, or null if the buffered ones are complete. */
  public BodyStream remainder() {
    return remainder;
  }

  /** The total length in bytes, or {@link #UNKNOWN_LENGTH}. */
  public long totalLength() {
    return remainder == null ? bufferedLength() : totalLength;
  }

  /**
   * Whether the complete body can be written again: all of it is buffered, or the remainder has not
   * been attached to a sink.
   */
  public boolean isRepeatable() {
    return remainder == null || !remainder.isAttached();
  }

  /** Releases the buffered bytes after they were written for the last time. */
  public void releaseBuffered() {
    fullChunks.clear();
    lastChunk = new byte[0];
    lastChunkLength = 0;
  }

  /** Discards the remainder, if there is one. */
  public void abandon() {
    if (remainder != null) {
      remainder.abandon();
    }
  }

  /** The number of buffered bytes. */
  public long bufferedLength() {
    return (long) fullChunks.size() * CHUNK_BYTES + lastChunkLength;
  }

  /** The memory held by the buffered bytes, which grows in steps. */
  public long heldBytes() {
    return (long) fullChunks.size() * CHUNK_BYTES + lastChunk.length;
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

  /** Writes all buffered bytes to a buffer. */
  public void copyTo(ByteBuf to) {
    fullChunks.forEach(to::writeBytes);
    to.writeBytes(lastChunk, 0, lastChunkLength);
  }

  /** At most {@code maxBytes} buffered bytes starting at {@code offset}, without copying. */
  public ByteBuf slice(long offset, int maxBytes) {
    int chunk = (int) (offset / CHUNK_BYTES);
    int from = (int) (offset % CHUNK_BYTES);
    byte[] bytes = chunk < fullChunks.size() ? fullChunks.get(chunk) : lastChunk;
    int end = chunk < fullChunks.size() ? CHUNK_BYTES : lastChunkLength;
    return Unpooled.wrappedBuffer(bytes, from, Math.min(maxBytes, end - from));
  }
}
