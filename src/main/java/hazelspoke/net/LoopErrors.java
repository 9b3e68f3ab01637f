package hazelspoke.net;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Decides what becomes of an event loop after an error that nothing else has handled. The loop goes
 * on: its sockets are polled again, and what was ready is reported again. A loop whose iterations
 * keep failing is beyond repair. Allocates nothing itself, as memory may be what is short. Confined
 * to the event loop.
 */
public final class LoopErrors {
  /** Receives the errors of an event loop, on the loop. */
  public interface Listener {
    /**
     * An error was caught, and the loop goes on.
     *
     * @param where the kind of work that failed
     */
    void onError(String where, Throwable error);

    /** The iterations of the loop keep failing, so that the process should end. */
    void onBeyondRepair(Throwable error);
  }

  /** Failed iterations within {@link #WINDOW_S} after which a loop is beyond repair. */
  static final int MAX_FAILED_ITERATIONS = 20;

  private static final long WINDOW_S = 10;

  private final Listener listener;
  private final LongSupplier nanoTime;

  /** The times of the last failed iterations, in a ring. */
  private final long[] failedAtNanos = new long[MAX_FAILED_ITERATIONS];

  private long failedIterations;
  private boolean beyondRepair;

  LoopErrors(Listener listener, LongSupplier nanoTime) {
    this.listener = listener;
    this.nanoTime = nanoTime;
  }

  /** Handles an error of one task or timer. */
  void onTaskFailed(Throwable error) {
    report("unexpected error in a task", error);
  }

  /** Handles an error that ended an iteration of the loop early. */
  void onIterationFailed(Throwable error) {
    report("unexpected error in an iteration of the event loop", error);
    long nowNanos = nanoTime.getAsLong();
    int oldest = (int) (failedIterations % MAX_FAILED_ITERATIONS);
    boolean isFull = failedIterations >= MAX_FAILED_ITERATIONS;
    boolean keepsFailing =
        isFull && nowNanos - failedAtNanos[oldest] < TimeUnit.SECONDS.toNanos(WINDOW_S);
    failedAtNanos[oldest] = nowNanos;
    failedIterations++;
    if (keepsFailing && !beyondRepair) {
      beyondRepair = true;
      reportBeyondRepair(error);
    }
  }

  private void reportBeyondRepair(Throwable error) {
    try {
      listener.onBeyondRepair(error);
    } catch (Throwable inReport) {
      // Tried again at the next failure.
      beyondRepair = false;
    }
  }

  private void report(String where, Throwable error) {
    try {
      listener.onError(where, error);
    } catch (Throwable inReport) {
      // Reporting may fail for the same lack of memory; the loop goes on nevertheless.
    }
  }
}
