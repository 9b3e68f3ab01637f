package hazelspoke.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a collector says of itself ({@code -Xlog:gc}), read from one place in its log to another.
 * What was allocated is what the heap grew by between two collections; the log speaks in whole MiB,
 * so that many collections are needed for a figure.
 */
final class GcLog {
  private static final Pattern PAUSE =
      Pattern.compile("Pause (Young|Full).*? (\\d+)M->(\\d+)M\\(\\d+M\\) ([0-9.]+)ms");
  private static final double BYTES_PER_MIB = 1 << 20;

  /** Collections, those of the whole heap, the longest pause, and what was allocated. */
  record Part(int collections, int full, double longestMs, double allocatedBytes) {}

  private final Path file;

  GcLog(Path file) {
    this.file = file;
  }

  /** How many lines there are by now. */
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

  Part between(int from, int to) {
    List<String> all = all();
    return read(all.subList(Math.min(from, all.size()), Math.min(to, all.size())));
  }

  static Part read(List<String> lines) {
    int collections = 0;
    int full = 0;
    double longest = 0;
    double allocated = 0;
    int left = -1;
    for (String line : lines) {
      Matcher m = PAUSE.matcher(line);
      if (m.find()) {
        collections++;
        full += m.group(1).equals("Full") ? 1 : 0;
        longest = Math.max(longest, Double.parseDouble(m.group(4)));
        allocated += left < 0 ? 0 : Math.max(0, Integer.parseInt(m.group(2)) - left);
        left = Integer.parseInt(m.group(3));
      }
    }
    return new Part(collections, full, longest, allocated * BYTES_PER_MIB);
  }
}
