package hazelspoke.emulator.model;

import java.util.ArrayList;
import java.util.List;

/**
 * Combines the faults that are active on one link between two processes into their joint effect:
 * the strictest of each kind, and the sum of the delays. Faults begin and end in any order; each is
 * an {@link Impairment}, removed by identity. A relay applies the result.
 */
public final class LinkState {
  /** How an address reacts to new connections. */
  public enum AcceptMode {
    /** Connections are accepted. */
    OPEN,
    /** The operating system refuses connections. */
    REFUSING,
    /** Nothing answers: a connection is never established. */
    SILENT
  }

  /** One fault on the link; compared by identity, as two may be equal. */
  public static final class Impairment {
    private final boolean refuses;
    private final boolean blocksForward;
    private final boolean blocksReverse;
    private final double delayMs;

    private Impairment(
        boolean refuses, boolean blocksForward, boolean blocksReverse, double delayMs) {
      this.refuses = refuses;
      this.blocksForward = blocksForward;
      this.blocksReverse = blocksReverse;
      this.delayMs = delayMs;
    }

    /** Refuses new connections; the relay resets open ones. */
    public static Impairment cut() {
      return new Impairment(true, false, false, 0);
    }

    /** Blocks the forward direction, the reverse direction, or both. */
    public static Impairment silence(boolean forward, boolean reverse) {
      return new Impairment(false, forward, reverse, 0);
    }

    /** Delays every byte by this many milliseconds in each direction. */
    public static Impairment delay(double ms) {
      return new Impairment(false, false, false, ms);
    }
  }

  private final List<Impairment> impairments = new ArrayList<>();
  private AcceptMode hostMode = AcceptMode.REFUSING;

  /** Adds a fault. */
  public void add(Impairment impairment) {
    impairments.add(impairment);
  }

  /** Removes a fault; does nothing for one that is not active. */
  public void remove(Impairment impairment) {
    impairments.removeIf(t -> t == impairment);
  }

  /** Sets how the host's own address reacts to new connections. */
  public void setHostAcceptMode(AcceptMode mode) {
    hostMode = mode;
  }

  /**
   * Returns how the link reacts to new connections. A refusal takes precedence over a blocked
   * direction, as a refused packet never reaches the point of loss, and a blocked direction over
   * the host's own state. With either direction blocked a connection is not established.
   */
  public AcceptMode acceptMode() {
    if (impairments.stream().anyMatch(t -> t.refuses)) {
      return AcceptMode.REFUSING;
    }
    return isBlocked(true) || isBlocked(false) ? AcceptMode.SILENT : hostMode;
  }

  /** Whether a direction is blocked now; data in transit waits, as TCP retransmits it. */
  public boolean isBlocked(boolean forward) {
    return impairments.stream().anyMatch(t -> forward ? t.blocksForward : t.blocksReverse);
  }

  /** The delay of bytes in each direction, in milliseconds. */
  public double delayMs() {
    return impairments.stream().mapToDouble(t -> t.delayMs).sum();
  }
}
