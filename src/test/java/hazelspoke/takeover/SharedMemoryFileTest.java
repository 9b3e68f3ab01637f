package hazelspoke.takeover;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.MappedByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SharedMemoryFileTest {
  private static final int SIZE = 4_096;

  @TempDir Path folder;

  private SharedMemoryFile file(String address) {
    return new SharedMemoryFile(folder, address, "numbers-1", SIZE);
  }

  @Test
  void processesAtAnAddressShareTheirMemory() throws IOException {
    MappedByteBuffer first = file("127.0.0.1-8081").map();
    MappedByteBuffer second = file("127.0.0.1-8081").map();
    MappedByteBuffer elsewhere = file("127.0.0.1-8082").map();
    assertThat(second.getLong(8)).isZero();
    first.putLong(8, 17);
    assertThat(second.getLong(8)).isEqualTo(17);
    assertThat(file("127.0.0.1-8081").map().getLong(8)).isEqualTo(17);
    assertThat(elsewhere.getLong(8)).isZero();
    try (var files = Files.list(folder)) {
      assertThat(files).hasSize(2);
    }
  }

  @Test
  void rejectsFileOfAnotherSizeAndMissingFolder() throws IOException {
    file("here").map();
    SharedMemoryFile larger = new SharedMemoryFile(folder, "here", "numbers-1", 2 * SIZE);
    assertThatThrownBy(larger::map).isInstanceOf(IOException.class).hasMessageContaining("4096");
    SharedMemoryFile nowhere =
        new SharedMemoryFile(folder.resolve("missing"), "here", "numbers-1", SIZE);
    assertThatThrownBy(nowhere::map).isInstanceOf(IOException.class);
  }
}
