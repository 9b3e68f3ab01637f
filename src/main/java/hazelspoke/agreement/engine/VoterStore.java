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
 * Adapts {@link RecordStore} to MicroRaft. MicroRaft logs exceptions of its store and continues,
 * which a voter must not do, so the owner is notified of a failure before it is thrown.
 */
final class VoterStore implements RaftStore {
  /** A write to the store. */
  private interface Write {
    void run() throws IOException;
  }

  private final RecordStore store;
  private final Consumer<IOException> onFailure;
  private final Runnable onConflict;

  /** The terms of the entries in the store, by the first index of each term. */
  private final TreeMap<Long, Integer> terms = new TreeMap<>();

  /**
   * The indexes of commands that are in the store and not applied to the record yet, committed or
   * not.
   */
  private final TreeSet<Long> unapplied = new TreeSet<>();

  /**
   * @param onConflict is run when entries were truncated on the disk that the engine still holds in
   *     memory
   */
  VoterStore(RecordStore store, Consumer<IOException> onFailure, Runnable onConflict)
      throws MalformedException {
    this.store = store;
    this.onFailure = onFailure;
    this.onConflict = onConflict;
    for (Entry entry : store.recovered().entries()) {
      recordTerm(entry.index(), entry.term());
      if (Cbor.read(entry.data()).has(Operations.COMMAND)) {
        unapplied.add(entry.index());
      }
    }
  }

  /** Notes that the record includes all entries up to this index. */
  void markApplied(long index) {
    unapplied.headSet(index, true).clear();
  }

  /** Whether all stored commands up to this index have been applied to the record. */
  boolean isApplied(long index) {
    return unapplied.isEmpty() || unapplied.first() > index;
  }

  private void recordTerm(long index, int term) {
    if (terms.isEmpty() || terms.lastEntry().getValue() != term) {
      terms.put(index, term);
    }
  }

  /**
   * The state to restore the engine from; null if the store is empty.
   *
   * @param self the voter that the state belongs to
   * @param initialVoters the voters that the record was bootstrapped with
   * @throws MalformedException if an entry or the snapshot cannot be decoded
   */
  static RestoredRaftState restore(
      RecoveredState recovered, VoterId self, Collection<RaftEndpoint> initialVoters)
      throws MalformedException {
    if (recovered.term() == 0 && recovered.lastIndex() == 0) {
      return null;
    }
    RaftGroupMembersView initialView = Operations.view(0, initialVoters, initialVoters);
    Collection<RaftEndpoint> voting = initialVoters;
    boolean votingAtSnapshot = false;
    SnapshotEntry snapshot = null;
    if (recovered.snapshot().index() > 0) {
      Snapshot stored = recovered.snapshot();
      SnapshotChunk chunk =
          Operations.chunk(stored.index(), stored.term(), Cbor.read(stored.data()));
      voting = chunk.getGroupMembersView().getVotingMembers();
      // MicroRaft 0.7 starts with the snapshot's members, and fails at once if the restored
      // endpoint's own role differs from them.
      votingAtSnapshot = voting.contains(self);
      snapshot =
          Operations.MODELS
              .createSnapshotEntryBuilder()
              .setIndex(stored.index())
              .setTerm(stored.term())
              .setSnapshotChunks(List.of(chunk))
              .setGroupMembersView(chunk.getGroupMembersView())
              .build();
    }
    List<LogEntry> entries = new ArrayList<>();
    for (Entry entry : recovered.entries()) {
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
            .setVoting(votingAtSnapshot || voting.contains(self))
            .build(),
        initialView,
        Operations.MODELS
            .createRaftTermPersistentStateBuilder()
            .setTerm(recovered.term())
            .setVotedFor(
                recovered.votedFor().isEmpty() ? null : VoterId.parse(recovered.votedFor()))
            .build(),
        snapshot,
        entries);
  }

  /** Whether the snapshot ends at this index and the log has entries after it. */
  boolean hasEntriesAfterSnapshot(long index) {
    return index > 0 && index == store.snapshotIndex() && index < store.lastIndex();
  }

  /** Whether the log after the snapshot has an entry of this index and term. */
  boolean has(LogEntry entry) {
    return entry.getIndex() <= store.lastIndex()
        && terms.floorEntry(entry.getIndex()).getValue() == entry.getTerm();
  }

  private void run(Write write) throws IOException {
    try {
      write.run();
    } catch (IOException e) {
      onFailure.accept(e);
      throw e;
    } catch (IllegalArgumentException e) {
      IOException rejected = new IOException("the engine requested an invalid write", e);
      onFailure.accept(rejected);
      throw rejected;
    }
  }

  /** Stored by the owner, with the store id. */
  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState self) {}

  /** Stored by the owner, with the store id. */
  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView initialVoters) {}

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
    RaftEndpoint votedFor = term.getVotedFor();
    run(() -> store.saveVote(term.getTerm(), votedFor == null ? "" : votedFor.toString()));
  }

  @Override
  public void persistLogEntries(List<LogEntry> entries) throws IOException {
    run(
        () -> {
          for (LogEntry entry : entries) {
            byte[] data = Operations.bytes(Operations.fields(entry.getOperation()));
            store.append(new Entry(entry.getIndex(), entry.getTerm(), data));
            recordTerm(entry.getIndex(), entry.getTerm());
            if (entry.getOperation() instanceof byte[]) {
              unapplied.add(entry.getIndex());
            }
          }
        });
  }

  /**
   * Writes a snapshot. One that comes from a leader may conflict with the local log: then all
   * entries from its index on are discarded (Raft's extended paper, figure 13). MicroRaft 0.7 keeps
   * the entries after it, and would reject every entry from then on.
   */
  @Override
  public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
    long index = chunk.getIndex();
    Map.Entry<Long, Integer> localTerm = terms.floorEntry(index);
    boolean conflict =
        index <= store.lastIndex() && localTerm != null && localTerm.getValue() != chunk.getTerm();
    byte[] data = Operations.bytes(Operations.fields(chunk));
    run(
        () -> {
          if (conflict) {
            store.truncateFrom(index);
            unapplied.tailSet(index, true).clear();
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
    unapplied.tailSet(index, true).clear();
  }

  /** The store does so with each snapshot. */
  @Override
  public void truncateLogEntriesUntil(long index) {}

  /** A snapshot has one chunk, which replaces the previous snapshot. */
  @Override
  public void deleteSnapshotChunks(long index, int count) {}

  @Override
  public void flush() throws IOException {
    run(store::sync);
  }
}
