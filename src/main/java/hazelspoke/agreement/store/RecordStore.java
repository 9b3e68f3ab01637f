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
 * The durable state of one voter; see the package. Whatever a call guarantees to be durable when it
 * returns survives any crash, and so does every earlier write, in order.
 *
 * <p>After any {@link IOException} the store has failed: durable data is still on the disk, and
 * every further call fails at once. The owner has to stop voting and acknowledging.
 */
public final class RecordStore implements AutoCloseable {
  /** A segment that has reached this size is closed before the next frame is written. */
  static final int SEGMENT_BYTES = 4 << 20;

  private static final String SEGMENT = "segment-";
  private static final String SNAPSHOT = "snapshot-";
  private static final String TEMPORARY = "aside-";

  private final Disk disk;
  private final int segmentBytes;

  /** The highest index in each closed segment, by the segment's number. */
  private final TreeMap<Long, Long> closedSegments = new TreeMap<>();

  private RecoveredState recovered;
  private int term;
  private String votedFor = "";
  private long snapshotIndex;
  private long lastIndex;
  private Disk.Output out;
  private long number;
  private long segmentLength;
  private long highestIndex;
  private boolean unsynced;
  private IOException failure;

  private RecordStore(Disk disk, int segmentBytes) {
    this.disk = disk;
    this.segmentBytes = segmentBytes;
  }

  /** Whether a directory contains a store, complete or not. */
  public static boolean existsIn(Disk disk) throws IOException {
    return disk.list().stream().anyMatch(f -> f.startsWith(SEGMENT) || f.startsWith(SNAPSHOT));
  }

  /**
   * Opens the store of a directory, or creates one in an empty directory. Nobody else may use the
   * directory.
   *
   * @throws StoreDamagedException if the files differ from what was synced
   * @throws IOException if the disk fails; durable data is unchanged
   */
  public static RecordStore open(Disk disk) throws IOException, StoreDamagedException {
    return open(disk, SEGMENT_BYTES);
  }

  static RecordStore open(Disk disk, int segmentBytes) throws IOException, StoreDamagedException {
    RecordStore store = new RecordStore(disk, segmentBytes);
    store.recover();
    return store;
  }

  /** The state that was found when the store was opened. */
  public RecoveredState recovered() {
    return recovered;
  }

  /** The index of the last entry that the snapshot includes; 0 if there is no snapshot. */
  public long snapshotIndex() {
    return snapshotIndex;
  }

  /** The index of the last entry, in the snapshot or after it; 0 if there is none. */
  public long lastIndex() {
    return lastIndex;
  }

  /**
   * Stores the term and the vote in it. Durable when this returns; a vote must not be sent before.
   *
   * @param newTerm the owner's current term
   * @param newVote empty if the owner has not voted in this term
   * @throws IllegalArgumentException for an earlier term, or a second vote in one term
   */
  public void saveVote(int newTerm, String newVote) throws IOException {
    boolean secondVote = newTerm == term && !votedFor.isEmpty() && !votedFor.equals(newVote);
    if (newTerm < term || secondVote) {
      throw new IllegalArgumentException(
          "term " + newTerm + " for " + newVote + " after term " + term + " for " + votedFor);
    }
    write(Frame.Kind.VOTE, Frame.numbers(newTerm), Frame.text(newVote));
    sync();
    term = newTerm;
    votedFor = newVote;
  }

  /**
   * Appends an entry. Durable after {@link #sync}; it must not be acknowledged before.
   *
   * @throws IllegalArgumentException if it does not follow the last entry
   */
  public void append(Entry entry) throws IOException {
    if (entry.index() != lastIndex + 1) {
      throw new IllegalArgumentException(entry + " does not follow " + lastIndex);
    }
    write(Frame.Kind.ENTRY, Frame.numbers(entry.index(), entry.term()), entry.data());
    // Updated after the write, which may have started a new segment that the entry then belongs to.
    highestIndex = Math.max(highestIndex, entry.index());
    lastIndex = entry.index();
  }

  /**
   * Discards the entries from this index on; durable after {@link #sync}.
   *
   * @throws IllegalArgumentException if the snapshot includes this index
   */
  public void truncateFrom(long index) throws IOException {
    if (index <= snapshotIndex) {
      throw new IllegalArgumentException(
          index + " is included in the snapshot up to " + snapshotIndex);
    }
    if (index <= lastIndex) {
      write(Frame.Kind.CUT, Frame.numbers(index));
      lastIndex = index - 1;
    }
  }

  /** Returns once all earlier writes are durable. */
  public void sync() throws IOException {
    checkNotFailed();
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
   * Replaces all entries up to an index by a snapshot. If the log ends before that index, all its
   * entries are discarded. Durable when this returns, together with all earlier writes.
   *
   * @throws IllegalArgumentException if the store has this snapshot or a later one
   */
  public void saveSnapshot(Snapshot snapshot) throws IOException {
    if (snapshot.index() <= snapshotIndex) {
      throw new IllegalArgumentException(
          snapshot + " does not follow the snapshot up to " + snapshotIndex);
    }
    sync();
    byte[] numbers = Frame.numbers(snapshot.index(), snapshot.term());
    try {
      writeFile(
          SNAPSHOT + name(snapshot.index()),
          Frame.encode(Frame.Kind.SNAPSHOT, 0, numbers, snapshot.data()));
    } catch (IOException e) {
      throw failed(e);
    }
    long previousIndex = snapshotIndex;
    snapshotIndex = snapshot.index();
    lastIndex = Math.max(lastIndex, snapshotIndex);
    write(Frame.Kind.BASE, Frame.numbers(snapshotIndex));
    highestIndex = Math.max(highestIndex, snapshotIndex);
    sync();
    deleteReplacedFiles(previousIndex);
  }

  /** Writes a file under a temporary name, and renames it once all of it is durable. */
  private void writeFile(String name, byte[] bytes) throws IOException {
    try (Disk.Output file = disk.create(TEMPORARY + name)) {
      file.write(bytes);
      file.sync();
    }
    disk.rename(TEMPORARY + name, name);
    disk.syncDirectory();
  }

  /**
   * Deletes the files that the snapshot replaces; files that a crash leaves behind are deleted when
   * the store is opened.
   */
  private void deleteReplacedFiles(long previousIndex) throws IOException {
    try {
      if (previousIndex > 0) {
        disk.delete(SNAPSHOT + name(previousIndex));
      }
      while (!closedSegments.isEmpty() && closedSegments.firstEntry().getValue() <= snapshotIndex) {
        disk.delete(SEGMENT + name(closedSegments.firstKey()));
        closedSegments.pollFirstEntry();
        // One by one: an older segment must not reappear when a newer one is gone.
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
    checkNotFailed();
    try {
      if (segmentLength >= segmentBytes) {
        out.sync();
        unsynced = false;
        out.close();
        closedSegments.put(number, highestIndex);
        startSegment(number, segmentLength);
      }
      byte[] frame = Frame.encode(kind, segmentLength, parts);
      out.write(frame);
      segmentLength += frame.length;
      unsynced = true;
    } catch (IOException e) {
      throw failed(e);
    }
  }

  /**
   * Starts the segment after another one, of which the given number of bytes is valid; durable when
   * this returns.
   */
  private void startSegment(long previous, long previousLength) throws IOException {
    number = previous + 1;
    highestIndex = snapshotIndex;
    out = disk.create(SEGMENT + name(number));
    byte[] header =
        Frame.encode(
            Frame.Kind.SEGMENT,
            0,
            Frame.numbers(number, previous, previousLength, term),
            Frame.text(votedFor));
    out.write(header);
    out.sync();
    disk.syncDirectory();
    segmentLength = header.length;
  }

  private void checkNotFailed() throws IOException {
    if (failure != null) {
      throw new IOException("the store has already failed", failure);
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
      if (file.startsWith(TEMPORARY)) {
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
    closedSegments.putAll(segments.highestIndexes);
    recovered =
        new RecoveredState(
            term,
            votedFor,
            snapshot,
            new ArrayList<>(segments.entries.values()),
            segments.truncatedBytes);
    for (String name : segments.withoutHeader) {
      disk.delete(name);
    }
    disk.syncDirectory();
    if (segments.number > 0) {
      // The bytes were read from the page cache and may not be on the disk: a process that ended
      // before a sync, or after a failed one, can leave pages that count as clean. Writing them
      // again makes them dirty.
      writeFile(SEGMENT + name(segments.number), segments.newest());
    }
    startSegment(segments.number, segments.validLength);
    if (snapshotIndex > 0) {
      // A crash may have kept this frame from being written; the indexes of later entries are
      // checked against it.
      write(Frame.Kind.BASE, Frame.numbers(snapshotIndex));
      sync();
    }
    deleteOlderFiles(files, snapshot);
  }

  /** Deletes files that a crash left behind after an earlier snapshot. */
  private void deleteOlderFiles(Set<String> files, Snapshot newest) throws IOException {
    for (String file : files) {
      if (file.startsWith(SNAPSHOT) && !file.equals(SNAPSHOT + name(newest.index()))) {
        disk.delete(file);
      }
    }
    deleteReplacedFiles(0);
  }

  /**
   * A snapshot is renamed only after it was synced, so a file with a snapshot's name was complete
   * once.
   */
  private Snapshot newestSnapshot(Set<String> files) throws IOException, StoreDamagedException {
    String newest =
        files.stream().filter(f -> f.startsWith(SNAPSHOT)).max(String::compareTo).orElse(null);
    if (newest == null) {
      return Snapshot.NONE;
    }
    Frame frame = new Frame(disk.read(newest));
    if (frame.next() != Frame.ReadResult.WHOLE || frame.kind() != Frame.Kind.SNAPSHOT) {
      throw new StoreDamagedException(newest, 0, "this snapshot is incomplete");
    }
    ByteBuffer body = frame.body();
    long index = body.getLong();
    return new Snapshot(index, (int) body.getLong(), Frame.remaining(body));
  }

  /** Reads the segments, oldest first, and checks that they are consistent. */
  private static final class Segments {
    private final Disk disk;
    private final long snapshotIndex;
    private final TreeMap<Long, Entry> entries = new TreeMap<>();
    private final Map<Long, Long> highestIndexes = new TreeMap<>();
    private final List<String> withoutHeader = new ArrayList<>();
    private int term;
    private String votedFor = "";
    private long number;
    private long validLength;
    private long truncatedBytes;
    private long nextIndex = -1;
    private String file = "";
    private long damagedAt = -1;
    private byte[] bytes;

    Segments(Disk disk, long snapshotIndex) {
      this.disk = disk;
      this.snapshotIndex = snapshotIndex;
    }

    /** The valid bytes of the newest segment. */
    byte[] newest() {
      return Arrays.copyOf(bytes, (int) validLength);
    }

    void read(String name) throws IOException, StoreDamagedException {
      byte[] read = disk.read(name);
      Frame frame = new Frame(read);
      Frame.ReadResult result = frame.next();
      if (result == Frame.ReadResult.TORN || result == Frame.ReadResult.NOTHING) {
        // Its header was never synced, so nothing was written after it. Another such segment may
        // follow.
        withoutHeader.add(name);
        return;
      }
      if (result == Frame.ReadResult.DAMAGED || frame.kind() != Frame.Kind.SEGMENT) {
        throw new StoreDamagedException(name, 0, "this is not the header of a segment");
      }
      ByteBuffer header = frame.body();
      long ownNumber = header.getLong();
      long previous = header.getLong();
      long previousLength = header.getLong();
      if (number > 0) {
        checkPredecessor(previous, previousLength);
      }
      term = (int) header.getLong();
      votedFor = Frame.text(header);
      number = ownNumber;
      file = name;
      bytes = read;
      damagedAt = -1;
      highestIndexes.put(ownNumber, snapshotIndex);
      readFrames(frame);
    }

    /**
     * Checks that the segment read before is the predecessor that a header names, and has its valid
     * length.
     */
    private void checkPredecessor(long previous, long previousLength) throws StoreDamagedException {
      if (previous != number) {
        throw new StoreDamagedException(
            file, bytes.length, "the segment after this one is missing");
      }
      if (validLength < previousLength) {
        throw new StoreDamagedException(file, validLength, "this segment is incomplete");
      }
      truncatedBytes = 0;
    }

    private void readFrames(Frame frame) throws StoreDamagedException {
      while (true) {
        validLength = frame.offset();
        switch (frame.next()) {
          case WHOLE -> apply(frame);
          case NOTHING -> {
            return;
          }
          case TORN -> {
            truncatedBytes = bytes.length - validLength;
            return;
          }
          case DAMAGED -> {
            damagedAt = validLength;
            return;
          }
        }
      }
    }

    private void apply(Frame frame) throws StoreDamagedException {
      Frame.Kind kind = frame.kind();
      if (kind == null) {
        throw new StoreDamagedException(file, validLength, "written by a later version");
      }
      ByteBuffer body = frame.body();
      try {
        switch (kind) {
          case VOTE -> {
            term = (int) body.getLong();
            votedFor = Frame.text(body);
          }
          case ENTRY -> addEntry(body.getLong(), (int) body.getLong(), body);
          case CUT -> {
            long from = body.getLong();
            entries.tailMap(from, true).clear();
            nextIndex = from;
          }
          case BASE -> {
            long index = body.getLong();
            entries.headMap(index, true).clear();
            if (nextIndex >= 0) {
              // Otherwise the segments before it have been deleted, and their entries may have gone
              // beyond this index.
              nextIndex = Math.max(nextIndex, index + 1);
            }
            noteIndex(index);
          }
          default ->
              throw new StoreDamagedException(
                  file, validLength, "unexpected " + kind + " frame in a segment");
        }
      } catch (BufferUnderflowException | IllegalArgumentException e) {
        throw new StoreDamagedException(file, validLength, "malformed " + kind + " frame");
      }
    }

    private void addEntry(long index, int entryTerm, ByteBuffer body) throws StoreDamagedException {
      if (nextIndex >= 0 && index != nextIndex) {
        throw new StoreDamagedException(
            file, validLength, "entry " + index + " where " + nextIndex + " was expected");
      }
      nextIndex = index + 1;
      noteIndex(index);
      if (index > snapshotIndex) {
        entries.put(index, new Entry(index, entryTerm, Frame.remaining(body)));
      }
    }

    private void noteIndex(long index) {
      highestIndexes.merge(number, index, Math::max);
    }

    void finish() throws StoreDamagedException {
      if (damagedAt >= 0) {
        throw new StoreDamagedException(file, damagedAt, "the data differs from what was written");
      }
      if (!entries.isEmpty() && entries.firstKey() != snapshotIndex + 1) {
        throw new StoreDamagedException(
            file,
            0,
            "entries from "
                + (snapshotIndex + 1)
                + " to "
                + (entries.firstKey() - 1)
                + " are missing");
      }
      if (number == 0 && snapshotIndex > 0) {
        throw new StoreDamagedException(
            SNAPSHOT + name(snapshotIndex), 0, "all segments are missing");
      }
    }

    long lastIndex() {
      return entries.isEmpty() ? snapshotIndex : entries.lastKey();
    }
  }
}
