package hazelspoke.emulator.model;

/** One request at a host, with its remaining work. */
public final class Job {
  /** The result of a request at a host. */
  public enum End {
    SERVED,
    ERROR,
    /** Never started: the queue is full, the host drains, or the request has expired. */
    TURNED_AWAY
  }

  final String key;
  final double deadline;
  final boolean failsAtEnd;
  double remainingMs;

  /** Whether the caller has disconnected. */
  boolean cancelled;

  /** The owner's handle for this job. */
  public final Object tag;

  /**
   * @param key the entity that the request refers to, or null; work on a recently used key takes
   *     less
   * @param workMs on a core of speed 1
   * @param deadline when its client times out, on the host's clock
   */
  public Job(Object tag, String key, double workMs, double deadline, boolean failsAtEnd) {
    this.tag = tag;
    this.key = key;
    this.remainingMs = workMs;
    this.deadline = deadline;
    this.failsAtEnd = failsAtEnd;
  }
}
