package hazelspoke.core;

import java.util.Arrays;

/**
 * The named texts that come with a request or an answer and go on to its other end: what HTTP
 * carries as headers. In their order, and a name may occur more than once. A front or a back that
 * makes them leaves out what speaks of one connection only, and lets no control characters in.
 */
public final class Metadata {
  /** None at all. */
  public static final Metadata NONE = new Metadata(0);

  private static final int INITIAL_CAPACITY = 12;

  private CharSequence[] pairs;
  private int length;

  /** Empty, with room for what messages usually carry. */
  public Metadata() {
    this(INITIAL_CAPACITY);
  }

  private Metadata(int capacity) {
    pairs = new CharSequence[2 * capacity];
  }

  /** Adds one; only who makes it may, and not once it has been handed on. */
  public void add(CharSequence name, CharSequence value) {
    if (length == pairs.length) {
      pairs = Arrays.copyOf(pairs, 2 * length + 2);
    }
    pairs[length++] = name;
    pairs[length++] = value;
  }

  /** How many there are. */
  public int size() {
    return length / 2;
  }

  /** The name of the {@code i}th. */
  public CharSequence name(int i) {
    return pairs[2 * i];
  }

  /** The value of the {@code i}th. */
  public CharSequence value(int i) {
    return pairs[2 * i + 1];
  }
}
