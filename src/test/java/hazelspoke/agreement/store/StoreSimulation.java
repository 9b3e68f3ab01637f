package hazelspoke.agreement.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.UnaryOperator;

/**
 * Drives a store over a {@link SimDisk} with calls, power failures and failing calls drawn from a
 * seed, and holds what it finds at each opening against what it was promised: the state after the
 * last call that promised to last, or after one of those that came since.
 */
final class StoreSimulation {
  private static final int SEGMENT_BYTES = 400;
  private static final int STEPS = 120;

  /** What a store holds, as its caller sees it. */
  private record State(int term, String votedFor, Snapshot snapshot, List<Entry> entries) {
    long last() {
      return entries.isEmpty() ? snapshot.index() : entries.get(entries.size() - 1).index();
    }
  }

  private final Random random;
  private final SimDisk disk;
  private final Disk seen;
  private RecordStore store;
  private State now = new State(0, "", Snapshot.NONE, List.of());

  /** The states that may be found at the next opening. */
  private final List<State> possible = new ArrayList<>(List.of(now));

  int openings;
  int failures;

  private StoreSimulation(long seed, UnaryOperator<Disk> mutant) {
    random = new Random(seed);
    disk = new SimDisk(seed);
    seen = mutant.apply(disk);
  }

  /** Runs one seed; returns null, or what was wrong. */
  static String run(long seed, UnaryOperator<Disk> mutant) {
    StoreSimulation s = new StoreSimulation(seed, mutant);
    try {
      s.open();
      for (int i = 0; i < STEPS; i++) {
        s.step();
      }
      return null;
    } catch (StoreDamagedException e) {
      return "taken for damaged: " + e.getMessage();
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
        store = RecordStore.open(seen, SEGMENT_BYTES);
        disk.powerFailsIn = -1;
        break;
      } catch (SimDisk.PowerFailure e) {
        disk.crash();
      }
    }
    openings++;
    RecoveredState r = store.recovered();
    State found = new State(r.term(), r.votedFor(), r.snapshot(), r.entries());
    if (!possible.contains(found)) {
      throw new AssertionError("found " + found + "; possible were " + possible);
    }
    if (store.lastIndex() != found.last()) {
      throw new AssertionError("last index " + store.lastIndex() + " of " + found);
    }
    now = found;
    lasts();
  }

  private void lasts() {
    possible.clear();
    possible.add(now);
  }

  private void becomes(State next) {
    now = next;
    possible.add(next);
  }

  private void step() throws IOException, StoreDamagedException {
    if (random.nextInt(12) == 0) {
      disk.powerFailsIn = random.nextInt(6);
    } else if (random.nextInt(40) == 0) {
      disk.failsIn = random.nextInt(6);
    }
    try {
      act();
    } catch (SimDisk.PowerFailure e) {
      disk.crash();
      open();
    } catch (IOException e) {
      failures++;
      refusesAll();
      if (random.nextBoolean()) {
        disk.crash();
      }
      // Else only the process starts again, and reads what the system has kept in memory.
      open();
    }
  }

  private void act() throws IOException, StoreDamagedException {
    switch (random.nextInt(12)) {
      case 0, 1 -> {
        int term = now.term() + 1 + random.nextInt(2);
        String vote = random.nextInt(4) == 0 ? "" : "g" + random.nextInt(5);
        becomes(new State(term, vote, now.snapshot(), now.entries()));
        store.saveVote(term, vote);
        lasts();
      }
      case 2 -> {
        store.sync();
        lasts();
      }
      case 3 -> {
        long from = now.snapshot().index() + 1 + random.nextInt(now.entries().size() + 2);
        List<Entry> left = now.entries().stream().filter(e -> e.index() < from).toList();
        becomes(new State(now.term(), now.votedFor(), now.snapshot(), left));
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
        Entry entry = new Entry(now.last() + 1, now.term(), data);
        List<Entry> more = new ArrayList<>(now.entries());
        more.add(entry);
        becomes(new State(now.term(), now.votedFor(), now.snapshot(), List.copyOf(more)));
        store.append(entry);
      }
    }
  }

  private void snapshot() throws IOException {
    long beyond = random.nextInt(6) == 0 ? 5 : 0;
    long index =
        now.snapshot().index() + 1 + beyond + random.nextInt(Math.max(1, now.entries().size()));
    if (index > now.last() && beyond == 0) {
      return;
    }
    byte[] data = new byte[random.nextInt(300)];
    random.nextBytes(data);
    Snapshot snapshot = new Snapshot(index, now.term(), data);
    List<Entry> left = now.entries().stream().filter(e -> e.index() > index).toList();
    becomes(new State(now.term(), now.votedFor(), snapshot, left));
    store.saveSnapshot(snapshot);
    lasts();
  }

  private void refusesAll() {
    disk.failsIn = -1;
    disk.powerFailsIn = -1;
    for (int i = 0; i < 3; i++) {
      try {
        switch (i) {
          case 0 -> store.sync();
          case 1 -> store.saveVote(now.term() + 9, "g9");
          default -> store.append(new Entry(store.lastIndex() + 1, 1, new byte[1]));
        }
        throw new AssertionError("a store that has failed goes on");
      } catch (IOException expected) {
        // As promised.
      }
    }
  }
}
