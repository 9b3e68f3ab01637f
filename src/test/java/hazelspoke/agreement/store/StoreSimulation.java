package hazelspoke.agreement.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.UnaryOperator;

/**
 * Runs a store on a {@link SimDisk} with random calls, power failures and failing calls, all
 * derived from a seed. Each time the store is opened, its state has to be that after the last
 * durable call, or after one of the calls since.
 */
final class StoreSimulation {
  private static final int SEGMENT_BYTES = 400;
  private static final int STEPS = 120;

  /** The expected state of a store. */
  private record State(int term, String votedFor, Snapshot snapshot, List<Entry> entries) {
    long lastIndex() {
      return entries.isEmpty() ? snapshot.index() : entries.get(entries.size() - 1).index();
    }
  }

  private final Random random;
  private final SimDisk disk;
  private final Disk storeDisk;
  private RecordStore store;
  private State expected = new State(0, "", Snapshot.NONE, List.of());

  /** The states that the store may have when it is opened next. */
  private final List<State> possible = new ArrayList<>(List.of(expected));

  int openings;
  int failures;

  private StoreSimulation(long seed, UnaryOperator<Disk> mutant) {
    random = new Random(seed);
    disk = new SimDisk(seed);
    storeDisk = mutant.apply(disk);
  }

  /** Runs one seed; returns null, or a description of the failure. */
  static String run(long seed, UnaryOperator<Disk> mutant) {
    StoreSimulation simulation = new StoreSimulation(seed, mutant);
    try {
      simulation.open();
      for (int i = 0; i < STEPS; i++) {
        simulation.step();
      }
      return null;
    } catch (StoreDamagedException e) {
      return "reported as damaged: " + e.getMessage();
    } catch (IOException | AssertionError | IllegalArgumentException e) {
      return e.toString();
    }
  }

  private void open() throws IOException, StoreDamagedException {
    while (true) {
      try {
        if (random.nextInt(4) == 0) {
          disk.powerFailsIn = random.nextInt(12);
        }
        store = RecordStore.open(storeDisk, SEGMENT_BYTES);
        disk.powerFailsIn = -1;
        break;
      } catch (SimDisk.PowerFailure e) {
        disk.crash();
      }
    }
    openings++;
    RecoveredState recovered = store.recovered();
    State found =
        new State(
            recovered.term(), recovered.votedFor(), recovered.snapshot(), recovered.entries());
    if (!possible.contains(found)) {
      throw new AssertionError("found " + found + "; possible states: " + possible);
    }
    if (store.lastIndex() != found.lastIndex()) {
      throw new AssertionError("last index " + store.lastIndex() + " of " + found);
    }
    expected = found;
    markDurable();
  }

  private void markDurable() {
    possible.clear();
    possible.add(expected);
  }

  private void update(State next) {
    expected = next;
    possible.add(next);
  }

  private void step() throws IOException, StoreDamagedException {
    if (random.nextInt(12) == 0) {
      disk.powerFailsIn = random.nextInt(6);
    } else if (random.nextInt(40) == 0) {
      disk.failsIn = random.nextInt(6);
    }
    try {
      performRandomCall();
    } catch (SimDisk.PowerFailure e) {
      disk.crash();
      open();
    } catch (IOException e) {
      failures++;
      checkRejectsAllCalls();
      if (random.nextBoolean()) {
        disk.crash();
      }
      // Otherwise only the process restarts, and reads what is in the page cache.
      open();
    }
  }

  private void performRandomCall() throws IOException, StoreDamagedException {
    switch (random.nextInt(12)) {
      case 0, 1 -> {
        int term = expected.term() + 1 + random.nextInt(2);
        String vote = random.nextInt(4) == 0 ? "" : "g" + random.nextInt(5);
        update(new State(term, vote, expected.snapshot(), expected.entries()));
        store.saveVote(term, vote);
        markDurable();
      }
      case 2 -> {
        store.sync();
        markDurable();
      }
      case 3 -> {
        long from = expected.snapshot().index() + 1 + random.nextInt(expected.entries().size() + 2);
        List<Entry> remaining = expected.entries().stream().filter(e -> e.index() < from).toList();
        update(new State(expected.term(), expected.votedFor(), expected.snapshot(), remaining));
        store.truncateFrom(from);
      }
      case 4 -> snapshot();
      case 5 -> {
        disk.powerFailsIn = -1;
        disk.failsIn = -1;
        store.close();
        open();
      }
      default -> {
        byte[] data = new byte[random.nextInt(90)];
        random.nextBytes(data);
        Entry entry = new Entry(expected.lastIndex() + 1, expected.term(), data);
        List<Entry> more = new ArrayList<>(expected.entries());
        more.add(entry);
        update(
            new State(
                expected.term(), expected.votedFor(), expected.snapshot(), List.copyOf(more)));
        store.append(entry);
      }
    }
  }

  private void snapshot() throws IOException {
    long beyond = random.nextInt(6) == 0 ? 5 : 0;
    long index =
        expected.snapshot().index()
            + 1
            + beyond
            + random.nextInt(Math.max(1, expected.entries().size()));
    if (index > expected.lastIndex() && beyond == 0) {
      return;
    }
    byte[] data = new byte[random.nextInt(300)];
    random.nextBytes(data);
    Snapshot snapshot = new Snapshot(index, expected.term(), data);
    List<Entry> remaining = expected.entries().stream().filter(e -> e.index() > index).toList();
    update(new State(expected.term(), expected.votedFor(), snapshot, remaining));
    store.saveSnapshot(snapshot);
    markDurable();
  }

  private void checkRejectsAllCalls() {
    disk.failsIn = -1;
    disk.powerFailsIn = -1;
    for (int i = 0; i < 3; i++) {
      try {
        switch (i) {
          case 0 -> store.sync();
          case 1 -> store.saveVote(expected.term() + 9, "g9");
          default -> store.append(new Entry(store.lastIndex() + 1, 1, new byte[1]));
        }
        throw new AssertionError("a store that has failed accepts a call");
      } catch (IOException e) {
        // Expected: a store that has failed rejects every call.
      }
    }
  }
}
