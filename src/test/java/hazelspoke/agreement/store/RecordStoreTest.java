package hazelspoke.agreement.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * The store under simulated power failures, failing calls and flipped bytes, and once on a real
 * disk.
 */
class RecordStoreTest {
  /** Can be raised, for instance with {@code -Dstore.seeds=100000}. */
  private static final long SEEDS = Long.getLong("store.seeds", 20_000);

  /** Every mutant has to be detected within this number of seeds. */
  private static final long MUTANT_SEEDS = 300;

  @Test
  void durableWritesSurvivePowerFailuresInOrder() {
    String failure =
        LongStream.range(0, SEEDS)
            .parallel()
            .mapToObj(seed -> failure(seed, UnaryOperator.identity()))
            .filter(w -> w != null)
            .findFirst()
            .orElse(null);
    assertThat(failure).isNull();
  }

  private static String failure(long seed, UnaryOperator<Disk> mutant) {
    String failure = StoreSimulation.run(seed, mutant);
    return failure == null ? null : "seed " + seed + ": " + failure;
  }

  /** A store that lacks one safeguard, simulated by a disk that leaves out the call. */
  private enum Mutant {
    NO_SYNC_BEFORE_A_VOTE_OR_AN_ACKNOWLEDGEMENT {
      @Override
      Disk wrap(Disk disk) {
        return new DelegatingDisk(disk) {
          @Override
          void sync(String name, Output out) throws IOException {
            if (!name.startsWith("segment-")) {
              out.sync();
            }
          }
        };
      }
    },
    NO_SYNC_BEFORE_THE_SNAPSHOT_GETS_ITS_NAME {
      @Override
      Disk wrap(Disk disk) {
        return new DelegatingDisk(disk) {
          @Override
          void sync(String name, Output out) throws IOException {
            if (!name.startsWith("aside-")) {
              out.sync();
            }
          }
        };
      }
    },
    NO_SYNC_OF_THE_FOLDER {
      @Override
      Disk wrap(Disk disk) {
        return new DelegatingDisk(disk) {
          @Override
          public void syncDirectory() {}
        };
      }
    },
    WHAT_WAS_READ_AT_OPENING_COUNTS_AS_LASTING {
      @Override
      Disk wrap(Disk disk) {
        return new DelegatingDisk(disk) {
          @Override
          public void rename(String from, String to) throws IOException {
            if (to.startsWith("segment-")) {
              delete(from);
            } else {
              super.rename(from, to);
            }
          }
        };
      }
    },
    A_SYNC_THAT_FAILED_IS_TRIED_AGAIN {
      @Override
      Disk wrap(Disk disk) {
        return new DelegatingDisk(disk) {
          @Override
          void sync(String name, Output out) throws IOException {
            try {
              out.sync();
            } catch (IOException e) {
              out.sync();
            }
          }
        };
      }
    },
    A_WRITE_THAT_FAILED_IS_PASSED_OVER {
      @Override
      Disk wrap(Disk disk) {
        return new DelegatingDisk(disk) {
          @Override
          void write(Output out, byte[] bytes) throws IOException {
            try {
              out.write(bytes);
            } catch (IOException e) {
              out.write(bytes);
            }
          }
        };
      }
    };

    abstract Disk wrap(Disk disk);
  }

  @ParameterizedTest
  @EnumSource(Mutant.class)
  void simulationDetectsMissingSafeguard(Mutant mutant) {
    long seed = 0;
    while (seed < MUTANT_SEEDS && failure(seed, mutant::wrap) == null) {
      seed++;
    }
    assertThat(seed).as("number of seeds without a failure").isLessThan(MUTANT_SEEDS);
  }

  private static class DelegatingDisk implements Disk {
    private final Disk disk;

    DelegatingDisk(Disk disk) {
      this.disk = disk;
    }

    void sync(String name, Output out) throws IOException {
      out.sync();
    }

    void write(Output out, byte[] bytes) throws IOException {
      out.write(bytes);
    }

    @Override
    public Set<String> list() throws IOException {
      return disk.list();
    }

    @Override
    public byte[] read(String name) throws IOException {
      return disk.read(name);
    }

    @Override
    public Output create(String name) throws IOException {
      Output out = disk.create(name);
      return new Output() {
        @Override
        public void write(byte[] bytes) throws IOException {
          DelegatingDisk.this.write(out, bytes);
        }

        @Override
        public void sync() throws IOException {
          DelegatingDisk.this.sync(name, out);
        }

        @Override
        public void close() throws IOException {
          out.close();
        }
      };
    }

    @Override
    public void rename(String from, String to) throws IOException {
      disk.rename(from, to);
    }

    @Override
    public void delete(String name) throws IOException {
      disk.delete(name);
    }

    @Override
    public void syncDirectory() throws IOException {
      disk.syncDirectory();
    }
  }

  /** Writes votes, entries, a truncation and a snapshot, in several segments. */
  private static void fill(RecordStore store) throws IOException {
    store.saveVote(3, "g2");
    for (int i = 1; i <= 12; i++) {
      store.append(new Entry(i, 3, ("entry " + i).getBytes()));
    }
    store.saveSnapshot(new Snapshot(5, 3, "up to five".getBytes()));
    store.truncateFrom(11);
    store.saveVote(4, "g1");
    for (int i = 11; i <= 16; i++) {
      store.append(new Entry(i, 4, ("again " + i).getBytes()));
    }
    store.sync();
  }

  /**
   * A flipped byte must never be mistaken for a torn tail, wherever it is: truncating there could
   * lose a vote.
   */
  @Test
  void flippedByteNeverLosesData() throws Exception {
    SimDisk disk = new SimDisk(1);
    try (RecordStore store = RecordStore.open(disk, 200)) {
      fill(store);
    }
    RecoveredState expected = RecordStore.open(disk.copy(), 200).recovered();
    assertThat(expected.votedFor()).isEqualTo("g1");
    assertThat(expected.entries()).hasSize(11);
    int damaged = 0;
    int flips = 0;
    for (String file : disk.list()) {
      int length = disk.read(file).length;
      for (int offset = 0; offset < length; offset++) {
        for (int mask : new int[] {0x01, 0x10, 0x80, 0xff}) {
          SimDisk flipped = disk.copy();
          flipped.flip(file, offset, mask);
          flips++;
          try {
            assertThat(RecordStore.open(flipped, 200).recovered())
                .as("%s at %d", file, offset)
                .isEqualTo(expected);
          } catch (StoreDamagedException e) {
            damaged++;
          }
        }
      }
    }
    // Only flipped end marks are tolerated, as a complete frame is valid without its end mark.
    assertThat(damaged).isGreaterThan(flips * 9 / 10);
  }

  /**
   * The newest segment is the exception: without it the files are an earlier state of the disk,
   * which cannot be told from them alone.
   */
  @Test
  void detectsMissingFile() throws Exception {
    SimDisk disk = new SimDisk(1);
    try (RecordStore store = RecordStore.open(disk, 200)) {
      fill(store);
    }
    String newest =
        disk.list().stream().filter(f -> f.startsWith("segment")).max(String::compareTo).get();
    for (String file : disk.list()) {
      SimDisk incomplete = disk.copy();
      incomplete.delete(file);
      if (file.equals(newest)) {
        RecordStore.open(incomplete, 200).close();
      } else {
        assertThatThrownBy(() -> RecordStore.open(incomplete, 200))
            .as(file)
            .isInstanceOf(StoreDamagedException.class);
      }
    }
  }

  @Test
  void rejectsSecondVoteInATermAndEarlierTerms() throws Exception {
    try (RecordStore store = RecordStore.open(new SimDisk(1))) {
      store.saveVote(2, "");
      store.saveVote(2, "g1");
      store.saveVote(2, "g1");
      assertThatThrownBy(() -> store.saveVote(2, "g2"))
          .isInstanceOf(IllegalArgumentException.class);
      assertThatThrownBy(() -> store.saveVote(1, "g1"))
          .isInstanceOf(IllegalArgumentException.class);
      assertThatThrownBy(() -> store.append(new Entry(2, 2, new byte[0])))
          .isInstanceOf(IllegalArgumentException.class);
    }
  }

  @Test
  void recoversFromRealDiskAndTruncatesTornTail(@TempDir Path directory) throws Exception {
    Path data = directory.resolve("record");
    try (RecordStore store = RecordStore.open(new FileDisk(data), 200)) {
      fill(store);
    }
    RecoveredState before;
    try (RecordStore store = RecordStore.open(new FileDisk(data), 200)) {
      before = store.recovered();
      store.append(new Entry(17, 4, new byte[50]));
    }
    Path newest;
    try (var files = Files.list(data)) {
      newest =
          files
              .filter(f -> f.getFileName().toString().startsWith("segment"))
              .max(Path::compareTo)
              .get();
    }
    byte[] bytes = Files.readAllBytes(newest);
    Files.write(newest, Arrays.copyOf(bytes, bytes.length - 30));
    try (RecordStore store = RecordStore.open(new FileDisk(data), 200)) {
      RecoveredState after = store.recovered();
      assertThat(after.entries()).isEqualTo(before.entries());
      assertThat(after.truncatedBytes()).isPositive();
      assertThat(after.votedFor()).isEqualTo("g1");
    }
  }
}
