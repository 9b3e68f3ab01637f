package hazelspoke.agreement.engine;

import hazelspoke.agreement.record.Command;
import hazelspoke.agreement.record.CommandResult;
import hazelspoke.agreement.record.FleetRecord;
import hazelspoke.agreement.store.RecordStore;
import hazelspoke.agreement.wire.MalformedException;
import io.microraft.MembershipChangeMode;
import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.exception.CannotReplicateException;
import io.microraft.exception.NotLeaderException;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftGroupMembers;
import io.microraft.report.RaftNodeReport;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;

/** One voter's part in keeping the record. All calls on its owner's turns. */
public class Engine {
  /** What the owner is told. */
  public interface Owner {
    /** Sends bytes to a voter, or drops them. */
    void send(VoterId to, byte[] message);

    /** An entry was applied; the engine's record stands there now. */
    void entryApplied(long index, byte[] entry);

    /** A snapshot took the place of the record; the engine's record stands there now. */
    void snapshotInstalled(long index);

    /** This voter has become the leader of a term, or has ceased to be. */
    void leadershipChanged(boolean isLeader, int term);

    /** Its engine cannot go on as it is, and is to be started anew from the disk. */
    void restartRequired(String reason);

    /** It will not vote or acknowledge any more. */
    void storeFailed(IOException cause);
  }

  /**
   * How an engine keeps time.
   *
   * @param heartbeatNanos between a leader's signs of life
   * @param snapshotEveryEntries so many entries
   */
  public record Parameters(long heartbeatNanos, int snapshotEveryEntries) {}

  /** Without a sign of a leader for so many heartbeats a voter calls for an election. */
  static final int HEARTBEATS_MISSED = 3;

  private static final Object READ = new Object();
  private static final byte[] NEW_TERM = {};
  private static final int MOST_PENDING = 5_000;
  private static final int BATCH = 200;

  private final VoterId self;
  private final Object group;
  private final Owner owner;
  private final Scheduler scheduler;
  private final VoterStore store;
  private final RaftNode node;
  private FleetRecord record = new FleetRecord();
  private long applied;
  private boolean muted;
  private boolean leads;
  private long lastLeaderContactNanos;

  /**
   * What an engine is made from.
   *
   * @param fleet its name; messages of another one's are refused
   * @param self whose vote it is
   * @param initialVoters the voters at the beginning of the record
   * @param store what it must not forget
   * @param random of this life alone
   */
  public record Setup(
      String fleet,
      VoterId self,
      Collection<VoterId> initialVoters,
      RecordStore store,
      Parameters parameters,
      Scheduler scheduler,
      Random random,
      Owner owner) {}

  /**
   * Starts a voter, or one that waits to be made one.
   *
   * @throws MalformedException if the store holds what no engine has written
   */
  public Engine(Setup setup) throws MalformedException {
    self = setup.self();
    group = setup.fleet();
    owner = setup.owner();
    scheduler = setup.scheduler();
    store = new VoterStore(setup.store(), this::storeFailed, this::part);
    lastLeaderContactNanos = scheduler.nanos();
    Collection<RaftEndpoint> first = new LinkedHashSet<>(setup.initialVoters());
    EngineExecutor time =
        new EngineExecutor(scheduler, setup.parameters().heartbeatNanos(), this::defect);
    RaftNode.RaftNodeBuilder builder =
        RaftNode.newBuilder()
            .setGroupId(group)
            .setConfig(
                RaftConfig.newBuilder()
                    .setLeaderHeartbeatPeriodSecs(1)
                    .setLeaderHeartbeatTimeoutSecs(HEARTBEATS_MISSED)
                    .setLeaderElectionTimeoutMillis(1_000)
                    .setAppendEntriesRequestBatchSize(BATCH)
                    .setMaxPendingLogEntryCount(MOST_PENDING)
                    .setCommitCountToTakeSnapshot(setup.parameters().snapshotEveryEntries())
                    .setTransferSnapshotsFromFollowersEnabled(false)
                    .build())
            .setExecutor(time)
            .setClock(time)
            .setRandom(setup.random())
            .setTransport(new Mail())
            .setStateMachine(new Machine())
            .setModelFactory(Operations.MODELS)
            .setStore(store)
            .setRaftNodeReportListener(this::report);
    RestoredRaftState restored = VoterStore.restore(setup.store().recovered(), self, first);
    if (restored == null) {
      builder.setLocalEndpoint(self).setInitialGroupMembers(first);
    } else {
      builder.setRestoredState(restored);
    }
    node = builder.build();
    node.start();
  }

  /** What the entries that were applied here have come to; its owner only reads it. */
  public FleetRecord record() {
    return record;
  }

  /**
   * The index of the last entry or snapshot that the record was told of here; a change of voters is
   * an entry that it is not told of.
   */
  public long appliedIndex() {
    return applied;
  }

  /** Whether it leads, as far as it knows. */
  public boolean isLeader() {
    return !muted && self.equals(leader());
  }

  /** The leader as far as it knows, or null. */
  public VoterId leader() {
    return (VoterId) node.getTerm().getLeaderEndpoint();
  }

  public int term() {
    return node.getTerm().getTerm();
  }

  /** Whose votes count, by the last change that this voter has heard of. */
  public List<VoterId> voters() {
    return node.getEffectiveMembers().getVotingMembers().stream().map(v -> (VoterId) v).toList();
  }

  /** The voters and those that are filled without a vote, by the same change. */
  public List<VoterId> votersAndLearners() {
    return node.getEffectiveMembers().getMembers().stream().map(v -> (VoterId) v).toList();
  }

  /**
   * Takes a message of another voter's.
   *
   * @param from the member that it came from
   * @throws MalformedException if it is none, or says that it is another's
   */
  public void handle(String from, byte[] message) throws MalformedException {
    RaftMessage read = Messages.read(message, group);
    if (!((VoterId) read.getSender()).member().equals(from)) {
      throw new MalformedException("a message of " + read.getSender() + " came from " + from);
    }
    if (!muted) {
      if (read instanceof AppendEntriesRequest || read instanceof InstallSnapshotRequest) {
        lastLeaderContactNanos = scheduler.nanos();
      }
      if (read instanceof AppendEntriesRequest request) {
        append(request);
        return;
      }
      node.handle(read);
      if (read instanceof PreVoteResponse response) {
        learnTerm(response);
      }
    }
  }

  /**
   * Takes entries that follow this voter's snapshot. MicroRaft 0.7 does not find the place behind a
   * snapshot while it has entries there, and turns down whatever is to follow: a voter that comes
   * back with a snapshot and entries that were never agreed on would take none any more. So what it
   * has already is left out of the request, and what contradicts it is cut off first.
   */
  private void append(AppendEntriesRequest request) {
    long previous = request.getPreviousLogIndex();
    List<LogEntry> entries = request.getLogEntries();
    // What a leader of an earlier term says contradicts nothing.
    if (request.getTerm() < term()
        || entries.isEmpty()
        || !store.isSnapshotBehindEntries(previous)) {
      node.handle(request);
      return;
    }
    int same = 0;
    while (same < entries.size() && store.has(entries.get(same))) {
      same++;
    }
    if (same == 0) {
      try {
        store.truncateLogEntriesFrom(previous + 1);
        part();
      } catch (IOException e) {
        // Its owner has been told.
      }
      return;
    }
    LogEntry last = entries.get(same - 1);
    node.handle(
        Operations.MODELS
            .createAppendEntriesRequestBuilder()
            .setGroupId(request.getGroupId())
            .setSender(request.getSender())
            .setTerm(request.getTerm())
            .setPreviousLogTerm(last.getTerm())
            .setPreviousLogIndex(last.getIndex())
            .setCommitIndex(request.getCommitIndex())
            .setLogEntries(entries.subList(same, entries.size()))
            .setQuerySequenceNumber(request.getQuerySequenceNumber())
            .setFlowControlSequenceNumber(request.getFlowControlSequenceNumber())
            .build());
  }

  /**
   * Takes over a later term from who would not vote. MicroRaft 0.7 leaves a term that it hears of
   * in such an answer alone: of two voters, one with the longer log and one in the later term, each
   * then turns the other down for ever. The engine takes a term over from a request for votes, so
   * it is given one that cannot be granted, as it comes from an empty log.
   */
  private void learnTerm(PreVoteResponse response) {
    if (!response.isGranted() && isLaterTerm(response.getTerm())) {
      node.handle(
          Operations.MODELS
              .createVoteRequestBuilder()
              .setGroupId(group)
              .setSender(response.getSender())
              .setTerm(response.getTerm())
              .setLastLogTerm(0)
              .setLastLogIndex(0)
              .setSticky(false)
              .build());
    }
  }

  /** The next term may only be the question's own, sent back; taken over, it would never end. */
  protected boolean isLaterTerm(int receivedTerm) {
    return receivedTerm > term() + 1;
  }

  /**
   * MicroRaft 0.7 counts a candidate's own vote also where it is no voter any more: one more vote
   * of three, and whoever had led and was removed would overwrite what was agreed on.
   */
  protected boolean mayRequestVotes() {
    return voters().contains(self);
  }

  /** When a leader's sign of life came last, or else the start; on its owner's clock, in ns. */
  public long lastLeaderContactNanos() {
    return lastLeaderContactNanos;
  }

  /**
   * Puts a command on the record; fails where this is no leader, or nobody knows what became of it.
   */
  public CompletableFuture<CommandResult> propose(Command.Numbered command) {
    if (muted) {
      return CompletableFuture.failedFuture(new IllegalStateException("this voter has failed"));
    }
    return node.<CommandResult>replicate(command.bytes()).thenApply(Ordered::getResult);
  }

  /**
   * Done once a majority has confirmed that this is the leader, after the call; what the record
   * says then is as new as any answer that was given before the call. Fails where this is no
   * leader.
   */
  public CompletableFuture<Long> confirmLeadership() {
    if (muted) {
      return CompletableFuture.failedFuture(new IllegalStateException("this voter has failed"));
    }
    return node.<Long>query(READ, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
        .thenCompose(read -> verifyApplied(read.getCommitIndex()));
  }

  /**
   * MicroRaft 0.7 may answer a question before it applies what was agreed on up to there, as in a
   * leader that was just elected, with all that it had not known to be agreed on before. So an
   * answer counts in the turn after, if the record was told of all by then; who asks does so again.
   */
  protected CompletableFuture<Long> verifyApplied(long index) {
    CompletableFuture<Long> done = new CompletableFuture<>();
    scheduler.execute(
        () -> {
          if (muted || !store.isTold(index)) {
            done.completeExceptionally(
                new IllegalStateException("this voter has failed, or applies what was agreed on"));
          } else {
            done.complete(index);
          }
        });
    return done;
  }

  /** Whether a failed {@link #propose} is certain never to come onto the record. */
  public static boolean isRefusal(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof NotLeaderException || cause instanceof CannotReplicateException;
  }

  /**
   * Has a member filled without a vote, as one that is far behind would hold up the others. Done
   * once that is agreed on, with the entry that says so.
   */
  public CompletableFuture<Long> addLearner(VoterId voter) {
    return change(voter, MembershipChangeMode.ADD_LEARNER).thenApply(Ordered::getCommitIndex);
  }

  /** Gives one that is filled its vote. */
  public CompletableFuture<Void> promote(VoterId voter) {
    return change(voter, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER).thenApply(x -> null);
  }

  /** Has another voter lead; done once it does, as far as this one knows. */
  public CompletableFuture<Void> transferLeadership(VoterId to) {
    return node.transferLeadership(to).thenApply(x -> null);
  }

  /** Ends a voter's vote. */
  public CompletableFuture<Void> remove(VoterId voter) {
    if (!node.getEffectiveMembers().getMembers().contains(voter)) {
      return CompletableFuture.completedFuture(null);
    }
    return change(voter, MembershipChangeMode.REMOVE_MEMBER).thenApply(x -> null);
  }

  private CompletableFuture<Ordered<RaftGroupMembers>> change(
      VoterId voter, MembershipChangeMode mode) {
    return node.changeMembership(voter, mode, node.getCommittedMembers().getLogIndex());
  }

  /** Ends it at once. */
  public void stop() {
    muted = true;
    node.terminate();
  }

  /**
   * Ends this voter. From here on nothing leaves: the engine has in memory what the disk lacks, and
   * would acknowledge it with its next sign of life.
   */
  protected void storeFailed(IOException why) {
    if (!muted) {
      stop();
      owner.storeFailed(why);
    }
  }

  /** The disk has let go of entries that the engine still holds. */
  private void part() {
    stop();
    owner.restartRequired("what was agreed on contradicts entries");
  }

  /**
   * MicroRaft 0.7 throws on turns of its own, such as when it is ended within the one in which it
   * starts, or hands its lead to a voter that is removed meanwhile; then it would lead on and take
   * nothing. What it holds in memory is not relied on from then on.
   */
  private void defect(Throwable what) {
    if (!muted) {
      stop();
      owner.restartRequired(what.toString());
    }
  }

  private void report(RaftNodeReport report) {
    boolean now =
        self.equals(report.getTerm().getLeaderEndpoint())
            && !RaftNodeStatus.isTerminal(report.getStatus());
    if (now != leads) {
      leads = now;
      lastLeaderContactNanos = scheduler.nanos();
      owner.leadershipChanged(now, report.getTerm().getTerm());
    }
  }

  private final class Mail implements Transport {
    @Override
    public void send(RaftEndpoint to, RaftMessage message) {
      boolean asksForVotes = message instanceof VoteRequest || message instanceof PreVoteRequest;
      if (!muted && (!asksForVotes || mayRequestVotes())) {
        owner.send((VoterId) to, Messages.write(message));
      }
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
      return true;
    }
  }

  private final class Machine implements StateMachine {
    @Override
    public Object runOperation(long index, Object operation) {
      if (operation == READ) {
        return index;
      }
      byte[] entry = (byte[]) operation;
      CommandResult answer = record.applyEntry(index, entry);
      applied = index;
      store.told(index);
      owner.entryApplied(index, entry);
      return answer;
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> pieces) {
      // A change of voters is an entry too, of which the machine is not told.
      record.advanceTo(index);
      pieces.accept(record.bytes());
    }

    @Override
    public void installSnapshot(long index, List<Object> pieces) {
      try {
        record = FleetRecord.read((byte[]) pieces.get(0));
      } catch (MalformedException e) {
        storeFailed(new IOException("the snapshot up to " + index + " is not readable", e));
        return;
      }
      record.advanceTo(index);
      applied = index;
      store.told(index);
      owner.snapshotInstalled(index);
    }

    @Override
    public Object getNewTermOperation() {
      return NEW_TERM;
    }
  }
}
