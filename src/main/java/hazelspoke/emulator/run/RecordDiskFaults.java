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

/** Damages a gateway's stored record while no process uses it. */
final class RecordDiskFaults {
  /** Maximum number of zero bytes that a torn write appends. */
  private static final int MAX_TORN_BYTES = 512;

  private final Path data;

  /**
   * @param data the gateway's data folder
   */
  RecordDiskFaults(Path data) {
    this.data = data;
  }

  /** Applies a disk fault. */
  void apply(Kind kind, SplittableRandom random) throws IOException {
    switch (kind) {
      case DISK_TORN -> tearLastWrite(random);
      case DISK_FLIPPED -> flipBit(random);
      case DISK_LOST -> deleteAll();
      default -> {
        // Applied to the process instead.
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

  /** Appends the zeros that an interrupted write may leave; synced data stays. */
  private void tearLastWrite(SplittableRandom random) throws IOException {
    List<Path> segments = segments();
    if (!segments.isEmpty()) {
      Files.write(
          segments.get(segments.size() - 1),
          new byte[1 + random.nextInt(MAX_TORN_BYTES)],
          StandardOpenOption.APPEND);
    }
  }

  private void flipBit(SplittableRandom random) throws IOException {
    List<Path> segments = segments();
    if (segments.isEmpty()) {
      return;
    }
    Path segment = segments.get(random.nextInt(segments.size()));
    byte[] bytes = Files.readAllBytes(segment);
    bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(Byte.SIZE));
    Files.write(segment, bytes);
  }

  private void deleteAll() throws IOException {
    List<Path> all;
    try (Stream<Path> files = Files.walk(data)) {
      all = files.sorted(Comparator.reverseOrder()).toList();
    }
    for (Path file : all) {
      Files.delete(file);
    }
  }
}
