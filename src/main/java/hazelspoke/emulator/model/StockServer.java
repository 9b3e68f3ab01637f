package hazelspoke.emulator.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Models a stock server as a queue with cores. It does no I/O and has no clock: the caller advances
 * the time. Work is simulated and uses no CPU time, so hundreds of servers fit in one process. All
 * events due between two calls are processed in order and at their own times, so that a late caller
 * does not change the result.
 */
public final class StockServer {
  /** Receives each request that has ended, with its time. */
  public interface Listener {
    void ended(Job job, Job.End end, double atMs);
  }

  /**
   * Capacity grows in steps of this length while cold, so that it does not depend on how often the
   * server is polled.
   */
  private static final double WARM_UP_STEP_MS = 50;

  private static final double WORK_EPSILON_MS = 1e-9;

  private final ServerSpec spec;
  private final Listener listener;
  private final boolean dropsCancelled;
  private final boolean dropsExpired;
  private final Job[] running;
  private final Deque<Job> waiting = new ArrayDeque<>();
  private final Map<String, Double> warmKeys;
  private final double startedAt;
  private double now;
  private double slowdown = 1;
  private boolean paused;
  private boolean draining;

  /** Work of handshakes and probes, added to the next request that starts on a core. */
  private double pendingOverheadMs;

  private long errors;

  /**
   * @param coldSince when it started cold; negative infinity for a warm server
   */
  public StockServer(
      ServerSpec spec,
      boolean dropsCancelled,
      boolean dropsExpired,
      double coldSince,
      double now,
      Listener listener) {
    this.spec = spec;
    this.dropsCancelled = dropsCancelled;
    this.dropsExpired = dropsExpired;
    this.startedAt = coldSince;
    this.now = now;
    this.listener = listener;
    running = new Job[spec.speeds().size()];
    warmKeys =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > spec.warmKeys();
          }
        };
  }

  /** Submits a request; it may be rejected within this call. */
  public void submit(Job job, double at) {
    advance(at);
    if (draining || waiting.size() >= spec.queue()) {
      listener.ended(job, Job.End.TURNED_AWAY, now);
      return;
    }
    waiting.add(job);
    startWaiting();
  }

  /** Cancels a request: a running one continues; a queued one is dropped if hosts do that. */
  public void cancel(Job job, double at) {
    advance(at);
    job.cancelled = true;
    if (dropsCancelled) {
      waiting.remove(job);
    }
  }

  /** Adds work that belongs to no request: a handshake or a probe. */
  public void addOverhead(double workMs) {
    pendingOverheadMs += workMs;
  }

  /** Slows the cores by this factor. */
  public void setSlowdown(double factor, double at) {
    advance(at);
    slowdown = factor;
  }

  /** Pauses or resumes the cores. */
  public void setPaused(boolean on, double at) {
    advance(at);
    paused = on;
  }

  /** Rejects new requests from now on. */
  public void drain(double at) {
    advance(at);
    draining = true;
  }

  /** Requests queued or running. */
  public int heldRequests() {
    return waiting.size() + runningRequests();
  }

  /** Requests waiting for a core. */
  public int queued() {
    return waiting.size();
  }

  public long errors() {
    return errors;
  }

  /** The share of its full capacity available at this time; below 1 while cold. */
  public double warmth(double at) {
    double age = at - startedAt;
    return age >= spec.coldMs()
        ? 1
        : spec.coldFrom() + (1 - spec.coldFrom()) * Math.max(0, age) / spec.coldMs();
  }

  public boolean isCold(double at) {
    return at - startedAt < spec.coldMs();
  }

  /** The time of the next event; positive infinity if there is none. */
  public double next() {
    if (paused || runningRequests() == 0) {
      return Double.POSITIVE_INFINITY;
    }
    return Math.min(nextCompletion(), nextWarmUpStep());
  }

  /** Processes all events up to this time; does nothing for an earlier one. */
  public void advance(double to) {
    while (now < to) {
      double end = paused ? to : Math.min(to, Math.min(nextCompletion(), nextWarmUpStep()));
      if (!paused) {
        for (int i = 0; i < running.length; i++) {
          if (running[i] != null) {
            running[i].remainingMs -= (end - now) * rate(i);
          }
        }
      }
      now = end;
      completeFinished();
    }
  }

  private void completeFinished() {
    for (int i = 0; i < running.length; i++) {
      Job job = running[i];
      if (job != null && job.remainingMs <= WORK_EPSILON_MS) {
        running[i] = null;
        if (job.key != null) {
          warmKeys.put(job.key, now);
        }
        if (job.failsAtEnd) {
          errors++;
        }
        listener.ended(job, job.failsAtEnd ? Job.End.ERROR : Job.End.SERVED, now);
      }
    }
    startWaiting();
  }

  private void startWaiting() {
    for (int i = 0; i < running.length; i++) {
      while (running[i] == null && !waiting.isEmpty()) {
        Job job = waiting.poll();
        if (dropsExpired && job.deadline < now) {
          listener.ended(job, Job.End.TURNED_AWAY, now);
          continue;
        }
        Double lastUsedAt = job.key == null ? null : warmKeys.get(job.key);
        if (lastUsedAt != null && now - lastUsedAt <= spec.warmMs()) {
          job.remainingMs *= 1 - spec.warmGain();
        }
        job.remainingMs += pendingOverheadMs;
        pendingOverheadMs = 0;
        running[i] = job;
      }
    }
  }

  private double rate(int core) {
    double excessRequestsPerCore =
        Math.max(0, (double) heldRequests() / running.length - spec.thrashAt());
    return spec.speeds().get(core)
        * warmth(currentStepStart())
        / slowdown
        / (1 + spec.thrash() * excessRequestsPerCore);
  }

  private double nextCompletion() {
    double next = Double.POSITIVE_INFINITY;
    for (int i = 0; i < running.length; i++) {
      if (running[i] != null) {
        next = Math.min(next, now + Math.max(0, running[i].remainingMs) / rate(i));
      }
    }
    // A step below the resolution of the clock would make no progress.
    return Math.max(next, Math.nextUp(now));
  }

  private double nextWarmUpStep() {
    return isCold(now)
        ? Math.max(currentStepStart() + WARM_UP_STEP_MS, Math.nextUp(now))
        : Double.POSITIVE_INFINITY;
  }

  /** The start of the present warm-up step. */
  private double currentStepStart() {
    return isCold(now)
        ? startedAt
            + WARM_UP_STEP_MS * Math.floor((now - startedAt) / WARM_UP_STEP_MS + WORK_EPSILON_MS)
        : now;
  }

  private int runningRequests() {
    return (int) Arrays.stream(running).filter(j -> j != null).count();
  }

  /** All queued and running requests, for a stop without responses. */
  public List<Job> jobs() {
    List<Job> out = new ArrayList<>(waiting);
    for (Job job : running) {
      if (job != null) {
        out.add(job);
      }
    }
    return out;
  }
}
