package hazelspoke.core;

/**
 * Records for one connection who is waited for, and since when. Whatever limits a stall or a
 * deadline by the time of one party asks this, so that a pause of one is not attributed to another.
 * Confined to the event loop.
 */
public final class WaitTracker {
  private final Clock clock;
  private final String peer;
  private final String otherSide;
  private final double[] totalMs = new double[Awaited.values().length];
  private Awaited awaited;
  private double sinceMs;

  /**
   * Creates a tracker for a connection that waits for its peer to send.
   *
   * @param peer what to call the peer in the log
   * @param otherSide what to call the peer of the connection at the other end of a request
   */
  public WaitTracker(Clock clock, String peer, String otherSide) {
    this.clock = clock;
    this.peer = peer;
    this.otherSide = otherSide;
    awaited = Awaited.PEER_TO_SEND;
    sinceMs = clock.nowMs();
  }

  /** Reports who is waited for from now on; no effect if it is the same party as before. */
  public void setAwaited(Awaited next) {
    if (next != awaited) {
      restart();
      awaited = next;
    }
  }

  /** Reports that this party has acted, if it is the one that is waited for. */
  public void progress(Awaited party) {
    if (party == awaited) {
      restart();
    }
  }

  private void restart() {
    double nowMs = clock.nowMs();
    totalMs[awaited.ordinal()] += nowMs - sinceMs;
    sinceMs = nowMs;
  }

  /** Who is waited for. */
  public Awaited awaited() {
    return awaited;
  }

  /** How long this party has been waited for without progress, in milliseconds; 0 for others. */
  public double waitedMs(Awaited party) {
    return party == awaited ? clock.nowMs() - sinceMs : 0;
  }

  /** The total time for which this party has been waited for, in milliseconds. */
  public double totalMs(Awaited party) {
    return totalMs[party.ordinal()] + waitedMs(party);
  }

  /** Describes the state, for the log. */
  public String describe() {
    String party =
        switch (awaited) {
          case PEER_TO_SEND -> peer + " to send";
          case PEER_TO_READ -> peer + " to read";
          case OTHER_SIDE -> otherSide;
          case ROOM -> "room";
        };
    return "waiting for " + party + " for " + Math.round(waitedMs(awaited)) + " ms";
  }
}
