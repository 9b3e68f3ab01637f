package hazelspoke.agreement.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * One thing written to a segment or a snapshot:
 *
 * <pre>
 *   length of the body (4) | CRC32C of these 4 bytes and of the place (4) |
 *   CRC32C of the body (4) | body | end mark (1)
 * </pre>
 *
 * The length has a sum of its own, or a flipped bit in it would look like a frame that the file's
 * end has cut, which is no damage. The place goes into it, so that a frame that was written
 * elsewhere is not taken for one. The end mark is never 0: files are not made longer ahead of
 * writing, so what a power failure has kept from being written is cut off or reads as zeros.
 */
final class Frame {
  /** What a frame says. */
  enum Kind {
    /** Begins a segment: its number, the one before it and how much of that holds, term, vote. */
    SEGMENT,
    /** Term and vote. */
    VOTE,
    /** An entry. */
    ENTRY,
    /** All entries from an index on are void. */
    CUT,
    /** A snapshot stands for all entries up to an index, also those that were never here. */
    BASE,
    /** A snapshot itself. */
    SNAPSHOT
  }

  private static final int HEAD_BYTES = 12;
  private static final byte END = (byte) 0xA5;

  /** What is at a place of a file. */
  enum Found {
    /** A whole frame. */
    WHOLE,
    /** The end of the file. */
    NOTHING,
    /** The beginning of one, or nothing but zeros. */
    TORN,
    /** Neither. */
    DAMAGED
  }

  private final byte[] file;
  private int at;
  private ByteBuffer body;

  /** Reads a file from its beginning. */
  Frame(byte[] file) {
    this.file = file;
  }

  /** Where the next frame is looked for. */
  int at() {
    return at;
  }

  /** The body of the frame found last, behind its kind. */
  ByteBuffer body() {
    return body;
  }

  /** The bytes of one frame. */
  static byte[] of(Kind kind, long at, byte[]... parts) {
    int length = 1;
    for (byte[] part : parts) {
      length += part.length;
    }
    ByteBuffer out = ByteBuffer.allocate(HEAD_BYTES + length + 1);
    out.putInt(length).putInt(headSum(length, at)).putInt(0).put((byte) kind.ordinal());
    for (byte[] part : parts) {
      out.put(part);
    }
    out.putInt(8, sum(out.array(), HEAD_BYTES, length));
    return out.put(END).array();
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

  static byte[] rest(ByteBuffer body) {
    byte[] out = new byte[body.remaining()];
    body.get(out);
    return out;
  }

  /** Looks at the next place, and goes on behind a whole frame. */
  Found next() {
    int left = file.length - at;
    if (left == 0) {
      return Found.NOTHING;
    }
    if (left < HEAD_BYTES) {
      // What was synced is whole frames: no flipped bit leaves a file with less.
      return Found.TORN;
    }
    ByteBuffer head = ByteBuffer.wrap(file, at, HEAD_BYTES);
    int length = head.getInt();
    if (head.getInt() != headSum(length, at)) {
      return tornIfZerosFrom(at + HEAD_BYTES);
    }
    int bodySum = head.getInt();
    if (length < 1 || length > left - HEAD_BYTES - 1) {
      return Found.TORN;
    }
    int from = at + HEAD_BYTES;
    if (sum(file, from, length) != bodySum) {
      return tornIfZerosFrom(from + length);
    }
    body = ByteBuffer.wrap(file, from, length).slice();
    at = from + length + 1;
    return Found.WHOLE;
  }

  /** What was written to its end has an end mark, whatever became of the rest. */
  private Found tornIfZerosFrom(int from) {
    for (int i = from; i < file.length; i++) {
      if (file[i] != 0) {
        return Found.DAMAGED;
      }
    }
    return Found.TORN;
  }

  /** The kind of the frame found last; null for one of a later version. */
  Kind kind() {
    int ordinal = body.get();
    return ordinal >= 0 && ordinal < Kind.values().length ? Kind.values()[ordinal] : null;
  }

  private static int headSum(int length, long at) {
    CRC32C crc = new CRC32C();
    crc.update(ByteBuffer.allocate(12).putInt(length).putLong(at).flip());
    return (int) crc.getValue();
  }

  private static int sum(byte[] bytes, int from, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, from, length);
    return (int) crc.getValue();
  }
}
