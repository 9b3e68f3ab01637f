package hazelspoke.emulator.run;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the system tells of a process, from {@code /proc} (proc(5)). */
final class ProcessStats {
  private static final double TICKS_PER_S = 100;
  private static final int UTIME = 11;
  private static final int STIME = 12;
  private static final double KB_PER_MB = 1_024;

  private ProcessStats() {}

  /**
   * @param cpuS CPU time used since its start, in seconds
   * @param memoryMb resident memory
   * @param descriptors open ones
   */
  record Sample(double cpuS, double memoryMb, int descriptors) {}

  /** A look at a process; null where there is none to look at. */
  static Sample of(long pid) {
    if (pid < 0) {
      return null;
    }
    Path folder = Path.of("/proc", Long.toString(pid));
    try {
      String stat = Files.readString(folder.resolve("stat"));
      String[] after = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
      double cpu = (Long.parseLong(after[UTIME]) + Long.parseLong(after[STIME])) / TICKS_PER_S;
      double memory = 0;
      for (String line : Files.readAllLines(folder.resolve("status"))) {
        if (line.startsWith("VmRSS:")) {
          memory = Double.parseDouble(line.replaceAll("[^0-9]", "")) / KB_PER_MB;
        }
      }
      try (var files = Files.list(folder.resolve("fd"))) {
        return new Sample(cpu, memory, (int) files.count());
      }
    } catch (IOException | RuntimeException e) {
      // It has just ended, or this system has no such files.
      return null;
    }
  }
}
