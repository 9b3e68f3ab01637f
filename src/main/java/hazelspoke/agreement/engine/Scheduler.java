package hazelspoke.agreement.engine;

/** Runs tasks on one thread, and provides its clock. */
public interface Scheduler {
  /** A monotonic clock, in ns, with an arbitrary origin. */
  long nanos();

  /** Runs a task after the current one. */
  void execute(Runnable task);

  /** Runs a task after a delay. */
  void schedule(long delayNanos, Runnable task);
}
