package hazelspoke.core;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds the bytes buffered by many holders at once by pausing their readers. The common pool can
 * fill up with parts of many bodies, none of which could then be completed. One holder at a time
 * may therefore continue in a reserve that fits the largest body. It completes, releases its bytes,
 * and the next paused holder takes over the reserve. This prevents deadlock and bounds the total by
 * the pool plus the reserve.
 */
public final class ByteBudget {
  private final long poolBytes;
  private final Deque<Share> pausedShares = new ArrayDeque<>();
  private long usedBytes;
  private Share reserveHolder;

  public ByteBudget(long poolBytes) {
    this.poolBytes = poolBytes;
  }

  /** The bytes held in the pool; the bytes in the reserve are not included. */
  public long usedBytes() {
    return usedBytes;
  }

  /** Whether less than half of the pool is used. */
  public boolean hasHeadroom() {
    return usedBytes < poolBytes / 2;
  }

  /**
   * Creates a share for one holder; {@code resume} is called after a pause as soon as bytes are
   * available again.
   */
  public Share share(Runnable resume) {
    return new Share(resume);
  }

  private void resumePaused() {
    while (!pausedShares.isEmpty()) {
      if (usedBytes > poolBytes && reserveHolder != null) {
        return;
      }
      Share next = pausedShares.poll();
      if (usedBytes > poolBytes) {
        enterReserve(next);
      }
      next.paused = false;
      next.resume.run();
    }
  }

  private void enterReserve(Share share) {
    reserveHolder = share;
    usedBytes -= share.heldBytes;
  }

  /** The bytes held for one body or answer. */
  public final class Share {
    private final Runnable resume;
    private long heldBytes;
    private boolean paused;

    private Share(Runnable resume) {
      this.resume = resume;
    }

    /**
     * Adds bytes that were read. Returns false if the holder has to stop reading until it is
     * resumed.
     */
    public boolean add(long bytes) {
      heldBytes += bytes;
      if (reserveHolder == this) {
        return true;
      }
      usedBytes += bytes;
      if (usedBytes <= poolBytes && !paused) {
        return true;
      }
      if (reserveHolder == null && pausedShares.isEmpty()) {
        enterReserve(this);
        return true;
      }
      if (!paused) {
        paused = true;
        pausedShares.add(this);
      }
      return false;
    }

    /** Releases all bytes of this share. */
    public void release() {
      if (reserveHolder == this) {
        reserveHolder = null;
      } else {
        usedBytes -= heldBytes;
      }
      heldBytes = 0;
      if (paused) {
        paused = false;
        pausedShares.remove(this);
      }
      resumePaused();
    }
  }
}
