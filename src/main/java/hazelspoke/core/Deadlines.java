package hazelspoke.core;

import java.util.Arrays;

/**
 * What is due when, of what is still open: a binary heap whose entries know their places, so that
 * one is taken back as soon as it is of no more use (J. W. J. Williams, Algorithm 232: Heapsort,
 * 1964). Putting in and taking back cost O(log n), and what is taken back is let go of at once.
 * Entries due at the same time come in the order in which they were put in. No clock, no I/O.
 */
final class Deadlines {
  /** Something that becomes due; it is in one of these at most. */
  abstract static class Entry {
    private double dueMs;
    private long turn;
    private int place = -1;

    /** Its time has come; it has been taken out. */
    abstract void due();

    private boolean before(Entry other) {
      return dueMs < other.dueMs || (dueMs == other.dueMs && turn < other.turn);
    }
  }

  private static final int ROOM = 64;

  private Entry[] heap = new Entry[ROOM];
  private int size;
  private long turns;

  int size() {
    return size;
  }

  /**
   * When the first becomes due, in milliseconds of the gateway's clock; infinite when none will.
   */
  double nextMs() {
    return size == 0 ? Double.POSITIVE_INFINITY : heap[0].dueMs;
  }

  /**
   * Puts one in.
   *
   * @throws IllegalStateException if it is in already
   */
  void add(Entry entry, double dueMs) {
    if (entry.place >= 0) {
      throw new IllegalStateException("this is in already");
    }
    if (size == heap.length) {
      heap = Arrays.copyOf(heap, 2 * size);
    }
    entry.dueMs = dueMs;
    entry.turn = turns++;
    rise(entry, size++);
  }

  /** Takes one back; harmless when it is not in. */
  void remove(Entry entry) {
    int at = entry.place;
    if (at < 0) {
      return;
    }
    entry.place = -1;
    Entry last = heap[--size];
    heap[size] = null;
    if (last != entry) {
      if (at > 0 && last.before(heap[(at - 1) / 2])) {
        rise(last, at);
      } else {
        sink(last, at);
      }
    }
  }

  /** Takes out the first that is due by {@code nowMs}; null when none is. */
  Entry pollDue(double nowMs) {
    if (nextMs() > nowMs) {
      return null;
    }
    Entry first = heap[0];
    remove(first);
    return first;
  }

  private void rise(Entry entry, int from) {
    int at = from;
    while (at > 0) {
      int above = (at - 1) / 2;
      if (!entry.before(heap[above])) {
        break;
      }
      put(heap[above], at);
      at = above;
    }
    put(entry, at);
  }

  private void sink(Entry entry, int from) {
    int at = from;
    while (2 * at + 1 < size) {
      int below = 2 * at + 1;
      if (below + 1 < size && heap[below + 1].before(heap[below])) {
        below++;
      }
      if (!heap[below].before(entry)) {
        break;
      }
      put(heap[below], at);
      at = below;
    }
    put(entry, at);
  }

  private void put(Entry entry, int at) {
    heap[at] = entry;
    entry.place = at;
  }
}
