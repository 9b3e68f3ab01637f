package hazelspoke.takeover;

import java.io.IOException;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileChannel.MapMode;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * A file of fixed size that all processes at an address have mapped into their memory. What one of
 * them writes the others read at once, and it survives the process. The file stays when the last
 * one has ended.
 */
public final class SharedMemoryFile {
  private final Path file;
  private final int size;

  /**
   * Describes the file of the processes that share {@code folder} and serve at {@code address}.
   *
   * @param content names the content and the version of its format; processes of different versions
   *     share a file only if they understand the same format
   */
  public SharedMemoryFile(Path folder, String address, String content, int size) {
    file = SharedFolder.file(folder, address, content);
    this.size = size;
  }

  /**
   * Maps the file, which is created with zeros if there is none.
   *
   * @throws IOException if the file can neither be created nor mapped, or has another size
   */
  public MappedByteBuffer map() throws IOException {
    if (!Files.exists(file)) {
      create();
    }
    try (FileChannel channel =
        FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      if (channel.size() != size) {
        throw new IOException(
            "%s has %d bytes instead of %d".formatted(file, channel.size(), size));
      }
      return channel.map(MapMode.READ_WRITE, 0, size);
    }
  }

  /**
   * Creates the file in one step, so that no process maps an incomplete one. Its zeros are written,
   * as a mapped file with holes ends the process once the disk is full.
   */
  private void create() throws IOException {
    Path temporary = Files.createTempFile(file.getParent(), file.getFileName() + ".", ".new");
    try {
      Files.write(temporary, new byte[size]);
      Files.createLink(file, temporary);
    } catch (FileAlreadyExistsException e) {
      // Another process has created it in the meantime.
    } catch (UnsupportedOperationException e) {
      throw new IOException("no hard links in " + file.getParent(), e);
    } finally {
      Files.delete(temporary);
    }
  }
}
