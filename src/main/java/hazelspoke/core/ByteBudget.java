package hazelspoke.core;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Bounds the memory that peers make this process hold, in total over all connections, and decides
 * whose bytes give way when it is short.
 *
 * <p>Beyond the pool, holders are paused. The pool can fill up with parts of many messages, none of
 * which could then be completed, so one holder at a time may continue in a reserve that fits the
 * largest buffered message. While any holder is paused, those whose peers have stopped give way,
 * and a pause that lasts too long ends with that holder giving way itself. Paused holders add what
 * they have already read; beyond the overrun allowed for that, the holder that has made no progress
 * for the longest time gives way at once. Holders of complete messages never give way. Confined to
 * one event loop.
 */
public final class ByteBudget {
  /** The most bytes beyond the pool that paused holders may have read before others give way. */
  public static final long MAX_OVERRUN_BYTES = 2L << 20;

  /** The longest time that a message waits for room, over all pauses, in milliseconds. */
  public static final double MAX_WAIT_MS = 200;

  /** The interval of the checks while any holder is paused, in milliseconds. */
  static final long CHECK_INTERVAL_MS = 10;

  /** Runs tasks on the event loop. */
  public interface Scheduler {
    /** Runs a task after a delay, once everything that peers have sent by then was read. */
    void schedule(Runnable task, long delayMs);
  }

  /** What a holder does at the request of the budget. */
  public interface Holder {
    /** Continues to read after a pause. */
    void resume();

    /** Answers its peer and releases its share before this returns. */
    void giveWay();
  }

  /** Whether there is room for the bytes that a holder has added. */
  public enum Room {
    /** The holder may read on. */
    AVAILABLE,
    /** The holder must stop reading until it is resumed or gives way. */
    AWAITED,
    /** The holder must reject its message and release its share. */
    NONE
  }

  private final long poolBytes;
  private final long overrunBytes;
  private final double stalledMs;
  private final Clock clock;
  private final Scheduler scheduler;
  private boolean checkScheduled;

  /**
   * Holders of incomplete messages that may read on, the one without progress for longest first.
   */
  private final Set<Share> growing = new LinkedHashSet<>();

  /** Paused holders, the longest paused first. */
  private final Set<Share> waiting = new LinkedHashSet<>();

  private Share reserveHolder;

  private long usedBytes;
  private long gaveWayCount;
  private long pauseCount;

  /**
   * Creates a budget.
   *
   * @param poolBytes its size without the reserve and the overrun
   * @param stalledMs the time without progress after which a holder gives way to paused ones, in
   *     milliseconds
   */
  public ByteBudget(long poolBytes, double stalledMs, Clock clock, Scheduler scheduler) {
    this(poolBytes, MAX_OVERRUN_BYTES, stalledMs, clock, scheduler);
  }

  /**
   * Creates a budget with its own limit of the bytes beyond the pool.
   *
   * @param overrunBytes the bytes beyond the pool before others give way
   */
  public ByteBudget(
      long poolBytes, long overrunBytes, double stalledMs, Clock clock, Scheduler scheduler) {
    this.poolBytes = poolBytes;
    this.overrunBytes = overrunBytes;
    this.stalledMs = stalledMs;
    this.clock = clock;
    this.scheduler = scheduler;
  }

  /** The bytes held in the pool; the bytes in the reserve are not included. */
  public long usedBytes() {
    return usedBytes;
  }

  /** The number of holders that gave way or found no room so far. */
  public long gaveWayCount() {
    return gaveWayCount;
  }

  /** The number of pauses of holders so far. */
  public long pauseCount() {
    return pauseCount;
  }

  /** Whether less than half of the pool is used. */
  public boolean hasHeadroom() {
    return usedBytes < poolBytes / 2;
  }

  /** Creates an empty share for one holder. */
  public Share share(Holder holder) {
    return new Share(holder);
  }

  private void resumeWaiting() {
    while (!waiting.isEmpty()) {
      if (usedBytes > poolBytes && reserveHolder != null) {
        return;
      }
      Share next = waiting.iterator().next();
      waiting.remove(next);
      next.waitedMs += clock.nowMs() - next.pausedAtMs;
      if (usedBytes > poolBytes) {
        enterReserve(next);
      }
      growing.add(next);
      next.holder.resume();
    }
  }

  private void scheduleCheck() {
    if (!checkScheduled) {
      checkScheduled = true;
      scheduler.schedule(this::check, CHECK_INTERVAL_MS);
    }
  }

  /** Makes room for paused holders, and ends the pauses that last too long. */
  private void check() {
    checkScheduled = false;
    double nowMs = clock.nowMs();
    while (!waiting.isEmpty()) {
      Share longestStalled = firstExcept(growing, null);
      if (longestStalled == null || nowMs - longestStalled.lastProgressMs < stalledMs) {
        break;
      }
      makeGiveWay(longestStalled);
    }
    for (Share share : List.copyOf(waiting)) {
      if (share.hasWaitedTooLong(nowMs) && waiting.contains(share)) {
        makeGiveWay(share);
      }
    }
    if (!waiting.isEmpty()) {
      scheduleCheck();
    }
  }

  private void enterReserve(Share share) {
    reserveHolder = share;
    usedBytes -= share.heldBytes;
  }

  /** Makes others give way until the overrun is within its limit; returns whether it is. */
  private boolean limitOverrun(Share requester) {
    while (usedBytes > poolBytes + overrunBytes) {
      Share victim = leastRecentlyProgressed(requester);
      if (victim == null) {
        return false;
      }
      makeGiveWay(victim);
    }
    return true;
  }

  private Share leastRecentlyProgressed(Share requester) {
    Share firstGrowing = firstExcept(growing, requester);
    Share firstWaiting = firstExcept(waiting, requester);
    if (firstGrowing == null || firstWaiting == null) {
      return firstGrowing == null ? firstWaiting : firstGrowing;
    }
    return firstGrowing.lastProgressMs <= firstWaiting.lastProgressMs ? firstGrowing : firstWaiting;
  }

  private static Share firstExcept(Set<Share> shares, Share excluded) {
    Iterator<Share> inOrder = shares.iterator();
    while (inOrder.hasNext()) {
      Share share = inOrder.next();
      if (share != excluded) {
        return share;
      }
    }
    return null;
  }

  private void makeGiveWay(Share victim) {
    gaveWayCount++;
    victim.holder.giveWay();
    // Whatever the holder did, it may not be chosen again before it adds bytes.
    growing.remove(victim);
    waiting.remove(victim);
  }

  /** The memory held for one message or connection. */
  public final class Share {
    private Holder holder;
    private long heldBytes;
    private double lastProgressMs;
    private double maxWaitMs = MAX_WAIT_MS;
    private double pausedAtMs;
    private double waitedMs;
    private boolean committed;

    private Share(Holder holder) {
      this.holder = holder;
    }

    /** Limits the sum of the pauses of one message; infinite if its owner ends them otherwise. */
    public void setMaxWait(double milliseconds) {
      maxWaitMs = milliseconds;
    }

    /** The bytes held. */
    public long heldBytes() {
      return heldBytes;
    }

    /** Adds bytes that were read; see {@link #resize}. */
    public Room add(long bytes) {
      return resize(heldBytes + bytes);
    }

    /** Reports what the holder now holds. More than before counts as progress of its peer. */
    public Room resize(long bytes) {
      long addedBytes = bytes - heldBytes;
      if (addedBytes == 0) {
        progress();
        return waiting.contains(this) ? Room.AWAITED : Room.AVAILABLE;
      }
      heldBytes = bytes;
      if (reserveHolder != this) {
        usedBytes += addedBytes;
      }
      if (bytes == 0) {
        stopHolding();
      }
      if (addedBytes < 0) {
        waiting.remove(this);
        progress();
        resumeWaiting();
        return Room.AVAILABLE;
      }
      return findRoom();
    }

    private boolean hasWaitedTooLong(double nowMs) {
      return waitedMs + nowMs - pausedAtMs >= maxWaitMs;
    }

    private Room findRoom() {
      boolean isPaused = waiting.contains(this);
      progress();
      if (reserveHolder == this || (usedBytes <= poolBytes && !isPaused)) {
        return Room.AVAILABLE;
      }
      if (reserveHolder == null && waiting.isEmpty() && !committed) {
        enterReserve(this);
        return Room.AVAILABLE;
      }
      if (!limitOverrun(this)) {
        gaveWayCount++;
        return Room.NONE;
      }
      if (!committed && waiting.add(this)) {
        growing.remove(this);
        pausedAtMs = clock.nowMs();
        pauseCount++;
        scheduleCheck();
      }
      return Room.AWAITED;
    }

    /** Reports that its peer goes on, by sending or by reading. */
    public void progress() {
      lastProgressMs = clock.nowMs();
      if (heldBytes > 0 && !committed && !waiting.contains(this)) {
        growing.remove(this);
        growing.add(this);
      }
    }

    /** Reports that the message is complete: its holder never gives way. */
    public void commit() {
      committed = true;
      growing.remove(this);
      waiting.remove(this);
    }

    /** Hands the bytes to another holder, which gives way if its peer makes no progress. */
    public void handOver(Holder next) {
      holder = next;
      committed = false;
      waiting.remove(this);
      progress();
    }

    /** Releases all bytes of this share, which can be used again. */
    public void release() {
      committed = false;
      resize(0);
      stopHolding();
    }

    private void stopHolding() {
      waitedMs = 0;
      if (reserveHolder == this) {
        reserveHolder = null;
      }
      growing.remove(this);
      waiting.remove(this);
    }
  }
}
