package hazelspoke.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Map;

/**
 * Notices that a file was changed, replaced or removed, by a look at its attributes now and then.
 * One that is being written is left alone until it stands still from one look to the next.
 */
final class FileWatcher {
  /** How often to look, in ms: a change is noticed within two of these. */
  static final long EVERY_MS = 100;

  private final String file;
  private Map<String, Object> taken;
  private Map<String, Object> seen;

  /**
   * Counts as changed what differs from now on.
   *
   * @param file its path; null and what is no path stand for a file that is missing
   */
  FileWatcher(String file) {
    this.file = file;
    taken = attributes();
    seen = taken;
  }

  /** Whether it has changed since this last said so, and stood still since the last look. */
  boolean hasChanged() {
    Map<String, Object> now = attributes();
    boolean still = now.equals(seen);
    seen = now;
    if (!still || now.equals(taken)) {
      return false;
    }
    taken = now;
    return true;
  }

  /** None of a file that is missing. The time of its last change of any kind cannot be set back. */
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
