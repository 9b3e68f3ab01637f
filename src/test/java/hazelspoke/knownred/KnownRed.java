package hazelspoke.knownred;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The tests that are known to fail for a fault that is not mended yet, as KNOWN-RED.txt at the root
 * lists them: one a line, as {@code package.Class#method: cause (issue N)}. The build runs them
 * apart from the others and prints their results without failing on them.
 */
final class KnownRed {
  /** More than this would hide the state of the program. */
  static final int MOST_ENTRIES = 3;

  private static final Path FILE = Path.of("KNOWN-RED.txt");
  private static final String METHOD_MARK = "#";
  private static final String CAUSE_MARK = ": ";

  /** One line of the list. */
  record Entry(String className, String method, String cause) {
    static Entry parse(String line) {
      int method = line.indexOf(METHOD_MARK);
      int cause = line.indexOf(CAUSE_MARK);
      if (method < 1
          || cause < method + 2
          || !line.substring(cause).matches(".+\\(issue \\d+\\)")) {
        throw new IllegalArgumentException(
            "KNOWN-RED.txt wants package.Class#method: cause (issue N), and has: " + line);
      }
      return new Entry(
          line.substring(0, method),
          line.substring(method + 1, cause),
          line.substring(cause + CAUSE_MARK.length()));
    }

    boolean names(String testClass, String testMethod) {
      return className.equals(testClass) && method.equals(testMethod);
    }
  }

  private KnownRed() {}

  /** All that are listed; none where there is no list. */
  static List<Entry> entries() {
    if (!Files.exists(FILE)) {
      return List.of();
    }
    try {
      return parse(Files.readAllLines(FILE));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static List<Entry> parse(List<String> lines) {
    List<Entry> entries = lines.stream().filter(line -> !line.isBlank()).map(Entry::parse).toList();
    if (entries.size() > MOST_ENTRIES) {
      throw new IllegalArgumentException("KNOWN-RED.txt lists more than " + MOST_ENTRIES);
    }
    return entries;
  }
}
