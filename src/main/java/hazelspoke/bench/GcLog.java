package hazelspoke.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads a range of lines of a garbage collection log ({@code -Xlog:gc}). Allocated bytes are the
 * growth of the heap between two collections; the log has whole MiB only, so that an accurate value
 * takes many collections.
 */
final class GcLog {
  private static final Pattern PAUSE =
      Pattern.compile("Pause (Young|Full).*? (\\d+)M->(\\d+)M\\(\\d+M\\) ([0-9.]+)ms");
  private static final double BYTES_PER_MIB = 1 << 20;

  /** All collections, full collections, the longest pause, and allocated bytes. */
  record Summary(int collections, int full, double longestMs, double allocatedBytes) {}

  private final Path file;

  GcLog(Path file) {
    this.file = file;
  }

  /** Returns the current number of lines. */
  int lines() {
    return all().size();
  }

  private List<String> all() {
    try {
      return Files.exists(file) ? Files.readAllLines(file) : List.of();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  Summary between(int from, int to) {
    List<String> all = all();
    return read(all.subList(Math.min(from, all.size()), Math.min(to, all.size())));
  }

  static Summary read(List<String> lines) {
    int collections = 0;
    int full = 0;
    double longestMs = 0;
    double allocatedMib = 0;
    int usedAfterMib = -1;
    for (String line : lines) {
      Matcher m = PAUSE.matcher(line);
      if (m.find()) {
        collections++;
        full += m.group(1).equals("Full") ? 1 : 0;
        longestMs = Math.max(longestMs, Double.parseDouble(m.group(4)));
        allocatedMib +=
            usedAfterMib < 0 ? 0 : Math.max(0, Integer.parseInt(m.group(2)) - usedAfterMib);
        usedAfterMib = Integer.parseInt(m.group(3));
      }
    }
    return new Summary(collections, full, longestMs, allocatedMib * BYTES_PER_MIB);
  }
}
