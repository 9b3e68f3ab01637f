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
  private final long generalBytes;
  private final Deque<Share> waiting = new ArrayDeque<>();
  private long usedBytes;
  private Share inReserve;

  public ByteBudget(long generalBytes) {
    this.generalBytes = generalBytes;
  }

  /** What all hold now, in bytes; what is in the reserve comes on top. */
  public long usedBytes() {
    return usedBytes;
  }

  /** Whether less than half of it is used. */
  public boolean hasHeadroom() {
    return usedBytes < generalBytes / 2;
  }

  /** A holder's part; {@code mayGoOn} is run when it was paused and there is room again. */
  public Share share(Runnable mayGoOn) {
    return new Share(mayGoOn);
  }

  private void wakeWaiting() {
    while (!waiting.isEmpty()) {
      if (usedBytes > generalBytes && inReserve != null) {
        return;
      }
      Share next = waiting.poll();
      if (usedBytes > generalBytes) {
        enterReserve(next);
      }
      next.paused = false;
      next.mayGoOn.run();
    }
  }

  private void enterReserve(Share share) {
    inReserve = share;
    usedBytes -= share.heldBytes;
  }

  /** What one body or answer holds. */
  public final class Share {
    private final Runnable mayGoOn;
    private long heldBytes;
    private boolean paused;

    private Share(Runnable mayGoOn) {
      this.mayGoOn = mayGoOn;
    }

    /** Counts bytes that have come; false asks the holder to read no more until it is told. */
    public boolean add(long bytes) {
      heldBytes += bytes;
      if (inReserve == this) {
        return true;
      }
      usedBytes += bytes;
      if (usedBytes <= generalBytes && !paused) {
        return true;
      }
      if (inReserve == null && waiting.isEmpty()) {
        enterReserve(this);
        return true;
      }
      if (!paused) {
        paused = true;
        waiting.add(this);
      }
      return false;
    }

    /** Gives back all that is held. */
    public void release() {
      if (inReserve == this) {
        inReserve = null;
      } else {
        usedBytes -= heldBytes;
      }
      heldBytes = 0;
      if (paused) {
        paused = false;
        waiting.remove(this);
      }
      wakeWaiting();
    }
  }
}
