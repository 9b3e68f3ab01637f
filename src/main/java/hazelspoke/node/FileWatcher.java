package hazelspoke.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Map;

/**
 * Detects by polling the file's attributes that a file was changed, replaced or removed. A change
 * is reported only once the attributes are the same in two consecutive polls, so that a file that
 * is still being written is not read.
 */
final class FileWatcher {
  /** Poll interval; a change is detected within two intervals after the last write. */
  static final long POLL_INTERVAL_MS = 100;

  private final String file;
  private Map<String, Object> reported;
  private Map<String, Object> lastPolled;

  /**
   * Takes the present state of the file as the baseline.
   *
   * @param file path of the file; null or an invalid path is treated as a missing file
   */
  FileWatcher(String file) {
    this.file = file;
    reported = attributes();
    lastPolled = reported;
  }

  /**
   * Returns whether the file differs from the last reported state and is unchanged since the last
   * poll.
   */
  boolean hasChanged() {
    Map<String, Object> now = attributes();
    boolean isStable = now.equals(lastPolled);
    lastPolled = now;
    if (!isStable || now.equals(reported)) {
      return false;
    }
    reported = now;
    return true;
  }

  /**
   * Returns no attributes for a missing file. The ctime is included because it cannot be set back.
   */
  private Map<String, Object> attributes() {
    try {
      return file == null
          ? Map.of()
          : Files.readAttributes(Path.of(file), "unix:ino,size,ctime,lastModifiedTime");
    } catch (IOException | InvalidPathException e) {
      return Map.of();
    }
  }
}
