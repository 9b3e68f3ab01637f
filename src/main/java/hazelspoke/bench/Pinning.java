package hazelspoke.bench;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Pins the measured process to the last core, and clients and hosts to the others. Pins nothing on
 * machines with fewer than three cores or without {@code taskset}.
 */
final class Pinning {
  private static final int MIN_CORES = 3;

  private final int cores;
  private final boolean isPinned;

  private Pinning(int cores, boolean isPinned) {
    this.cores = cores;
    this.isPinned = isPinned;
  }

  /** Pins this process to all cores but the last. */
  static Pinning begin() throws InterruptedException {
    int cores = Runtime.getRuntime().availableProcessors();
    boolean isPinned = false;
    if (cores >= MIN_CORES) {
      try {
        Process taskset =
            new ProcessBuilder(
                    "taskset",
                    "-a",
                    "-p",
                    "-c",
                    "0-" + (cores - 2),
                    Long.toString(ProcessHandle.current().pid()))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        isPinned = taskset.waitFor(10, TimeUnit.SECONDS) && taskset.exitValue() == 0;
      } catch (IOException e) {
        isPinned = false;
      }
    }
    return new Pinning(cores, isPinned);
  }

  /** Returns the command prefix that pins a measured process. */
  List<String> commandPrefix() {
    return isPinned ? List.of("taskset", "-c", Integer.toString(cores - 1)) : List.of();
  }

  String description() {
    return isPinned
        ? "each on core " + (cores - 1) + " of " + cores + ", clients and hosts on the others"
        : "not held to any core: what they cost includes who else runs";
  }
}
