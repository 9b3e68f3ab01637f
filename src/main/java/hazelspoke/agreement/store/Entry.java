package hazelspoke.agreement.store;

import java.util.Arrays;

/**
 * One entry of the record.
 *
 * @param index from 1 on, with no gap
 * @param term in which a leader made it, 0 or more
 * @param data what it says; neither side changes the array
 */
public record Entry(long index, int term, byte[] data) {
  /** The longest that an entry may be, in bytes. */
  public static final int MAX_BYTES = 1 << 20;

  /**
   * @throws IllegalArgumentException for an index or term out of its range, or too much data
   */
  public Entry {
    if (index < 1 || term < 0 || data.length > MAX_BYTES) {
      throw new IllegalArgumentException(
          "no entry: index " + index + ", term " + term + ", " + data.length + " bytes");
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
