package hazelspoke.emulator.model;

import java.util.ArrayList;
import java.util.List;

/**
 * What holds on one way between two processes while several faults lie on it at once: the worst of
 * each. Faults come and go in any order; each is a {@link Impairment}, taken back as the same
 * object. Decides only; a relay carries it out.
 */
public final class LinkState {
  /** What a caller finds at an address. */
  public enum AcceptMode {
    /** Somebody accepts. */
    OPEN,
    /** The system there refuses. */
    REFUSING,
    /** Nothing answers: a connection never comes up. */
    SILENT
  }

  /** One fault on the way; compared by identity, as two may be alike. */
  public static final class Impairment {
    private final boolean refuses;
    private final boolean holdsThere;
    private final boolean holdsBack;
    private final double delayMs;

    private Impairment(boolean refuses, boolean holdsThere, boolean holdsBack, double delayMs) {
      this.refuses = refuses;
      this.holdsThere = holdsThere;
      this.holdsBack = holdsBack;
      this.delayMs = delayMs;
    }

    /** New connections are refused; the relay resets what is open. */
    public static Impairment cut() {
      return new Impairment(true, false, false, 0);
    }

    /** Nothing passes on the way there, on the way back, or both. */
    public static Impairment silence(boolean there, boolean back) {
      return new Impairment(false, there, back, 0);
    }

    /** Every byte comes so much later, in milliseconds, each way. */
    public static Impairment delay(double ms) {
      return new Impairment(false, false, false, ms);
    }
  }

  private final List<Impairment> troubles = new ArrayList<>();
  private AcceptMode host = AcceptMode.REFUSING;

  /** A fault begins. */
  public void add(Impairment trouble) {
    troubles.add(trouble);
  }

  /** A fault is over; harmless for one that is not on. */
  public void remove(Impairment trouble) {
    troubles.removeIf(t -> t == trouble);
  }

  /** What its host does at its own address. */
  public void setHostAcceptMode(AcceptMode door) {
    host = door;
  }

  /**
   * What a caller finds. A packet that is refused on the way never gets so far as to vanish, and
   * one that vanishes never meets the host; either direction lost leaves a connection that does not
   * come up.
   */
  public AcceptMode acceptMode() {
    if (troubles.stream().anyMatch(t -> t.refuses)) {
      return AcceptMode.REFUSING;
    }
    return holds(true) || holds(false) ? AcceptMode.SILENT : host;
  }

  /** Whether nothing passes now, there or back; what was sent waits, as TCP sends it again. */
  public boolean holds(boolean there) {
    return troubles.stream().anyMatch(t -> there ? t.holdsThere : t.holdsBack);
  }

  /** How much later bytes come, in milliseconds, each way. */
  public double delayMs() {
    return troubles.stream().mapToDouble(t -> t.delayMs).sum();
  }
}
