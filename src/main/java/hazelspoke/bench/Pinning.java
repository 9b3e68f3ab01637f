package hazelspoke.bench;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Which core the measured process runs on: the last one, with clients and hosts on the others.
 * Where there are fewer than three cores, or no {@code taskset}, nothing is held to any.
 */
final class Pinning {
  private static final int FEWEST_CORES = 3;

  private final int cores;
  private final boolean on;

  private Pinning(int cores, boolean on) {
    this.cores = cores;
    this.on = on;
  }

  /** Holds this process to all cores but the last. */
  static Pinning begin() throws InterruptedException {
    int cores = Runtime.getRuntime().availableProcessors();
    boolean on = false;
    if (cores >= FEWEST_CORES) {
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
        on = taskset.waitFor(10, TimeUnit.SECONDS) && taskset.exitValue() == 0;
      } catch (IOException e) {
        on = false;
      }
    }
    return new Pinning(cores, on);
  }

  /** What is put before the command of a measured process. */
  List<String> ofSubject() {
    return on ? List.of("taskset", "-c", Integer.toString(cores - 1)) : List.of();
  }

  String words() {
    return on
        ? "each on core " + (cores - 1) + " of " + cores + ", clients and hosts on the others"
        : "not held to any core: what they cost includes who else runs";
  }
}
