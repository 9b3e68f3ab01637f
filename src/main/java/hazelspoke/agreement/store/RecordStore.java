package hazelspoke.agreement.store;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The durable memory of one voter; see the package. What a call has promised when it returns holds
 * through any crash; what was called before it holds then as well, in order.
 *
 * <p>After any {@link IOException} the store has failed: what it holds is still on the disk as far
 * as it was promised, and every further call fails at once. Whoever owns it steps down.
 */
public final class RecordStore implements AutoCloseable {
  /** From this size on the next frame begins another segment. */
  static final int SEGMENT_BYTES = 4 << 20;

  private static final String SEGMENT = "segment-";
  private static final String SNAPSHOT = "snapshot-";
  private static final String ASIDE = "aside-";

  private final Disk disk;
  private final int segmentBytes;

  /** The last index that each closed segment mentions, by its number. */
  private final TreeMap<Long, Long> closed = new TreeMap<>();

  private RecoveredState recovered;
  private int term;
  private String votedFor = "";
  private long snapshotIndex;
  private long lastIndex;
  private Disk.Output out;
  private long number;
  private long written;
  private long mentions;
  private boolean unsynced;
  private IOException failure;

  private RecordStore(Disk disk, int segmentBytes) {
    this.disk = disk;
    this.segmentBytes = segmentBytes;
  }

  /** Whether a folder holds a store, whole or not. */
  public static boolean existsIn(Disk disk) throws IOException {
    return disk.list().stream().anyMatch(f -> f.startsWith(SEGMENT) || f.startsWith(SNAPSHOT));
  }

  /**
   * Opens what is there, or begins anew in an empty folder. Nobody else may use the folder.
   *
   * @throws StoreDamagedException if what is there is not what was synced
   * @throws IOException if the disk fails; what is there is as it was
   */
  public static RecordStore open(Disk disk) throws IOException, StoreDamagedException {
    return open(disk, SEGMENT_BYTES);
  }

  static RecordStore open(Disk disk, int segmentBytes) throws IOException, StoreDamagedException {
    RecordStore store = new RecordStore(disk, segmentBytes);
    store.recover();
    return store;
  }

  /** What was there at opening. */
  public RecoveredState recovered() {
    return recovered;
  }

  /** The index that the snapshot goes up to; 0 for none. */
  public long snapshotIndex() {
    return snapshotIndex;
  }

  /** The index of the last entry, in the snapshot or after it; 0 before the first. */
  public long lastIndex() {
    return lastIndex;
  }

  /**
   * Keeps the term, and whom its owner votes for in it. Lasting when this returns: only then may a
   * vote leave.
   *
   * @param newTerm the term that its owner is in now
   * @param newVote empty for nobody yet
   * @throws IllegalArgumentException for a term that has passed, or a second vote in one term
   */
  public void saveVote(int newTerm, String newVote) throws IOException {
    boolean second = newTerm == term && !votedFor.isEmpty() && !votedFor.equals(newVote);
    if (newTerm < term || second) {
      throw new IllegalArgumentException(
          "term " + newTerm + " for " + newVote + " after term " + term + " for " + votedFor);
    }
    write(Frame.Kind.VOTE, Frame.numbers(newTerm), Frame.text(newVote));
    sync();
    term = newTerm;
    votedFor = newVote;
  }

  /**
   * Adds an entry. Lasting after {@link #sync}: only then may it be acknowledged.
   *
   * @throws IllegalArgumentException if it is not the next one
   */
  public void append(Entry entry) throws IOException {
    if (entry.index() != lastIndex + 1) {
      throw new IllegalArgumentException(entry + " does not follow " + lastIndex);
    }
    write(Frame.Kind.ENTRY, Frame.numbers(entry.index(), entry.term()), entry.data());
    // Of the segment that it went to, which may have begun with it.
    mentions = Math.max(mentions, entry.index());
    lastIndex = entry.index();
  }

  /**
   * Voids the entries from this one on; as lasting as an entry.
   *
   * @throws IllegalArgumentException if the snapshot stands for that one already
   */
  public void truncateFrom(long index) throws IOException {
    if (index <= snapshotIndex) {
      throw new IllegalArgumentException(index + " is in the snapshot up to " + snapshotIndex);
    }
    if (index <= lastIndex) {
      write(Frame.Kind.CUT, Frame.numbers(index));
      lastIndex = index - 1;
    }
  }

  /** Returns once all that was written before is lasting. */
  public void sync() throws IOException {
    check();
    if (unsynced) {
      try {
        out.sync();
      } catch (IOException e) {
        throw failed(e);
      }
      unsynced = false;
    }
  }

  /**
   * Puts a snapshot in the place of all entries up to its index, also of such as were never here:
   * then those that were are void. Lasting when this returns, and what was written before as well.
   *
   * @throws IllegalArgumentException if a later one is there
   */
  public void saveSnapshot(Snapshot snapshot) throws IOException {
    if (snapshot.index() <= snapshotIndex) {
      throw new IllegalArgumentException(snapshot + " after one up to " + snapshotIndex);
    }
    sync();
    byte[] numbers = Frame.numbers(snapshot.index(), snapshot.term());
    try {
      put(
          SNAPSHOT + name(snapshot.index()),
          Frame.of(Frame.Kind.SNAPSHOT, 0, numbers, snapshot.data()));
    } catch (IOException e) {
      throw failed(e);
    }
    long before = snapshotIndex;
    snapshotIndex = snapshot.index();
    lastIndex = Math.max(lastIndex, snapshotIndex);
    write(Frame.Kind.BASE, Frame.numbers(snapshotIndex));
    mentions = Math.max(mentions, snapshotIndex);
    sync();
    forget(before);
  }

  /** Writes a whole file aside, and gives it its name once all of it is lasting. */
  private void put(String name, byte[] bytes) throws IOException {
    try (Disk.Output aside = disk.create(ASIDE + name)) {
      aside.write(bytes);
      aside.sync();
    }
    disk.rename(ASIDE + name, name);
    disk.syncDirectory();
  }

  /** Takes away what the snapshot stands for; what is left of it after a crash goes later. */
  private void forget(long snapshotBefore) throws IOException {
    try {
      if (snapshotBefore > 0) {
        disk.delete(SNAPSHOT + name(snapshotBefore));
      }
      while (!closed.isEmpty() && closed.firstEntry().getValue() <= snapshotIndex) {
        disk.delete(SEGMENT + name(closed.firstKey()));
        closed.pollFirstEntry();
        // One after the other: a segment must not outlast the one before it.
        disk.syncDirectory();
      }
    } catch (IOException e) {
      throw failed(e);
    }
  }

  @Override
  public void close() throws IOException {
    out.close();
  }

  private void write(Frame.Kind kind, byte[]... parts) throws IOException {
    check();
    try {
      if (written >= segmentBytes) {
        out.sync();
        unsynced = false;
        out.close();
        closed.put(number, mentions);
        begin(number, written);
      }
      byte[] frame = Frame.of(kind, written, parts);
      out.write(frame);
      written += frame.length;
      unsynced = true;
    } catch (IOException e) {
      throw failed(e);
    }
  }

  /** Begins a segment behind another, of which so many bytes hold; lasting when this returns. */
  private void begin(long before, long holds) throws IOException {
    number = before + 1;
    mentions = snapshotIndex;
    out = disk.create(SEGMENT + name(number));
    byte[] head =
        Frame.of(
            Frame.Kind.SEGMENT,
            0,
            Frame.numbers(number, before, holds, term),
            Frame.text(votedFor));
    out.write(head);
    out.sync();
    disk.syncDirectory();
    written = head.length;
  }

  private void check() throws IOException {
    if (failure != null) {
      throw new IOException("the store has failed before", failure);
    }
  }

  private IOException failed(IOException cause) {
    failure = cause;
    return cause;
  }

  private static String name(long number) {
    return String.format(Locale.ROOT, "%016d", number);
  }

  private void recover() throws IOException, StoreDamagedException {
    Set<String> files = disk.list();
    for (String file : files) {
      if (file.startsWith(ASIDE)) {
        disk.delete(file);
      }
    }
    Snapshot snapshot = newestSnapshot(files);
    snapshotIndex = snapshot.index();
    Segments segments = new Segments(disk, snapshotIndex);
    for (String file : files.stream().filter(f -> f.startsWith(SEGMENT)).sorted().toList()) {
      segments.read(file);
    }
    segments.finish();
    term = segments.term;
    votedFor = segments.votedFor;
    lastIndex = segments.lastIndex();
    closed.putAll(segments.mentions);
    recovered =
        new RecoveredState(
            term, votedFor, snapshot, new ArrayList<>(segments.entries.values()), segments.cut);
    for (String empty : segments.headless) {
      disk.delete(empty);
    }
    disk.syncDirectory();
    if (segments.number > 0) {
      // Read from the system's memory, and perhaps not on the disk: a process that ended before it
      // had synced, or after a sync had failed, leaves pages that count as clean. Written anew,
      // they are dirty again.
      put(SEGMENT + name(segments.number), segments.newest());
    }
    begin(segments.number, segments.holds);
    if (snapshotIndex > 0) {
      // A crash may have kept this from being written, and what follows is counted from it.
      write(Frame.Kind.BASE, Frame.numbers(snapshotIndex));
      sync();
    }
    forgetOlder(files, snapshot);
  }

  /** What a crash has kept an earlier snapshot from taking away. */
  private void forgetOlder(Set<String> files, Snapshot newest) throws IOException {
    for (String file : files) {
      if (file.startsWith(SNAPSHOT) && !file.equals(SNAPSHOT + name(newest.index()))) {
        disk.delete(file);
      }
    }
    forget(0);
  }

  /** Renamed only once it was synced, so whatever has the name of one was whole. */
  private Snapshot newestSnapshot(Set<String> files) throws IOException, StoreDamagedException {
    String newest =
        files.stream().filter(f -> f.startsWith(SNAPSHOT)).max(String::compareTo).orElse(null);
    if (newest == null) {
      return Snapshot.NONE;
    }
    Frame frame = new Frame(disk.read(newest));
    if (frame.next() != Frame.Found.WHOLE || frame.kind() != Frame.Kind.SNAPSHOT) {
      throw new StoreDamagedException(newest, 0, "this snapshot is not whole");
    }
    ByteBuffer body = frame.body();
    long index = body.getLong();
    return new Snapshot(index, (int) body.getLong(), Frame.rest(body));
  }

  /** Reads the segments, oldest first. */
  private static final class Segments {
    private final Disk disk;
    private final long base;
    private final TreeMap<Long, Entry> entries = new TreeMap<>();
    private final Map<Long, Long> mentions = new TreeMap<>();
    private final List<String> headless = new ArrayList<>();
    private int term;
    private String votedFor = "";
    private long number;
    private long holds;
    private long cut;
    private long next = -1;
    private String file = "";
    private long damagedAt = -1;
    private byte[] bytes;

    Segments(Disk disk, long base) {
      this.disk = disk;
      this.base = base;
    }

    /** What holds of the newest one. */
    byte[] newest() {
      return Arrays.copyOf(bytes, (int) holds);
    }

    void read(String name) throws IOException, StoreDamagedException {
      byte[] read = disk.read(name);
      Frame frame = new Frame(read);
      Frame.Found found = frame.next();
      if (found == Frame.Found.TORN || found == Frame.Found.NOTHING) {
        // Its head was never synced, so nothing was written behind it; one more may follow.
        headless.add(name);
        return;
      }
      if (found == Frame.Found.DAMAGED || frame.kind() != Frame.Kind.SEGMENT) {
        throw new StoreDamagedException(name, 0, "this is no beginning of a segment");
      }
      ByteBuffer head = frame.body();
      long own = head.getLong();
      long before = head.getLong();
      long beforeHolds = head.getLong();
      if (number > 0) {
        endBefore(before, beforeHolds);
      }
      term = (int) head.getLong();
      votedFor = Frame.text(head);
      number = own;
      file = name;
      bytes = read;
      damagedAt = -1;
      mentions.put(own, base);
      frames(frame);
    }

    /** The one read before has to be the one that this follows, and whole as far as it says. */
    private void endBefore(long before, long beforeHolds) throws StoreDamagedException {
      if (before != number) {
        throw new StoreDamagedException(
            file, bytes.length, "the segment after this one is missing");
      }
      if (holds < beforeHolds) {
        throw new StoreDamagedException(file, holds, "this is not whole");
      }
      cut = 0;
    }

    private void frames(Frame frame) throws StoreDamagedException {
      while (true) {
        holds = frame.at();
        switch (frame.next()) {
          case WHOLE -> apply(frame);
          case NOTHING -> {
            return;
          }
          case TORN -> {
            cut = bytes.length - holds;
            return;
          }
          case DAMAGED -> {
            damagedAt = holds;
            return;
          }
        }
      }
    }

    private void apply(Frame frame) throws StoreDamagedException {
      Frame.Kind kind = frame.kind();
      if (kind == null) {
        throw new StoreDamagedException(file, holds, "written by a later version");
      }
      ByteBuffer body = frame.body();
      try {
        switch (kind) {
          case VOTE -> {
            term = (int) body.getLong();
            votedFor = Frame.text(body);
          }
          case ENTRY -> entry(body.getLong(), (int) body.getLong(), body);
          case CUT -> {
            long from = body.getLong();
            entries.tailMap(from, true).clear();
            next = from;
          }
          case BASE -> {
            long index = body.getLong();
            entries.headMap(index, true).clear();
            if (next >= 0) {
              // Else what came before it is gone, and may have gone further.
              next = Math.max(next, index + 1);
            }
            mention(index);
          }
          default -> throw new StoreDamagedException(file, holds, "a " + kind + " in a segment");
        }
      } catch (BufferUnderflowException | IllegalArgumentException e) {
        throw new StoreDamagedException(file, holds, "a " + kind + " that is none");
      }
    }

    private void entry(long index, int entryTerm, ByteBuffer body) throws StoreDamagedException {
      if (next >= 0 && index != next) {
        throw new StoreDamagedException(
            file, holds, "entry " + index + " where " + next + " was expected");
      }
      next = index + 1;
      mention(index);
      if (index > base) {
        entries.put(index, new Entry(index, entryTerm, Frame.rest(body)));
      }
    }

    private void mention(long index) {
      mentions.merge(number, index, Math::max);
    }

    void finish() throws StoreDamagedException {
      if (damagedAt >= 0) {
        throw new StoreDamagedException(file, damagedAt, "this is not what was written");
      }
      if (!entries.isEmpty() && entries.firstKey() != base + 1) {
        throw new StoreDamagedException(
            file,
            0,
            "entries from " + (base + 1) + " to " + (entries.firstKey() - 1) + " are missing");
      }
      if (number == 0 && base > 0) {
        throw new StoreDamagedException(SNAPSHOT + name(base), 0, "all segments are missing");
      }
    }

    long lastIndex() {
      return entries.isEmpty() ? base : entries.lastKey();
    }
  }
}
