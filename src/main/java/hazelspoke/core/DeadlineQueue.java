package hazelspoke.core;

import java.util.Arrays;

/**
 * A queue of pending timeouts: a binary heap whose entries know their index, so that an entry can
 * be removed as soon as it is no longer needed (J. W. J. Williams, Algorithm 232: Heapsort, 1964).
 * Insertion and removal are O(log n), and the queue keeps no reference to a removed entry. Entries
 * with the same due time are returned in insertion order. Uses neither a clock nor I/O.
 */
final class DeadlineQueue {
  /** An entry that becomes due; it can be in one queue at a time. */
  abstract static class Entry {
    private double dueMs;
    private long sequence;
    private int index = -1;

    /** Called when the entry is due, after its removal from the queue. */
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
   * The earliest due time on the gateway's clock, in milliseconds; infinite if the queue is empty.
   */
  double nextMs() {
    return size == 0 ? Double.POSITIVE_INFINITY : heap[0].dueMs;
  }

  /**
   * Inserts an entry.
   *
   * @throws IllegalStateException if the entry is already queued
   */
  void add(Entry entry, double dueMs) {
    if (entry.index >= 0) {
      throw new IllegalStateException("the entry is already queued");
    }
    if (size == heap.length) {
      heap = Arrays.copyOf(heap, 2 * size);
    }
    entry.dueMs = dueMs;
    entry.sequence = nextSequence++;
    siftUp(entry, size++);
  }

  /** Removes an entry; does nothing if it is not queued. */
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

  /** Removes and returns the first entry that is due by {@code nowMs}, or null if there is none. */
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
