package hazelspoke.core;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A bound on bytes that many hold at once, kept by pausing those who read them. What is general
 * fills up with parts of many bodies, none of which could then be finished; so one holder at a time
 * may go on into a reserve that fits the largest body. It gets done, frees what it holds, and the
 * next one in line takes its place: no deadlock, and never more than both together.
 */
public final class ByteBudget {
  private final long poolBytes;
  private final Deque<Share> pausedShares = new ArrayDeque<>();
  private long usedBytes;
  private Share reserveHolder;

  public ByteBudget(long poolBytes) {
    this.poolBytes = poolBytes;
  }

  /** What all hold now, in bytes; what is in the reserve comes on top. */
  public long usedBytes() {
    return usedBytes;
  }

  /** Whether less than half of it is used. */
  public boolean hasHeadroom() {
    return usedBytes < poolBytes / 2;
  }

  /** A holder's part; {@code mayGoOn} is run when it was paused and there is room again. */
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

  /** What one body or answer holds. */
  public final class Share {
    private final Runnable resume;
    private long heldBytes;
    private boolean paused;

    private Share(Runnable resume) {
      this.resume = resume;
    }

    /** Counts bytes that have come; false asks the holder to read no more until it is told. */
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

    /** Gives back all that is held. */
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
