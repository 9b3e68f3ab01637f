package hazelspoke.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The signals that this process inherited as ignored, for example from {@code nohup}, from some
 * supervisors, or from a shell without job control that starts it in the background. The JVM leaves
 * inherited ignored termination signals ignored, and installing a handler for one silently has no
 * effect.
 *
 * @param mask bit {@code n - 1} is set if signal {@code n} is ignored
 */
record IgnoredSignals(long mask) {
  static final int HUP = 1;
  static final int INT = 2;
  static final int TERM = 15;

  private static final String IGNORED_MASK_FIELD = "SigIgn:";

  /** Reads the mask of this process; empty if the system does not provide it. */
  static IgnoredSignals ofThisProcess() {
    try {
      return read(Files.readAllLines(Path.of("/proc/self/status")));
    } catch (IOException e) {
      return new IgnoredSignals(0);
    }
  }

  /** Parses the lines of {@code /proc/PID/status}; empty if they lack the field. */
  static IgnoredSignals read(List<String> status) {
    for (String line : status) {
      if (line.startsWith(IGNORED_MASK_FIELD)) {
        return new IgnoredSignals(
            Long.parseUnsignedLong(line.substring(IGNORED_MASK_FIELD.length()).trim(), 16));
      }
    }
    return new IgnoredSignals(0);
  }

  boolean ignores(int signal) {
    return (mask >>> (signal - 1) & 1) != 0;
  }

  /**
   * The warnings for operators, one line each. There is none for SIGINT: shells ignore it in
   * background processes on purpose, and no deployment depends on it.
   */
  List<String> warnings() {
    List<String> warnings = new ArrayList<>();
    if (ignores(HUP)) {
      warnings.add(
          "SIGHUP is ignored as this was started so: the configuration file is polled for changes"
              + " instead");
    }
    if (ignores(TERM)) {
      warnings.add(
          "SIGTERM is ignored as this was started so: it will not shut down on SIGTERM; start it"
              + " with env --default-signal=TERM");
    }
    return warnings;
  }

  /** Registers one gauge per signal: 1 if it is ignored, else 0. */
  void registerMetrics(Management management) {
    management.gauge("ignored.sighup", () -> ignores(HUP) ? 1 : 0);
    management.gauge("ignored.sigint", () -> ignores(INT) ? 1 : 0);
    management.gauge("ignored.sigterm", () -> ignores(TERM) ? 1 : 0);
  }
}
