package hazelspoke.agreement.store;

import java.util.Arrays;

/**
 * The state after all entries up to an index.
 *
 * @param index the index of the last entry that is included; 0 for none
 * @param term the term of that entry
 * @param data the encoded state; not copied, so nobody may modify the array
 */
public record Snapshot(long index, int term, byte[] data) {
  /** The maximum size of a snapshot's data, in bytes. */
  public static final int MAX_BYTES = 32 << 20;

  /** The state before the first entry. */
  public static final Snapshot NONE = new Snapshot(0, 0, new byte[0]);

  /**
   * @throws IllegalArgumentException if the index, the term or the size is out of range
   */
  public Snapshot {
    if (index < 0 || term < 0 || data.length > MAX_BYTES) {
      throw new IllegalArgumentException("invalid snapshot: index " + index + ", term " + term);
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
