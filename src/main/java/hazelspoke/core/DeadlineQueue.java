package hazelspoke.core;

import java.util.Arrays;

/**
 * What is due when, of what is still open: a binary heap whose entries know their places, so that
 * one is taken back as soon as it is of no more use (J. W. J. Williams, Algorithm 232: Heapsort,
 * 1964). Putting in and taking back cost O(log n), and what is taken back is let go of at once.
 * Entries due at the same time come in the order in which they were put in. No clock, no I/O.
 */
final class DeadlineQueue {
  /** Something that becomes due; it is in one of these at most. */
  abstract static class Entry {
    private double dueMs;
    private long sequence;
    private int index = -1;

    /** Its time has come; it has been taken out. */
    abstract void onDue();

    private boolean isBefore(Entry other) {
      return dueMs < other.dueMs || (dueMs == other.dueMs && sequence < other.sequence);
    }
  }

  private static final int INITIAL_CAPACITY = 64;

  private Entry[] heap = new Entry[INITIAL_CAPACITY];
  private int size;
  private long nextSequence;

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
    if (entry.index >= 0) {
      throw new IllegalStateException("this is in already");
    }
    if (size == heap.length) {
      heap = Arrays.copyOf(heap, 2 * size);
    }
    entry.dueMs = dueMs;
    entry.sequence = nextSequence++;
    siftUp(entry, size++);
  }

  /** Takes one back; harmless when it is not in. */
  void remove(Entry entry) {
    int index = entry.index;
    if (index < 0) {
      return;
    }
    entry.index = -1;
    Entry last = heap[--size];
    heap[size] = null;
    if (last != entry) {
      if (index > 0 && last.isBefore(heap[(index - 1) / 2])) {
        siftUp(last, index);
      } else {
        siftDown(last, index);
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

  private void siftUp(Entry entry, int from) {
    int index = from;
    while (index > 0) {
      int parent = (index - 1) / 2;
      if (!entry.isBefore(heap[parent])) {
        break;
      }
      setAt(heap[parent], index);
      index = parent;
    }
    setAt(entry, index);
  }

  private void siftDown(Entry entry, int from) {
    int index = from;
    while (2 * index + 1 < size) {
      int child = 2 * index + 1;
      if (child + 1 < size && heap[child + 1].isBefore(heap[child])) {
        child++;
      }
      if (!heap[child].isBefore(entry)) {
        break;
      }
      setAt(heap[child], index);
      index = child;
    }
    setAt(entry, index);
  }

  private void setAt(Entry entry, int index) {
    heap[index] = entry;
    entry.index = index;
  }
}
