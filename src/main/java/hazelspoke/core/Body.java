package hazelspoke.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The bytes of a body, copied out of the read buffers: pieces of a few bytes would otherwise each
 * keep a whole one.
 */
public final class Body {
  /** The protocol allows no more, in either direction. */
  public static final int MOST_BYTES = 65_536;

  private static final int FIRST_BYTES = 512;
  private static final int CHUNK_BYTES = 65_536;

  private final List<byte[]> full = new ArrayList<>();
  private byte[] last = new byte[0];
  private int lastLength;

  public long length() {
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
