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

/** Power failures, failing calls and flipped bytes, by simulation; and once on a real disk. */
class RecordStoreTest {
  /** More by {@code -Dstore.seeds=100000}. */
  private static final long SEEDS = Long.getLong("store.seeds", 20_000);

  /** Each mutant has to be found within so many. */
  private static final long MUTANT_SEEDS = 300;

  @Test
  void whateverIsCutOffAnywhereWhatWasPromisedIsThereAndInOrder() {
    String wrong =
        LongStream.range(0, SEEDS)
            .parallel()
            .mapToObj(seed -> wrong(seed, UnaryOperator.identity()))
            .filter(w -> w != null)
            .findFirst()
            .orElse(null);
    assertThat(wrong).isNull();
  }

  private static String wrong(long seed, UnaryOperator<Disk> mutant) {
    String wrong = StoreSimulation.run(seed, mutant);
    return wrong == null ? null : "seed " + seed + ": " + wrong;
  }

  /** A store that lacks one guard, as a disk that does not do it for the store. */
  private enum Mutant {
    NO_SYNC_BEFORE_A_VOTE_OR_AN_ACKNOWLEDGEMENT {
      @Override
      Disk of(Disk disk) {
        return new Passing(disk) {
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
      Disk of(Disk disk) {
        return new Passing(disk) {
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
      Disk of(Disk disk) {
        return new Passing(disk) {
          @Override
          public void syncDirectory() {}
        };
      }
    },
    WHAT_WAS_READ_AT_OPENING_COUNTS_AS_LASTING {
      @Override
      Disk of(Disk disk) {
        return new Passing(disk) {
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
      Disk of(Disk disk) {
        return new Passing(disk) {
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
      Disk of(Disk disk) {
        return new Passing(disk) {
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

    abstract Disk of(Disk disk);
  }

  @ParameterizedTest
  @EnumSource(Mutant.class)
  void aStoreThatLacksAGuardIsFound(Mutant mutant) {
    long seed = 0;
    while (seed < MUTANT_SEEDS && wrong(seed, mutant::of) == null) {
      seed++;
    }
    assertThat(seed).as("not found in so many seeds").isLessThan(MUTANT_SEEDS);
  }

  private static class Passing implements Disk {
    private final Disk disk;

    Passing(Disk disk) {
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
          Passing.this.write(out, bytes);
        }

        @Override
        public void sync() throws IOException {
          Passing.this.sync(name, out);
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

  /** Votes, entries, a cut, a snapshot, several segments. */
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

  /** A byte that is another one is never taken for a torn tail, wherever it is. */
  @Test
  void noFlippedByteMakesAVoterForget() throws Exception {
    SimDisk disk = new SimDisk(1);
    try (RecordStore store = RecordStore.open(disk, 200)) {
      fill(store);
    }
    RecoveredState right = RecordStore.open(disk.copy(), 200).recovered();
    assertThat(right.votedFor()).isEqualTo("g1");
    assertThat(right.entries()).hasSize(11);
    int damaged = 0;
    int flips = 0;
    for (String file : disk.list()) {
      int length = disk.read(file).length;
      for (int at = 0; at < length; at++) {
        for (int mask : new int[] {0x01, 0x10, 0x80, 0xff}) {
          SimDisk flipped = disk.copy();
          flipped.flip(file, at, mask);
          flips++;
          try {
            assertThat(RecordStore.open(flipped, 200).recovered())
                .as("%s at %d", file, at)
                .isEqualTo(right);
          } catch (StoreDamagedException e) {
            damaged++;
          }
        }
      }
    }
    // All but the end marks, which no whole frame needs.
    assertThat(damaged).isGreaterThan(flips * 9 / 10);
  }

  /** But for the newest segment: that is an older copy of the disk, which nobody can tell alone. */
  @Test
  void aFileThatIsMissingIsMissed() throws Exception {
    SimDisk disk = new SimDisk(1);
    try (RecordStore store = RecordStore.open(disk, 200)) {
      fill(store);
    }
    String newest =
        disk.list().stream().filter(f -> f.startsWith("segment")).max(String::compareTo).get();
    for (String file : disk.list()) {
      SimDisk less = disk.copy();
      less.delete(file);
      if (file.equals(newest)) {
        RecordStore.open(less, 200).close();
      } else {
        assertThatThrownBy(() -> RecordStore.open(less, 200))
            .as(file)
            .isInstanceOf(StoreDamagedException.class);
      }
    }
  }

  @Test
  void aSecondVoteInATermAndATermThatHasPassedAreRefused() throws Exception {
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
  void onARealDiskItIsFoundAgainAndATornTailIsCutOffAndSaid(@TempDir Path folder) throws Exception {
    Path data = folder.resolve("record");
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
