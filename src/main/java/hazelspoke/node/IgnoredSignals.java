package hazelspoke.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The signals that this process was started to ignore, as by {@code nohup}, by some supervisors and
 * by a shell without job control for what it starts in the background. The JVM leaves those that
 * end a process ignored, and installing a handler for one does nothing and says nothing.
 *
 * @param mask a bit for each, from the first on
 */
record IgnoredSignals(long mask) {
  static final int HUP = 1;
  static final int INT = 2;
  static final int TERM = 15;

  private static final String FIELD = "SigIgn:";

  /** None where the system does not tell. */
  static IgnoredSignals ofThisProcess() {
    try {
      return read(Files.readAllLines(Path.of("/proc/self/status")));
    } catch (IOException e) {
      return new IgnoredSignals(0);
    }
  }

  /** From the lines that Linux gives of a process; none where they do not name the field. */
  static IgnoredSignals read(List<String> status) {
    for (String line : status) {
      if (line.startsWith(FIELD)) {
        return new IgnoredSignals(
            Long.parseUnsignedLong(line.substring(FIELD.length()).trim(), 16));
      }
    }
    return new IgnoredSignals(0);
  }

  boolean ignores(int signal) {
    return (mask >>> (signal - 1) & 1) != 0;
  }

  /**
   * What operators have to know, a line each. SIGINT has none: a shell means it to be ignored in
   * the background, and nothing of a deployment hangs on it.
   */
  List<String> lines() {
    List<String> lines = new ArrayList<>();
    if (ignores(HUP)) {
      lines.add(
          "SIGHUP is ignored as this was started so: a change of the configuration file is taken"
              + " as it is seen");
    }
    if (ignores(TERM)) {
      lines.add(
          "SIGTERM is ignored as this was started so: it will not leave when told to, start it by"
              + " env --default-signal=TERM");
    }
    return lines;
  }

  /** Shows operators 1 for each of those that something hangs on, or 0. */
  void registerMetrics(Management management) {
    management.gauge("ignored.sighup", () -> ignores(HUP) ? 1 : 0);
    management.gauge("ignored.sigint", () -> ignores(INT) ? 1 : 0);
    management.gauge("ignored.sigterm", () -> ignores(TERM) ? 1 : 0);
  }
}
