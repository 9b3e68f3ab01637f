package hazelspoke.core;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The client-assigned ids that no other request may have: those of open requests, and for a while
 * those of ended requests that may have run and must not run twice.
 *
 * <p>A hash table of fixed size in a buffer of off-heap memory. The buffer may be a file that
 * several processes have mapped, as during an upgrade. An entry is one 64-bit word that is only
 * replaced as a whole, so that no process ever waits for another one, and none has to clean up
 * behind one that was killed: an open request holds its id by a lease, which its process renews and
 * which otherwise expires. Within a process, to be used by one thread.
 *
 * <p>Two ids are taken for the same if {@link #FINGERPRINT_BITS} bits of their hashes and their
 * buckets are equal: one request in 10<sup>11</sup> or fewer is rejected for that reason.
 */
public final class RequestIds {
  /** How long the id of an ended request is retained that may have run. */
  static final long RETENTION_MS = 10_000;

  /**
   * How long the id of an open request is held without a renewal: longer than the retention, so
   * that open requests are the last whose entries expire.
   */
  static final long LEASE_MS = 30_000;

  /** How often the leases of open requests are to be renewed. */
  static final long RENEWAL_INTERVAL_MS = 5_000;

  private static final int BUCKETS = 4_096;
  private static final int BUCKET_ENTRIES = 8;
  private static final int BUCKET_BYTES = BUCKET_ENTRIES * Long.BYTES;

  /**
   * The places that an entry may have: those of one bucket, and of a second one once it is full.
   */
  private static final int PLACES = 2 * BUCKET_ENTRIES;

  /** The most ids that the table has room for. */
  static final int MAX_IDS = BUCKETS * BUCKET_ENTRIES;

  /** The size of the buffer, in bytes. */
  public static final int BUFFER_BYTES = MAX_IDS * Long.BYTES;

  /** The unit of times of expiry. */
  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(16);

  /**
   * The bits of a time of expiry, in ticks. They repeat every 4.6 hours; an entry that is that old
   * is valid again for the length of a lease.
   */
  private static final int TICK_BITS = 20;

  private static final int TICK_MASK = (1 << TICK_BITS) - 1;
  private static final int FINGERPRINT_BITS = Long.SIZE - TICK_BITS;
  private static final long FINGERPRINT_MASK = (1L << FINGERPRINT_BITS) - 1;

  private static final int RETENTION_TICKS = ticks(RETENTION_MS);
  private static final int LEASE_TICKS = ticks(LEASE_MS);

  /** The bits of a hash that tell the buckets: most of them are not in the fingerprint. */
  private static final int FIRST_BUCKET_SHIFT = FINGERPRINT_BITS;

  private static final int SECOND_BUCKET_SHIFT = FINGERPRINT_BITS + 8;

  private static final long EMPTY = 0;
  private static final int NOT_FOUND = -1;

  /** The parameters of the 64-bit FNV-1a hash. */
  private static final long HASH_BASIS = 0xcbf29ce484222325L;

  private static final long HASH_PRIME = 0x100000001b3L;

  /** The factors of the final mix of MurmurHash3, which spreads differences over all bits. */
  private static final long MIX_FACTOR_1 = 0xff51afd7ed558ccdL;

  private static final long MIX_FACTOR_2 = 0xc4ceb9fe1a85ec53L;
  private static final int MIX_SHIFT = 33;

  private static final VarHandle WORDS =
      MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

  private final ByteBuffer buffer;
  private final boolean isShared;
  private final LongSupplier nanoTime;

  private RequestIds(ByteBuffer buffer, boolean isShared, LongSupplier nanoTime) {
    this.buffer = buffer;
    this.isShared = isShared;
    this.nanoTime = nanoTime;
  }

  /**
   * Creates a view of the ids in a buffer that other processes may use at the same time.
   *
   * @param buffer a direct buffer of {@link #BUFFER_BYTES} bytes, zero if it is new
   * @param nanoTime the monotonic time in nanoseconds, the same for all processes that share the
   *     buffer; {@link System#nanoTime} is, on Linux
   */
  public static RequestIds shared(ByteBuffer buffer, LongSupplier nanoTime) {
    return new RequestIds(buffer, true, nanoTime);
  }

  /** Creates a table for this process alone. */
  public static RequestIds ofOneProcess(LongSupplier nanoTime) {
    return new RequestIds(ByteBuffer.allocateDirect(BUFFER_BYTES), false, nanoTime);
  }

  /** Whether an open request, or a recent one that may have run, has this id. */
  boolean contains(String id) {
    return find(hash(id), currentTick()) != NOT_FOUND;
  }

  /**
   * Claims an id for a request that is open from now on, until it is released or retained.
   *
   * @return false if the id is taken, or if there is no room for another open request. If two
   *     processes claim an id in the same instant, none of them may get it
   */
  boolean claim(String id) {
    long hash = hash(id);
    while (true) {
      int now = currentTick();
      int offset = NOT_FOUND;
      long replaced = EMPTY;
      int ticksLeft = Integer.MAX_VALUE;
      for (int i = 0; i < PLACES; i++) {
        long word = word(place(hash, i));
        if (isValidFor(word, hash, now)) {
          return false;
        }
        if (ticksLeft(word, now) < ticksLeft) {
          offset = place(hash, i);
          replaced = word;
          ticksLeft = ticksLeft(word, now);
        }
      }
      if (ticksLeft > RETENTION_TICKS) {
        return false;
      }
      long claimed = word(hash, now + LEASE_TICKS);
      if (replace(offset, replaced, claimed)) {
        return !isShared || keepUnlessClaimedTwice(hash, now, offset, claimed);
      }
      // Another process has changed the entry since it was read.
    }
  }

  /** Gives a claim up if another process has made it too, at another place. */
  private boolean keepUnlessClaimedTwice(long hash, int now, int offset, long claimed) {
    for (int i = 0; i < PLACES; i++) {
      int other = place(hash, i);
      if (other != offset && isValidFor(word(other), hash, now)) {
        replace(offset, claimed, EMPTY);
        return false;
      }
    }
    return true;
  }

  /** Renews the lease on a claimed id. */
  void renew(String id) {
    replaceClaimed(id, LEASE_TICKS);
  }

  /** Retains a claimed id, as its request has ended and may have run. */
  void retain(String id) {
    replaceClaimed(id, RETENTION_TICKS);
  }

  /** Releases a claimed id, which may be used again at once. */
  void release(String id) {
    replaceClaimed(id, 0);
  }

  private void replaceClaimed(String id, int ticks) {
    long hash = hash(id);
    int now = currentTick();
    int offset = find(hash, now);
    if (offset != NOT_FOUND) {
      // Only the process that has claimed an id changes its entry.
      replace(offset, word(offset), ticks == 0 ? EMPTY : word(hash, now + ticks));
    }
  }

  /** The number of ids that are taken; used by tests. */
  int size() {
    int now = currentTick();
    int count = 0;
    for (int offset = 0; offset < BUFFER_BYTES; offset += Long.BYTES) {
      count += ticksLeft(word(offset), now) > 0 ? 1 : 0;
    }
    return count;
  }

  /** Returns the offset of the valid entry of an id, or {@link #NOT_FOUND}. */
  private int find(long hash, int now) {
    for (int i = 0; i < PLACES; i++) {
      int offset = place(hash, i);
      if (isValidFor(word(offset), hash, now)) {
        return offset;
      }
    }
    return NOT_FOUND;
  }

  private long word(int offset) {
    return (long) WORDS.getVolatile(buffer, offset);
  }

  private boolean replace(int offset, long expected, long word) {
    return WORDS.compareAndSet(buffer, offset, expected, word);
  }

  private static long word(long hash, int expiryTick) {
    return (hash & FINGERPRINT_MASK) << TICK_BITS | expiryTick & TICK_MASK;
  }

  private static boolean isValidFor(long word, long hash, int now) {
    boolean sameFingerprint = word >>> TICK_BITS == (hash & FINGERPRINT_MASK);
    return sameFingerprint && ticksLeft(word, now) > 0;
  }

  /** The ticks until an entry expires; 0 if it is empty or has expired. */
  private static int ticksLeft(long word, int now) {
    int left = (int) word - now & TICK_MASK;
    return word == EMPTY || left > LEASE_TICKS ? 0 : left;
  }

  private int currentTick() {
    return (int) (nanoTime.getAsLong() / TICK_NANOS & TICK_MASK);
  }

  private static int ticks(long milliseconds) {
    return (int) (TimeUnit.MILLISECONDS.toNanos(milliseconds) / TICK_NANOS);
  }

  /**
   * Returns the offset of one of the places of an id: those of its first, then its second bucket.
   */
  private static int place(long hash, int index) {
    long bucket = hash >>> (index < BUCKET_ENTRIES ? FIRST_BUCKET_SHIFT : SECOND_BUCKET_SHIFT);
    return (int) (bucket & BUCKETS - 1) * BUCKET_BYTES + index % BUCKET_ENTRIES * Long.BYTES;
  }

  private static long hash(String id) {
    long hash = HASH_BASIS;
    for (int i = 0; i < id.length(); i++) {
      hash = (hash ^ id.charAt(i)) * HASH_PRIME;
    }
    hash = (hash ^ hash >>> MIX_SHIFT) * MIX_FACTOR_1;
    hash = (hash ^ hash >>> MIX_SHIFT) * MIX_FACTOR_2;
    return hash ^ hash >>> MIX_SHIFT;
  }
}
