package hazelspoke.agreement.store;

import java.util.Arrays;

/**
 * All that the entries up to one have come to.
 *
 * @param index of the last of these entries; 0 for none
 * @param term of that entry
 * @param data what they have come to; neither side changes the array
 */
public record Snapshot(long index, int term, byte[] data) {
  /** The longest that one may be, in bytes. */
  public static final int MAX_BYTES = 32 << 20;

  /** Nothing has happened yet. */
  public static final Snapshot NONE = new Snapshot(0, 0, new byte[0]);

  /**
   * @throws IllegalArgumentException for an index or term below 0, or too much data
   */
  public Snapshot {
    if (index < 0 || term < 0 || data.length > MAX_BYTES) {
      throw new IllegalArgumentException("no snapshot: index " + index + ", term " + term);
    }
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Snapshot s
        && index == s.index
        && term == s.term
        && Arrays.equals(data, s.data);
  }

  @Override
  public int hashCode() {
    return Long.hashCode(index) * 31 + Arrays.hashCode(data);
  }

  @Override
  public String toString() {
    return "up to " + index + "@" + term + "(" + data.length + " bytes)";
  }
}
