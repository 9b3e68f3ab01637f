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

/** A directory of the file system. */
public final class FileDisk implements Disk {
  private final Path directory;

  /** Creates the directory if it does not exist. */
  public FileDisk(Path directory) throws IOException {
    this.directory = Files.createDirectories(directory);
  }

  @Override
  public Set<String> list() throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files
          .filter(Files::isRegularFile)
          .map(file -> file.getFileName().toString())
          .collect(Collectors.toSet());
    }
  }

  @Override
  public byte[] read(String name) throws IOException {
    return Files.readAllBytes(directory.resolve(name));
  }

  @Override
  public Output create(String name) throws IOException {
    FileChannel channel =
        FileChannel.open(
            directory.resolve(name), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
    return new Output() {
      @Override
      public void write(byte[] bytes) throws IOException {
        ByteBuffer remaining = ByteBuffer.wrap(bytes);
        while (remaining.hasRemaining()) {
          channel.write(remaining);
        }
      }

      @Override
      public void sync() throws IOException {
        // Includes metadata: the length of the file has to be durable too.
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
    Files.move(directory.resolve(from), directory.resolve(to), StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.delete(directory.resolve(name));
  }

  @Override
  public void syncDirectory() throws IOException {
    try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }
}
