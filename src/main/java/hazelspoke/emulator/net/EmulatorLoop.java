package hazelspoke.emulator.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;

/**
 * The event loop that runs hosts, clients, discovery and the event log, and its clock. A single
 * thread needs no locks, and one clock makes all times comparable, also with those of other
 * processes on this machine: {@link System#nanoTime} reads the system's monotonic clock.
 */
public final class EmulatorLoop {
  private static final double NANOS_PER_MS = 1e6;
  private static final double LAG_PROBE_INTERVAL_MS = 5;

  /** A gap between probes above this means that the loop, or its process, was stalled. */
  private static final double STALL_MS = 15;

  /** For this long after a stall, data that is read may have arrived during it. */
  private static final double CATCH_UP_MS = 30;

  private final EventLoop loop;
  private final long originNanos;
  private final long originUnixMs;
  private final CompletableFuture<Void> failure = new CompletableFuture<>();
  private double lastProbeAt;
  private double stallFrom;
  private double stallUntil = Double.NEGATIVE_INFINITY;

  /** Creates a clock whose origin is now. */
  public EmulatorLoop(EventLoop loop) {
    this(loop, System.nanoTime());
  }

  /** Creates a clock whose origin is the given value of {@link System#nanoTime}. */
  public EmulatorLoop(EventLoop loop, long originNanos) {
    this.loop = loop;
    this.originNanos = originNanos;
    originUnixMs =
        System.currentTimeMillis() - (long) ((System.nanoTime() - originNanos) / NANOS_PER_MS);
    lastProbeAt = now();
  }

  public EventLoop loop() {
    return loop;
  }

  public long originNanos() {
    return originNanos;
  }

  public double now() {
    return (System.nanoTime() - originNanos) / NANOS_PER_MS;
  }

  /** Converts a time of this clock to Unix milliseconds. */
  public long unixMs(double at) {
    return originUnixMs + (long) at;
  }

  /** Runs a task at the given time, or at once if it has passed. */
  public ScheduledFuture<?> at(double at, Runnable task) {
    return loop.schedule(
        task, Math.max(0, (long) ((at - now()) * NANOS_PER_MS)), TimeUnit.NANOSECONDS);
  }

  /** Starts to monitor the loop's lag and reports it in milliseconds at every probe. */
  public void monitorLag(DoubleConsumer lagMs) {
    lastProbeAt = now();
    at(lastProbeAt + LAG_PROBE_INTERVAL_MS, () -> probeLag(lagMs));
  }

  private void probeLag(DoubleConsumer lagMs) {
    double now = now();
    lagMs.accept(Math.max(0, now - lastProbeAt - LAG_PROBE_INTERVAL_MS));
    if (now - lastProbeAt > STALL_MS) {
      stallFrom = lastProbeAt;
      stallUntil = now;
    }
    monitorLag(lagMs);
  }

  /**
   * The earliest time at which data read now can have been sent: now, or the start of a stall
   * during which nothing was read. Data on new connections is read some event-loop iterations after
   * the stall.
   */
  public double earliestSendTime() {
    double now = now();
    if (now - lastProbeAt > STALL_MS) {
      return lastProbeAt;
    }
    return now - stallUntil < CATCH_UP_MS ? stallFrom : now;
  }

  /** Reports that the emulator itself has failed. */
  public void fail(String what, Throwable cause) {
    failure.completeExceptionally(new IllegalStateException(what, cause));
  }

  /** Completes exceptionally if the emulator itself fails. */
  public CompletableFuture<Void> failure() {
    return failure;
  }
}
