package hazelspoke.emulator.run;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Resource usage of a process, read from {@code /proc} (proc(5)). */
final class ProcessStats {
  private static final double TICKS_PER_S = 100;
  private static final int UTIME = 11;
  private static final int STIME = 12;
  private static final double KB_PER_MB = 1_024;

  private ProcessStats() {}

  /**
   * @param cpuS CPU time used since its start, in seconds
   * @param memoryMb resident memory
   * @param descriptors number of open file descriptors
   */
  record Sample(double cpuS, double memoryMb, int descriptors) {}

  /** Samples a process; returns null if there is none. */
  static Sample of(long pid) {
    if (pid < 0) {
      return null;
    }
    Path folder = Path.of("/proc", Long.toString(pid));
    try {
      String stat = Files.readString(folder.resolve("stat"));
      String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
      double cpu = (Long.parseLong(fields[UTIME]) + Long.parseLong(fields[STIME])) / TICKS_PER_S;
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
      // The process has just ended, or the system has no such files.
      return null;
    }
  }
}
