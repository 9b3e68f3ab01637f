package hazelspoke.core;

import java.util.Arrays;

/**
 * Named text values that are forwarded with a request or a response, carried as headers in HTTP.
 * They keep their order, and a name may occur more than once. The front end or back end that
 * creates them omits values that apply to a single connection and rejects control characters.
 */
public final class Metadata {
  /** Empty metadata. */
  public static final Metadata NONE = new Metadata(0);

  /** The memory for one header besides its characters: four objects and two references. */
  public static final int ENTRY_BYTES = 160;

  private static final int INITIAL_CAPACITY = 12;

  private CharSequence[] pairs;
  private int length;
  private long characters;

  /** Creates empty metadata with capacity for a usual message. */
  public Metadata() {
    this(INITIAL_CAPACITY);
  }

  private Metadata(int capacity) {
    pairs = new CharSequence[2 * capacity];
  }

  /** Adds a value; only the creator may call this, and only before handing the metadata on. */
  public void add(CharSequence name, CharSequence value) {
    if (length == pairs.length) {
      pairs = Arrays.copyOf(pairs, 2 * length + 2);
    }
    pairs[length++] = name;
    pairs[length++] = value;
    characters += name.length() + value.length();
  }

  /** An estimate of the memory held, in bytes. */
  public long heldBytes() {
    return characters + (long) size() * ENTRY_BYTES;
  }

  /** The number of values. */
  public int size() {
    return length / 2;
  }

  /** The name at index {@code i}. */
  public CharSequence name(int i) {
    return pairs[2 * i];
  }

  /** The value at index {@code i}. */
  public CharSequence value(int i) {
    return pairs[2 * i + 1];
  }
}
