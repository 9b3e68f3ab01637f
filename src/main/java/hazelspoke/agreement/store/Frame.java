package hazelspoke.agreement.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes the frames of segments and snapshots:
 *
 * <pre>
 *   length of the body (4) | CRC32C of these 4 bytes and of the frame's offset (4) |
 *   CRC32C of the body (4) | body | end mark (1)
 * </pre>
 *
 * The length has a checksum of its own; otherwise a flipped bit in it could not be told from a
 * frame that is truncated by the end of the file, which is not damage. That checksum covers the
 * frame's offset in the file too, so that a frame written elsewhere is not accepted. The end mark
 * is never 0: files are not extended ahead of writing, so bytes that a power failure kept from
 * being written are either missing or read as zeros.
 */
final class Frame {
  /** The kind of a frame; stored as its ordinal. */
  enum Kind {
    /**
     * Header of a segment: its number, the number and the valid length of the previous segment, the
     * term and the vote.
     */
    SEGMENT,
    /** Term and vote. */
    VOTE,
    /** An entry. */
    ENTRY,
    /** Discards all entries from an index on. */
    CUT,
    /** A snapshot replaces all entries up to an index, even ones that were never in this log. */
    BASE,
    /** A snapshot itself. */
    SNAPSHOT
  }

  private static final int HEADER_BYTES = 12;
  private static final byte END_MARK = (byte) 0xA5;

  /** The result of reading the next frame. */
  enum ReadResult {
    /** A complete, valid frame. */
    WHOLE,
    /** The end of the file. */
    NOTHING,
    /** The beginning of a frame, or only zeros. */
    TORN,
    /** Anything else. */
    DAMAGED
  }

  private final byte[] file;
  private int offset;
  private ByteBuffer body;

  /** Reads a file from its beginning. */
  Frame(byte[] file) {
    this.file = file;
  }

  /** The offset of the next frame to read. */
  int offset() {
    return offset;
  }

  /** The body of the last frame read, positioned after its kind. */
  ByteBuffer body() {
    return body;
  }

  /** Encodes a frame that is to be written at an offset. */
  static byte[] encode(Kind kind, long offset, byte[]... parts) {
    int length = 1;
    for (byte[] part : parts) {
      length += part.length;
    }
    ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + length + 1);
    out.putInt(length).putInt(headerChecksum(length, offset)).putInt(0).put((byte) kind.ordinal());
    for (byte[] part : parts) {
      out.put(part);
    }
    out.putInt(8, checksum(out.array(), HEADER_BYTES, length));
    return out.put(END_MARK).array();
  }

  static byte[] numbers(long... numbers) {
    ByteBuffer out = ByteBuffer.allocate(Long.BYTES * numbers.length);
    for (long number : numbers) {
      out.putLong(number);
    }
    return out.array();
  }

  static byte[] text(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  static String text(ByteBuffer body) {
    return StandardCharsets.UTF_8.decode(body).toString();
  }

  static byte[] remaining(ByteBuffer body) {
    byte[] out = new byte[body.remaining()];
    body.get(out);
    return out;
  }

  /** Reads the next frame, and advances past it if it is complete. */
  ReadResult next() {
    int remaining = file.length - offset;
    if (remaining == 0) {
      return ReadResult.NOTHING;
    }
    if (remaining < HEADER_BYTES) {
      // Synced data consists of complete frames, and a flipped bit does not shorten a file.
      return ReadResult.TORN;
    }
    ByteBuffer header = ByteBuffer.wrap(file, offset, HEADER_BYTES);
    int length = header.getInt();
    if (header.getInt() != headerChecksum(length, offset)) {
      return tornIfZerosFrom(offset + HEADER_BYTES);
    }
    int bodyChecksum = header.getInt();
    if (length < 1 || length > remaining - HEADER_BYTES - 1) {
      return ReadResult.TORN;
    }
    int start = offset + HEADER_BYTES;
    if (checksum(file, start, length) != bodyChecksum) {
      return tornIfZerosFrom(start + length);
    }
    body = ByteBuffer.wrap(file, start, length).slice();
    offset = start + length + 1;
    return ReadResult.WHOLE;
  }

  /**
   * Tells a torn frame from a damaged one: a frame that was completely written has its end mark,
   * which is not 0, even if the bytes before it are damaged.
   */
  private ReadResult tornIfZerosFrom(int start) {
    for (int i = start; i < file.length; i++) {
      if (file[i] != 0) {
        return ReadResult.DAMAGED;
      }
    }
    return ReadResult.TORN;
  }

  /** The kind of the last frame read; null for one of a later version. */
  Kind kind() {
    int ordinal = body.get();
    return ordinal >= 0 && ordinal < Kind.values().length ? Kind.values()[ordinal] : null;
  }

  private static int headerChecksum(int length, long offset) {
    CRC32C crc = new CRC32C();
    crc.update(ByteBuffer.allocate(12).putInt(length).putLong(offset).flip());
    return (int) crc.getValue();
  }

  private static int checksum(byte[] bytes, int start, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, start, length);
    return (int) crc.getValue();
  }
}
