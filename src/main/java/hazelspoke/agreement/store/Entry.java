package hazelspoke.agreement.store;

import java.util.Arrays;

/**
 * One entry of the log.
 *
 * @param index starts at 1, without gaps
 * @param term the term of the leader that created it, at least 0
 * @param data the encoded operation; not copied, so nobody may modify the array
 */
public record Entry(long index, int term, byte[] data) {
  /** The maximum size of an entry's data, in bytes. */
  public static final int MAX_BYTES = 1 << 20;

  /**
   * @throws IllegalArgumentException if the index, the term or the size is out of range
   */
  public Entry {
    if (index < 1 || term < 0 || data.length > MAX_BYTES) {
      throw new IllegalArgumentException(
          "invalid entry: index " + index + ", term " + term + ", " + data.length + " bytes");
    }
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Entry e
        && index == e.index
        && term == e.term
        && Arrays.equals(data, e.data);
  }

  @Override
  public int hashCode() {
    return Long.hashCode(index) * 31 + Arrays.hashCode(data);
  }

  @Override
  public String toString() {
    return index + "@" + term + "(" + data.length + " bytes)";
  }
}
