package hazelspoke.agreement.engine;

/** The one thread that an owner's parts run on, with its clock. */
public interface Scheduler {
  /** A monotonic clock, in ns; only differences mean anything. */
  long nanos();

  /** Runs something soon, after what runs now. */
  void execute(Runnable what);

  /** Runs something after so many ns. */
  void schedule(long nanos, Runnable what);
}
