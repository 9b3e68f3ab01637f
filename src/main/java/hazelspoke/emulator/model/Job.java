package hazelspoke.emulator.model;

/** One request at a host: what it needs and how far it has come. */
public final class Job {
  /** How a request ends at a host. */
  public enum End {
    SERVED,
    ERROR,
    /** Never begun: the queue is full, the host drains, or the request is over already. */
    TURNED_AWAY
  }

  final String key;
  final double deadline;
  final boolean failsAtEnd;
  double left;

  /** Whoever waited for it has gone. */
  boolean cancelled;

  /** What the owner wants to find it by. */
  public final Object tag;

  /**
   * @param key what the request is about, or null; work on a key seen lately takes less
   * @param workMs on a core of speed 1
   * @param deadline when its client stops waiting, on the host's clock
   */
  public Job(Object tag, String key, double workMs, double deadline, boolean failsAtEnd) {
    this.tag = tag;
    this.key = key;
    this.left = workMs;
    this.deadline = deadline;
    this.failsAtEnd = failsAtEnd;
  }
}
