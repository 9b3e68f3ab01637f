package hazelspoke.node;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The resident memory of this process. The file is opened once, as it could not be opened when
 * descriptors are short.
 */
final class ResidentMemory implements AutoCloseable {
  private static final String FILE = "/proc/self/status";
  private static final int MAX_FILE_BYTES = 4_096;
  private static final Pattern RESIDENT_KB = Pattern.compile("VmRSS:\\s+(\\d+) kB");
  private static final long BYTES_PER_KB = 1_024;

  private final byte[] content = new byte[MAX_FILE_BYTES];

  /** Null if the platform has no such file. */
  private final RandomAccessFile file;

  ResidentMemory() {
    file = open();
  }

  private static RandomAccessFile open() {
    try {
      return new RandomAccessFile(FILE, "r");
    } catch (IOException e) {
      return null;
    }
  }

  /** The resident memory in bytes; 0 if the platform does not tell. */
  long bytes() {
    if (file == null) {
      return 0;
    }
    try {
      file.seek(0);
      int length = file.read(content);
      Matcher resident =
          RESIDENT_KB.matcher(new String(content, 0, length, StandardCharsets.US_ASCII));
      return resident.find() ? Long.parseLong(resident.group(1)) * BYTES_PER_KB : 0;
    } catch (IOException | RuntimeException e) {
      return 0;
    }
  }

  @Override
  public void close() {
    if (file == null) {
      return;
    }
    try {
      file.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
