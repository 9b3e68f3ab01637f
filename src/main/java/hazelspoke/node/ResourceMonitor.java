package hazelspoke.node;

import hazelspoke.core.Clock;
import hazelspoke.core.Log;
import hazelspoke.net.Buffers;
import io.netty.channel.EventLoop;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Watches what the whole process holds against what it is told, and logs it while any of it is
 * short: when a socket could not be opened or accepted, and when the resident memory approaches its
 * limit. Confined to the event loop.
 */
final class ResourceMonitor {
  private static final long CHECK_INTERVAL_MS = 500;
  private static final double SHORT_OF_MEMORY_FRACTION = 0.9;
  private static final double BYTES_PER_MB = 1e6;

  private final Clock clock;
  private final Log log;
  private final long memoryBytes;
  private final ResidentMemory residentMemory;
  private final LongSupplier failedSockets;
  private final Supplier<String> holders;
  private long reportedFailures;

  /**
   * Creates a monitor that has not started.
   *
   * @param memoryBytes what the process may hold
   * @param failedSockets the number of sockets that could not be opened or accepted so far
   * @param holders describes the descriptors in use and who holds them
   */
  ResourceMonitor(
      Clock clock,
      Log log,
      long memoryBytes,
      ResidentMemory residentMemory,
      LongSupplier failedSockets,
      Supplier<String> holders) {
    this.clock = clock;
    this.log = log;
    this.memoryBytes = memoryBytes;
    this.residentMemory = residentMemory;
    this.failedSockets = failedSockets;
    this.holders = holders;
  }

  /** Starts to check on this loop. */
  void start(EventLoop loop) {
    loop.scheduleWithFixedDelay(
        this::check, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void check() {
    long failures = failedSockets.getAsLong();
    boolean isShortOfMemory =
        residentMemory.bytes() > SHORT_OF_MEMORY_FRACTION * memoryBytes && memoryBytes > 0;
    if (failures > reportedFailures || isShortOfMemory) {
      log.line(describe(failures - reportedFailures));
      reportedFailures = failures;
    }
  }

  /** Describes what the process holds. */
  String describe(long newFailures) {
    Runtime heap = Runtime.getRuntime();
    return String.format(
        Locale.ROOT,
        "resources at Unix time %.1f: %s, sockets failed %d; resident %.1f of %.1f MB, heap %.1f of %.1f MB,"
            + " off heap %.1f MB",
        clock.nowMs() / 1_000,
        holders.get(),
        newFailures,
        residentMemory.bytes() / BYTES_PER_MB,
        memoryBytes / BYTES_PER_MB,
        (heap.totalMemory() - heap.freeMemory()) / BYTES_PER_MB,
        heap.maxMemory() / BYTES_PER_MB,
        Buffers.ALLOCATOR.metric().usedDirectMemory() / BYTES_PER_MB);
  }
}
