package hazelspoke.emulator.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A stock server as a queue with cores, on a clock that the caller moves: no I/O, no time of its
 * own. Work is time simulated and not burnt, so hundreds of them fit in one process. Whatever was
 * due between two calls is played in its order and at its own moment, so that a caller that comes
 * late changes nothing in what follows.
 */
public final class StockServer {
  /** Told what has ended, and at which moment. */
  public interface Listener {
    void ended(Job job, Job.End end, double atMs);
  }

  /** The share grows in steps of this length while cold, the same whoever looks how often. */
  private static final double STEP_MS = 50;

  private static final double DONE = 1e-9;

  private final ServerSpec spec;
  private final Listener listener;
  private final boolean dropsCancelled;
  private final boolean dropsExpired;
  private final Job[] running;
  private final Deque<Job> waiting = new ArrayDeque<>();
  private final Map<String, Double> warmKeys;
  private final double startedAt;
  private double now;
  private double slowBy = 1;
  private boolean still;
  private boolean draining;

  /** Work of handshakes and probes, taken off the next core that gets free. */
  private double debt;

  private long errors;

  /**
   * @param coldSince when it started cold; negative infinity for one that has long been up
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

  /** Takes a request; it may end within this call, turned away. */
  public void submit(Job job, double at) {
    advance(at);
    if (draining || waiting.size() >= spec.queue()) {
      listener.ended(job, Job.End.TURNED_AWAY, now);
      return;
    }
    waiting.add(job);
    fill();
  }

  /** Whoever waited has gone: what runs goes on; what waits is dropped, where hosts do that. */
  public void cancel(Job job, double at) {
    advance(at);
    job.cancelled = true;
    if (dropsCancelled) {
      waiting.remove(job);
    }
  }

  /** Takes work that answers nothing: a handshake's or a probe's. */
  public void addOverhead(double workMs) {
    debt += workMs;
  }

  /** Cores slower by this factor. */
  public void setSlowdown(double factor, double at) {
    advance(at);
    slowBy = factor;
  }

  /** Cores stand still, or go on. */
  public void setPaused(boolean on, double at) {
    advance(at);
    still = on;
  }

  /** Takes nothing new any more. */
  public void drain(double at) {
    advance(at);
    draining = true;
  }

  /** Requests that it holds. */
  public int heldRequests() {
    return waiting.size() + busy();
  }

  /** Requests that wait for a core. */
  public int queued() {
    return waiting.size();
  }

  public long errors() {
    return errors;
  }

  /** The share of its capacity that it has at this moment, for being cold. */
  public double warmth(double at) {
    double age = at - startedAt;
    return age >= spec.coldMs()
        ? 1
        : spec.coldFrom() + (1 - spec.coldFrom()) * Math.max(0, age) / spec.coldMs();
  }

  public boolean isCold(double at) {
    return at - startedAt < spec.coldMs();
  }

  /** When something will next happen unasked; positive infinity for never. */
  public double next() {
    if (still || busy() == 0) {
      return Double.POSITIVE_INFINITY;
    }
    return Math.min(nextEnd(), nextStep());
  }

  /** Plays everything up to this moment; an earlier one changes nothing. */
  public void advance(double to) {
    while (now < to) {
      double end = still ? to : Math.min(to, Math.min(nextEnd(), nextStep()));
      if (!still) {
        for (int i = 0; i < running.length; i++) {
          if (running[i] != null) {
            running[i].left -= (end - now) * rate(i);
          }
        }
      }
      now = end;
      settle();
    }
  }

  private void settle() {
    for (int i = 0; i < running.length; i++) {
      Job job = running[i];
      if (job != null && job.left <= DONE) {
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
    fill();
  }

  private void fill() {
    for (int i = 0; i < running.length; i++) {
      while (running[i] == null && !waiting.isEmpty()) {
        Job job = waiting.poll();
        if (dropsExpired && job.deadline < now) {
          listener.ended(job, Job.End.TURNED_AWAY, now);
          continue;
        }
        Double seenAt = job.key == null ? null : warmKeys.get(job.key);
        if (seenAt != null && now - seenAt <= spec.warmMs()) {
          job.left *= 1 - spec.warmGain();
        }
        job.left += debt;
        debt = 0;
        running[i] = job;
      }
    }
  }

  private double rate(int core) {
    double crowd = Math.max(0, (double) heldRequests() / running.length - spec.thrashAt());
    return spec.speeds().get(core) * warmth(stepAt()) / slowBy / (1 + spec.thrash() * crowd);
  }

  private double nextEnd() {
    double next = Double.POSITIVE_INFINITY;
    for (int i = 0; i < running.length; i++) {
      if (running[i] != null) {
        next = Math.min(next, now + Math.max(0, running[i].left) / rate(i));
      }
    }
    // A step too small for the clock's figures would never come.
    return Math.max(next, Math.nextUp(now));
  }

  private double nextStep() {
    return isCold(now) ? Math.max(stepAt() + STEP_MS, Math.nextUp(now)) : Double.POSITIVE_INFINITY;
  }

  /** When the present step began. */
  private double stepAt() {
    return isCold(now) ? startedAt + STEP_MS * Math.floor((now - startedAt) / STEP_MS + DONE) : now;
  }

  private int busy() {
    return (int) Arrays.stream(running).filter(j -> j != null).count();
  }

  /** All that it holds, for an end without answers. */
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
