package hazelspoke.emulator.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;

/**
 * The one loop on which hosts, clients, discovery and the ledger live, and its clock. One thread
 * needs no locks, and one clock makes all times comparable, also with those of other processes on
 * this machine: {@link System#nanoTime} is the system's monotonic clock.
 */
public final class EmulatorLoop {
  private static final double NANOS_PER_MS = 1e6;
  private static final double BEAT_MS = 5;

  /** A beat missed by more than this: the loop, or its whole process, stood still. */
  private static final double STALL_MS = 15;

  /** For this long after a stall, what is read may have waited through it. */
  private static final double CATCH_UP_MS = 30;

  private final EventLoop loop;
  private final long zero;
  private final long zeroUnixMs;
  private final CompletableFuture<Void> failure = new CompletableFuture<>();
  private double beatAt;
  private double stallFrom;
  private double stallUntil = Double.NEGATIVE_INFINITY;

  /** A clock that begins now. */
  public EmulatorLoop(EventLoop loop) {
    this(loop, System.nanoTime());
  }

  /** A clock with its 0 at a moment of {@link System#nanoTime}. */
  public EmulatorLoop(EventLoop loop, long zero) {
    this.loop = loop;
    this.zero = zero;
    zeroUnixMs = System.currentTimeMillis() - (long) ((System.nanoTime() - zero) / NANOS_PER_MS);
    beatAt = now();
  }

  public EventLoop loop() {
    return loop;
  }

  public long originNanos() {
    return zero;
  }

  public double now() {
    return (System.nanoTime() - zero) / NANOS_PER_MS;
  }

  /** Unix time of a moment, in milliseconds. */
  public long unixMs(double at) {
    return zeroUnixMs + (long) at;
  }

  /** Does something at a moment, or at once where that has passed. */
  public ScheduledFuture<?> at(double at, Runnable task) {
    return loop.schedule(
        task, Math.max(0, (long) ((at - now()) * NANOS_PER_MS)), TimeUnit.NANOSECONDS);
  }

  /** Begins to watch its own lateness, and tells it in milliseconds with every beat. */
  public void monitorLag(DoubleConsumer lateness) {
    beatAt = now();
    at(beatAt + BEAT_MS, () -> nextBeat(lateness));
  }

  private void nextBeat(DoubleConsumer lateness) {
    double now = now();
    lateness.accept(Math.max(0, now - beatAt - BEAT_MS));
    if (now - beatAt > STALL_MS) {
      stallFrom = beatAt;
      stallUntil = now;
    }
    monitorLag(lateness);
  }

  /**
   * The soonest that what is read now can have been sent: now, or the last moment before a stall
   * for which nobody here looked. What came on new connections is read some turns after the stall.
   */
  public double earliestSendTime() {
    double now = now();
    if (now - beatAt > STALL_MS) {
      return beatAt;
    }
    return now - stallUntil < CATCH_UP_MS ? stallFrom : now;
  }

  /** The emulator itself cannot go on. */
  public void fail(String what, Throwable cause) {
    failure.completeExceptionally(new IllegalStateException(what, cause));
  }

  /** Ends, exceptionally, when the emulator itself cannot go on. */
  public CompletableFuture<Void> failure() {
    return failure;
  }
}
