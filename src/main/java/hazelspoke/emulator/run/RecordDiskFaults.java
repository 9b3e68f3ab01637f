package hazelspoke.emulator.run;

import hazelspoke.emulator.script.Fault.Kind;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/** What a gateway keeps of the record, and what happens to it while no process uses it. */
final class RecordDiskFaults {
  /** At most so many bytes of a write that was broken off, and so many of zeros behind it. */
  private static final int MOST_TORN = 512;

  private final Path data;

  /**
   * @param data the gateway's data folder
   */
  RecordDiskFaults(Path data) {
    this.data = data;
  }

  /** Does to it what this kind of fault does. */
  void strike(Kind kind, SplittableRandom random) throws IOException {
    switch (kind) {
      case DISK_TORN -> tear(random);
      case DISK_FLIPPED -> flip(random);
      case DISK_LOST -> lose();
      default -> {
        // Done to the process.
      }
    }
  }

  private List<Path> segments() throws IOException {
    Path record = data.resolve("record");
    if (!Files.isDirectory(record)) {
      return List.of();
    }
    try (Stream<Path> files = Files.list(record)) {
      return files.filter(f -> f.getFileName().toString().startsWith("segment-")).sorted().toList();
    }
  }

  /** Of a write that was under way there may be any part; what was synced stays. */
  private void tear(SplittableRandom random) throws IOException {
    List<Path> segments = segments();
    if (!segments.isEmpty()) {
      Files.write(
          segments.get(segments.size() - 1),
          new byte[1 + random.nextInt(MOST_TORN)],
          StandardOpenOption.APPEND);
    }
  }

  private void flip(SplittableRandom random) throws IOException {
    List<Path> segments = segments();
    if (segments.isEmpty()) {
      return;
    }
    Path segment = segments.get(random.nextInt(segments.size()));
    byte[] bytes = Files.readAllBytes(segment);
    bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(Byte.SIZE));
    Files.write(segment, bytes);
  }

  private void lose() throws IOException {
    List<Path> all;
    try (Stream<Path> files = Files.walk(data)) {
      all = files.sorted(Comparator.reverseOrder()).toList();
    }
    for (Path file : all) {
      Files.delete(file);
    }
  }
}
