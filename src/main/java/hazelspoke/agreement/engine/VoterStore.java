package hazelspoke.agreement.engine;

import hazelspoke.agreement.store.Entry;
import hazelspoke.agreement.store.RecordStore;
import hazelspoke.agreement.store.RecoveredState;
import hazelspoke.agreement.store.Snapshot;
import hazelspoke.agreement.wire.Cbor;
import hazelspoke.agreement.wire.MalformedException;
import io.microraft.RaftEndpoint;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * The engine's door to the store. The engine logs what its store throws and goes on; a voter must
 * not, so the first failure is told to the owner before it is thrown.
 */
final class VoterStore implements RaftStore {
  /** A call that may fail. */
  private interface Call {
    void run() throws IOException;
  }

  private final RecordStore store;
  private final Consumer<IOException> onFailure;
  private final Runnable onConflict;

  /** The terms of the entries that are kept, by the first index that has each. */
  private final TreeMap<Long, Integer> terms = new TreeMap<>();

  /**
   * The entries that are kept and that the record is still to be told of, if they are agreed on.
   */
  private final TreeSet<Long> untold = new TreeSet<>();

  /**
   * @param onConflict is run when the disk has let go of entries that the engine still holds
   */
  VoterStore(RecordStore store, Consumer<IOException> onFailure, Runnable onConflict)
      throws MalformedException {
    this.store = store;
    this.onFailure = onFailure;
    this.onConflict = onConflict;
    for (Entry entry : store.recovered().entries()) {
      note(entry.index(), entry.term());
      if (Cbor.read(entry.data()).has(Operations.COMMAND)) {
        untold.add(entry.index());
      }
    }
  }

  /** The record was told of all up to this index. */
  void told(long index) {
    untold.headSet(index, true).clear();
  }

  /** Whether the record was told of all that is kept up to this index. */
  boolean isTold(long index) {
    return untold.isEmpty() || untold.first() > index;
  }

  private void note(long index, int term) {
    if (terms.isEmpty() || terms.lastEntry().getValue() != term) {
      terms.put(index, term);
    }
  }

  /**
   * What the engine is to go on from; null if there is nothing yet.
   *
   * @param self under whose name it was kept
   * @param founders the voters at the beginning
   * @throws MalformedException if an entry is not what an engine has written
   */
  static RestoredRaftState restore(
      RecoveredState from, VoterId self, Collection<RaftEndpoint> founders)
      throws MalformedException {
    if (from.term() == 0 && from.lastIndex() == 0) {
      return null;
    }
    RaftGroupMembersView founding = Operations.view(0, founders, founders);
    Collection<RaftEndpoint> voting = founders;
    boolean votedAtSnapshot = false;
    SnapshotEntry snapshot = null;
    if (from.snapshot().index() > 0) {
      Snapshot s = from.snapshot();
      SnapshotChunk chunk = Operations.chunk(s.index(), s.term(), Cbor.read(s.data()));
      voting = chunk.getGroupMembersView().getVotingMembers();
      // MicroRaft 0.7 begins with these, and fails at once where it would have to change its mind.
      votedAtSnapshot = voting.contains(self);
      snapshot =
          Operations.MODELS
              .createSnapshotEntryBuilder()
              .setIndex(s.index())
              .setTerm(s.term())
              .setSnapshotChunks(List.of(chunk))
              .setGroupMembersView(chunk.getGroupMembersView())
              .build();
    }
    List<LogEntry> entries = new ArrayList<>();
    for (Entry entry : from.entries()) {
      Object operation = Operations.read(Cbor.read(entry.data()));
      if (operation instanceof UpdateRaftGroupMembersOp change) {
        voting = change.getVotingMembers();
      }
      entries.add(Operations.entry(entry.index(), entry.term(), operation));
    }
    return new RestoredRaftState(
        Operations.MODELS
            .createRaftEndpointPersistentStateBuilder()
            .setLocalEndpoint(self)
            .setVoting(votedAtSnapshot || voting.contains(self))
            .build(),
        founding,
        Operations.MODELS
            .createRaftTermPersistentStateBuilder()
            .setTerm(from.term())
            .setVotedFor(from.votedFor().isEmpty() ? null : VoterId.parse(from.votedFor()))
            .build(),
        snapshot,
        entries);
  }

  /** Whether there are entries behind the snapshot that goes up to this index. */
  boolean isSnapshotBehindEntries(long index) {
    return index > 0 && index == store.snapshotIndex() && index < store.lastIndex();
  }

  /** Whether the entry behind the snapshot, or one after that, has this index and term. */
  boolean has(LogEntry entry) {
    return entry.getIndex() <= store.lastIndex()
        && terms.floorEntry(entry.getIndex()).getValue() == entry.getTerm();
  }

  private void run(Call call) throws IOException {
    try {
      call.run();
    } catch (IOException e) {
      onFailure.accept(e);
      throw e;
    } catch (IllegalArgumentException e) {
      IOException refused = new IOException("the engine asked for what must not be", e);
      onFailure.accept(refused);
      throw refused;
    }
  }

  /** Kept by the owner, with the folder's name. */
  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState self) {}

  /** Kept by the owner, with the folder's name. */
  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView founders) {}

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
    RaftEndpoint vote = term.getVotedFor();
    run(() -> store.saveVote(term.getTerm(), vote == null ? "" : vote.toString()));
  }

  @Override
  public void persistLogEntries(List<LogEntry> entries) throws IOException {
    run(
        () -> {
          for (LogEntry entry : entries) {
            byte[] data = Operations.bytes(Operations.fields(entry.getOperation()));
            store.append(new Entry(entry.getIndex(), entry.getTerm(), data));
            note(entry.getIndex(), entry.getTerm());
            if (entry.getOperation() instanceof byte[]) {
              untold.add(entry.getIndex());
            }
          }
        });
  }

  /**
   * Keeps a snapshot. One that comes from a leader may contradict what is here: then all from there
   * on is void (Raft's extended paper, figure 13). MicroRaft 0.7 keeps what lies behind it, and
   * refuses every entry from then on.
   */
  @Override
  public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
    long index = chunk.getIndex();
    Map.Entry<Long, Integer> here = terms.floorEntry(index);
    boolean conflict =
        index <= store.lastIndex() && here != null && here.getValue() != chunk.getTerm();
    byte[] data = Operations.bytes(Operations.fields(chunk));
    run(
        () -> {
          if (conflict) {
            store.truncateFrom(index);
            untold.tailSet(index, true).clear();
          }
          store.saveSnapshot(new Snapshot(index, chunk.getTerm(), data));
        });
    if (conflict) {
      onConflict.run();
    }
  }

  @Override
  public void truncateLogEntriesFrom(long index) throws IOException {
    run(() -> store.truncateFrom(index));
    terms.tailMap(index, true).clear();
    untold.tailSet(index, true).clear();
  }

  /** The store does so with each snapshot. */
  @Override
  public void truncateLogEntriesUntil(long index) {}

  /** A snapshot is of one piece, which takes the place of the one before. */
  @Override
  public void deleteSnapshotChunks(long index, int count) {}

  @Override
  public void flush() throws IOException {
    run(store::sync);
  }
}
