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

/**
 * A voter or learner of the Raft group that replicates the record. Every call has to come from the
 * thread of its {@link Scheduler}.
 */
public class Engine {
  /** Callbacks of the engine. */
  public interface Owner {
    /** Sends a message to a voter; it may be dropped. */
    void send(VoterId to, byte[] message);

    /** An entry was applied to {@link #record}, which is now at this index. */
    void entryApplied(long index, byte[] entry);

    /** A snapshot replaced {@link #record}, which is now at this index. */
    void snapshotInstalled(long index);

    /** This voter has become the leader of a term, or has stopped being the leader. */
    void leadershipChanged(boolean isLeader, int term);

    /** The engine has stopped and has to be restarted from the disk. */
    void restartRequired(String reason);

    /** The store has failed; this voter will not vote or acknowledge entries any more. */
    void storeFailed(IOException cause);
  }

  /**
   * Timing of an engine.
   *
   * @param heartbeatNanos interval of a leader's heartbeats
   * @param snapshotEveryEntries number of committed entries between two snapshots
   */
  public record Parameters(long heartbeatNanos, int snapshotEveryEntries) {}

  /** A voter starts an election after this many heartbeat intervals without a leader. */
  static final int LEADER_TIMEOUT_HEARTBEATS = 3;

  private static final Object READ_QUERY = new Object();
  private static final byte[] NEW_TERM_ENTRY = {};
  private static final int MAX_PENDING_ENTRIES = 5_000;
  private static final int MAX_ENTRIES_PER_APPEND = 200;

  private final VoterId self;
  private final Object groupId;
  private final Owner owner;
  private final Scheduler scheduler;
  private final VoterStore store;
  private final RaftNode node;
  private FleetRecord record = new FleetRecord();
  private long appliedIndex;
  private boolean stopped;
  private boolean wasLeader;
  private long lastLeaderContactNanos;

  /**
   * What an engine is created with.
   *
   * @param fleet the name of the fleet, used as the id of the Raft group
   * @param self the id of this voter
   * @param initialVoters the voters that the record was bootstrapped with
   * @param store the durable state of this voter
   * @param random used by this engine alone
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
   * Starts a voter, or a learner that waits to become one.
   *
   * @throws MalformedException if the store holds entries or a snapshot that cannot be decoded
   */
  public Engine(Setup setup) throws MalformedException {
    self = setup.self();
    groupId = setup.fleet();
    owner = setup.owner();
    scheduler = setup.scheduler();
    store = new VoterStore(setup.store(), this::storeFailed, this::restartAfterConflict);
    lastLeaderContactNanos = scheduler.nanos();
    Collection<RaftEndpoint> initialVoters = new LinkedHashSet<>(setup.initialVoters());
    EngineExecutor executor =
        new EngineExecutor(scheduler, setup.parameters().heartbeatNanos(), this::engineFault);
    RaftNode.RaftNodeBuilder builder =
        RaftNode.newBuilder()
            .setGroupId(groupId)
            .setConfig(
                RaftConfig.newBuilder()
                    .setLeaderHeartbeatPeriodSecs(1)
                    .setLeaderHeartbeatTimeoutSecs(LEADER_TIMEOUT_HEARTBEATS)
                    .setLeaderElectionTimeoutMillis(1_000)
                    .setAppendEntriesRequestBatchSize(MAX_ENTRIES_PER_APPEND)
                    .setMaxPendingLogEntryCount(MAX_PENDING_ENTRIES)
                    .setCommitCountToTakeSnapshot(setup.parameters().snapshotEveryEntries())
                    .setTransferSnapshotsFromFollowersEnabled(false)
                    .build())
            .setExecutor(executor)
            .setClock(executor)
            .setRandom(setup.random())
            .setTransport(new EngineTransport())
            .setStateMachine(new RecordStateMachine())
            .setModelFactory(Operations.MODELS)
            .setStore(store)
            .setRaftNodeReportListener(this::onReport);
    RestoredRaftState restored = VoterStore.restore(setup.store().recovered(), self, initialVoters);
    if (restored == null) {
      builder.setLocalEndpoint(self).setInitialGroupMembers(initialVoters);
    } else {
      builder.setRestoredState(restored);
    }
    node = builder.build();
    node.start();
  }

  /** The record with all entries applied so far. The owner must not modify it. */
  public FleetRecord record() {
    return record;
  }

  /**
   * The index of the last command or snapshot that was applied to the record. Membership changes
   * take an index too, but are not applied to the record.
   */
  public long appliedIndex() {
    return appliedIndex;
  }

  /** Whether this voter is the leader, as far as it knows. */
  public boolean isLeader() {
    return !stopped && self.equals(leader());
  }

  /** The leader as far as this voter knows, or null. */
  public VoterId leader() {
    return (VoterId) node.getTerm().getLeaderEndpoint();
  }

  public int term() {
    return node.getTerm().getTerm();
  }

  /** The voters, by the latest membership change in this voter's log, committed or not. */
  public List<VoterId> voters() {
    return node.getEffectiveMembers().getVotingMembers().stream().map(v -> (VoterId) v).toList();
  }

  /** The voters and the learners, by the same membership change. */
  public List<VoterId> votersAndLearners() {
    return node.getEffectiveMembers().getMembers().stream().map(v -> (VoterId) v).toList();
  }

  /**
   * Handles a message of another voter.
   *
   * @param from the member whose connection it came on
   * @throws MalformedException if it cannot be decoded, or names another sender
   */
  public void handle(String from, byte[] message) throws MalformedException {
    RaftMessage received = Messages.read(message, groupId);
    if (!((VoterId) received.getSender()).member().equals(from)) {
      throw new MalformedException(
          "a message in the name of " + received.getSender() + " came from " + from);
    }
    if (!stopped) {
      if (received instanceof AppendEntriesRequest || received instanceof InstallSnapshotRequest) {
        lastLeaderContactNanos = scheduler.nanos();
      }
      if (received instanceof AppendEntriesRequest request) {
        handleAppendEntries(request);
        return;
      }
      node.handle(received);
      if (received instanceof PreVoteResponse response) {
        adoptLaterTerm(response);
      }
    }
  }

  /**
   * Handles entries that follow this voter's snapshot. MicroRaft 0.7 does not find the log position
   * just after a snapshot while the log has entries there, and rejects every append at that
   * position: a voter that restarts with a snapshot and uncommitted entries would never accept an
   * entry again. So entries that are already in the log are left out of the request, and
   * conflicting ones are truncated first.
   */
  private void handleAppendEntries(AppendEntriesRequest request) {
    long previous = request.getPreviousLogIndex();
    List<LogEntry> entries = request.getLogEntries();
    // A request of an earlier term is rejected by the engine and must not truncate entries.
    if (request.getTerm() < term()
        || entries.isEmpty()
        || !store.hasEntriesAfterSnapshot(previous)) {
      node.handle(request);
      return;
    }
    int matching = 0;
    while (matching < entries.size() && store.has(entries.get(matching))) {
      matching++;
    }
    if (matching == 0) {
      try {
        store.truncateLogEntriesFrom(previous + 1);
        restartAfterConflict();
      } catch (IOException e) {
        // The store's failure has been reported to the owner.
      }
      return;
    }
    LogEntry last = entries.get(matching - 1);
    node.handle(
        Operations.MODELS
            .createAppendEntriesRequestBuilder()
            .setGroupId(request.getGroupId())
            .setSender(request.getSender())
            .setTerm(request.getTerm())
            .setPreviousLogTerm(last.getTerm())
            .setPreviousLogIndex(last.getIndex())
            .setCommitIndex(request.getCommitIndex())
            .setLogEntries(entries.subList(matching, entries.size()))
            .setQuerySequenceNumber(request.getQuerySequenceNumber())
            .setFlowControlSequenceNumber(request.getFlowControlSequenceNumber())
            .build());
  }

  /**
   * Adopts a later term from a denied pre-vote. MicroRaft 0.7 ignores the term in such a response:
   * of two voters, one with the longer log and one in the later term, each would then deny the
   * other's pre-vote forever. The engine does adopt the term of a vote request, so it is given one
   * that cannot be granted, as its candidate's log is empty.
   */
  private void adoptLaterTerm(PreVoteResponse response) {
    if (!response.isGranted() && isLaterTerm(response.getTerm())) {
      node.handle(
          Operations.MODELS
              .createVoteRequestBuilder()
              .setGroupId(groupId)
              .setSender(response.getSender())
              .setTerm(response.getTerm())
              .setLastLogTerm(0)
              .setLastLogIndex(0)
              .setSticky(false)
              .build());
    }
  }

  /**
   * Whether to adopt a term from a pre-vote response. The current term plus one may be the term of
   * this voter's own pre-vote request, echoed; adopting it would raise the term without end.
   */
  protected boolean isLaterTerm(int receivedTerm) {
    return receivedTerm > term() + 1;
  }

  /**
   * Whether this voter may request votes. MicroRaft 0.7 counts a candidate's own vote even if it is
   * no longer a voter: with one further vote of three, a former leader that was removed would win
   * an election and overwrite committed entries.
   */
  protected boolean mayRequestVotes() {
    return voters().contains(self);
  }

  /**
   * The time of the last message from a leader, of the last change of leadership, or of the start
   * if there was neither; on the scheduler's clock, in ns.
   */
  public long lastLeaderContactNanos() {
    return lastLeaderContactNanos;
  }

  /**
   * Replicates a command. Fails if this voter is not the leader, or if the outcome is unknown; see
   * {@link #isRefusal}.
   */
  public CompletableFuture<CommandResult> propose(Command.Numbered command) {
    if (stopped) {
      return CompletableFuture.failedFuture(new IllegalStateException("this voter has stopped"));
    }
    return node.<CommandResult>replicate(command.bytes()).thenApply(Ordered::getResult);
  }

  /**
   * Completes once a majority has confirmed, after the call, that this voter is the leader; a read
   * of the record is then linearizable: it reflects every response that was given before the call.
   * Fails if this voter is not the leader.
   */
  public CompletableFuture<Long> confirmLeadership() {
    if (stopped) {
      return CompletableFuture.failedFuture(new IllegalStateException("this voter has stopped"));
    }
    return node.<Long>query(
            READ_QUERY, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
        .thenCompose(read -> verifyApplied(read.getCommitIndex()));
  }

  /**
   * Checks that the record includes all entries up to an index. MicroRaft 0.7 may answer a query
   * before it applies the entries that are committed up to there, for instance in a leader that was
   * just elected and had not known of their commit. So the check runs in the next task of the
   * scheduler and fails if entries are still to be applied; the caller retries.
   */
  protected CompletableFuture<Long> verifyApplied(long index) {
    CompletableFuture<Long> done = new CompletableFuture<>();
    scheduler.execute(
        () -> {
          if (stopped || !store.isApplied(index)) {
            done.completeExceptionally(
                new IllegalStateException(
                    "this voter has stopped, or has not applied all committed entries yet"));
          } else {
            done.complete(index);
          }
        });
    return done;
  }

  /** Whether the command of a failed {@link #propose} is certain never to be committed. */
  public static boolean isRefusal(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof NotLeaderException || cause instanceof CannotReplicateException;
  }

  /**
   * Adds a member as a learner, which receives entries and has no vote: a new voter that is far
   * behind would delay commits. Completes with the index of the membership change once that is
   * committed.
   */
  public CompletableFuture<Long> addLearner(VoterId voter) {
    return changeMembership(voter, MembershipChangeMode.ADD_LEARNER)
        .thenApply(Ordered::getCommitIndex);
  }

  /** Makes a learner a voter. */
  public CompletableFuture<Void> promote(VoterId voter) {
    return changeMembership(voter, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER)
        .thenApply(x -> null);
  }

  /**
   * Transfers leadership to another voter; completes once that one leads, as far as this voter
   * knows.
   */
  public CompletableFuture<Void> transferLeadership(VoterId to) {
    return node.transferLeadership(to).thenApply(x -> null);
  }

  /** Removes a voter or learner from the group. */
  public CompletableFuture<Void> remove(VoterId voter) {
    if (!node.getEffectiveMembers().getMembers().contains(voter)) {
      return CompletableFuture.completedFuture(null);
    }
    return changeMembership(voter, MembershipChangeMode.REMOVE_MEMBER).thenApply(x -> null);
  }

  private CompletableFuture<Ordered<RaftGroupMembers>> changeMembership(
      VoterId voter, MembershipChangeMode mode) {
    return node.changeMembership(voter, mode, node.getCommittedMembers().getLogIndex());
  }

  /** Stops the engine at once. */
  public void stop() {
    stopped = true;
    node.terminate();
  }

  /**
   * Stops this voter after a failure of its store. No message is sent from then on: the engine
   * holds entries in memory that are not on the disk, and would acknowledge them with its next
   * message.
   */
  protected void storeFailed(IOException cause) {
    if (!stopped) {
      stop();
      owner.storeFailed(cause);
    }
  }

  /** Entries were truncated on the disk that the engine still holds in memory. */
  private void restartAfterConflict() {
    stop();
    owner.restartRequired("committed entries conflict with entries in the local log");
  }

  /**
   * Stops the engine after an exception in one of its own tasks. MicroRaft 0.7 throws there, for
   * instance, if it is terminated in the task that starts it, or if it transfers leadership to a
   * voter that is removed meanwhile; in the latter case it would stay the leader and accept no
   * command. Its state in memory is not used from then on.
   */
  private void engineFault(Throwable failure) {
    if (!stopped) {
      stop();
      owner.restartRequired(failure.toString());
    }
  }

  private void onReport(RaftNodeReport report) {
    boolean isLeaderNow =
        self.equals(report.getTerm().getLeaderEndpoint())
            && !RaftNodeStatus.isTerminal(report.getStatus());
    if (isLeaderNow != wasLeader) {
      wasLeader = isLeaderNow;
      lastLeaderContactNanos = scheduler.nanos();
      owner.leadershipChanged(isLeaderNow, report.getTerm().getTerm());
    }
  }

  private final class EngineTransport implements Transport {
    @Override
    public void send(RaftEndpoint to, RaftMessage message) {
      boolean requestsVotes = message instanceof VoteRequest || message instanceof PreVoteRequest;
      if (!stopped && (!requestsVotes || mayRequestVotes())) {
        owner.send((VoterId) to, Messages.write(message));
      }
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
      return true;
    }
  }

  private final class RecordStateMachine implements StateMachine {
    @Override
    public Object runOperation(long index, Object operation) {
      if (operation == READ_QUERY) {
        return index;
      }
      byte[] entry = (byte[]) operation;
      CommandResult result = record.applyEntry(index, entry);
      appliedIndex = index;
      store.markApplied(index);
      owner.entryApplied(index, entry);
      return result;
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> chunks) {
      // Membership changes take an index too, but the state machine is not called for them.
      record.advanceTo(index);
      chunks.accept(record.bytes());
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
      try {
        record = FleetRecord.read((byte[]) chunks.get(0));
      } catch (MalformedException e) {
        storeFailed(new IOException("the snapshot up to index " + index + " cannot be decoded", e));
        return;
      }
      record.advanceTo(index);
      appliedIndex = index;
      store.markApplied(index);
      owner.snapshotInstalled(index);
    }

    @Override
    public Object getNewTermOperation() {
      return NEW_TERM_ENTRY;
    }
  }
}
