package hazelspoke.agreement.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** A folder of the system's. */
public final class FileDisk implements Disk {
  private final Path folder;

  /** The folder is made if it is not there. */
  public FileDisk(Path folder) throws IOException {
    this.folder = Files.createDirectories(folder);
  }

  @Override
  public Set<String> list() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(Files::isRegularFile)
          .map(file -> file.getFileName().toString())
          .collect(Collectors.toSet());
    }
  }

  @Override
  public byte[] read(String name) throws IOException {
    return Files.readAllBytes(folder.resolve(name));
  }

  @Override
  public Output create(String name) throws IOException {
    FileChannel channel =
        FileChannel.open(
            folder.resolve(name), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
    return new Output() {
      @Override
      public void write(byte[] bytes) throws IOException {
        ByteBuffer rest = ByteBuffer.wrap(bytes);
        while (rest.hasRemaining()) {
          channel.write(rest);
        }
      }

      @Override
      public void sync() throws IOException {
        // With the length of the file, which is not part of its data.
        channel.force(true);
      }

      @Override
      public void close() throws IOException {
        channel.close();
      }
    };
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.delete(folder.resolve(name));
  }

  @Override
  public void syncDirectory() throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }
}
