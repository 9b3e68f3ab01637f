package hazelspoke.node;

import hazelspoke.core.ByteBudget;

/**
 * How much of the memory of this process its peers may fill. There are two pools of this size, for
 * what clients and what hosts send; the remainder of the heap is for connections, the lists of
 * hosts, and what is not collected yet.
 *
 * @param poolBytes the size of one pool
 * @param overrunBytes what may be read beyond a pool before others give way
 */
record MemoryPlan(long poolBytes, long overrunBytes) {
  private static final long MAX_POOL_BYTES = 6L << 20;

  /** Enough for a few of the largest messages that are buffered. */
  private static final long MIN_POOL_BYTES = 1L << 20;

  private static final int HEAP_PARTS = 10;

  /** Most of the process is the JVM and its heap. */
  private static final int PROCESS_PARTS = 32;

  private static final int OVERRUN_PARTS = 3;
  private static final long BYTES_PER_MB = 1_000_000;

  /**
   * Plans for a process.
   *
   * @param maxHeapBytes the limit of the heap
   * @param memoryMb the limit of the process, in megabytes; 0 if it is not told
   */
  static MemoryPlan of(long maxHeapBytes, int memoryMb) {
    long byHeap = maxHeapBytes / HEAP_PARTS;
    long byProcess = memoryMb > 0 ? memoryMb * BYTES_PER_MB / PROCESS_PARTS : Long.MAX_VALUE;
    long pool = Math.max(MIN_POOL_BYTES, Math.min(MAX_POOL_BYTES, Math.min(byHeap, byProcess)));
    return new MemoryPlan(pool, Math.min(ByteBudget.MAX_OVERRUN_BYTES, pool / OVERRUN_PARTS));
  }
}
