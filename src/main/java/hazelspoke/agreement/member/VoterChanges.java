package hazelspoke.agreement.member;

import hazelspoke.agreement.engine.Engine;
import hazelspoke.agreement.engine.Scheduler;
import hazelspoke.agreement.engine.VoterId;
import hazelspoke.agreement.record.Session;
import hazelspoke.agreement.record.Session.Status;
import hazelspoke.agreement.wire.Cbor;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * The leader's changes of the set of voters. A new voter first receives the record without a vote:
 * with a vote it would at once count towards a majority that it cannot join yet. Members that the
 * settings name as voters have an engine; any other member starts one when it is invited, and keeps
 * it. An earlier voter of the same member with another store is removed last, as the fleet may need
 * its vote until then.
 */
final class VoterChanges {
  /** A member did not receive the record in time; the message is for operators. */
  private static final class NotCaughtUpException extends RuntimeException {
    private static final long serialVersionUID = 1;

    NotCaughtUpException(String message) {
      super(message);
    }
  }

  /** A member that is being made a voter. */
  private static final class Invitee {
    final VoterId voter;
    final String storeId;
    final CompletableFuture<Void> caughtUp = new CompletableFuture<>();

    /** The complete change; a repeated request for a pending change returns the same future. */
    CompletableFuture<Void> added;

    /** Null until the entry that adds the member without a vote is committed. */
    StoreIdentity.Invitation invitation;

    /** The index that the member's record has to reach. */
    long requiredIndex;

    Invitee(VoterId voter, String storeId) {
      this.voter = voter;
      this.storeId = storeId;
    }
  }

  /** Separates a store id from the suffix that distinguishes the voters of the same store. */
  private static final String VOTER_ID_SEPARATOR = "+";

  /** How many lease durations a member has to receive the record. */
  private static final int CATCH_UP_LEASES = 6;

  /** More voters would slow down every entry without a useful gain in fault tolerance. */
  private static final int MAX_VOTERS = 7;

  private final Scheduler scheduler;
  private final Transport transport;

  /** The interval between two invitations. */
  private final long inviteIntervalNanos;

  /** How long a member has to receive the record. */
  private final long catchUpTimeoutNanos;

  private final Map<String, Invitee> invitees = new HashMap<>();
  private final String self;
  private final Random random;
  private final Components components;
  private Engine engine;
  private int transfers;
  private List<VoterId> founders = List.of();

  VoterChanges(
      MemberSettings settings,
      Random random,
      Scheduler scheduler,
      Transport transport,
      Components components) {
    self = settings.self();
    inviteIntervalNanos = 2 * settings.heartbeatNanos();
    catchUpTimeoutNanos = CATCH_UP_LEASES * settings.leaseNanos();
    this.components = components;
    this.random = random;
    this.scheduler = scheduler;
    this.transport = transport;
  }

  void start(Engine engine, List<VoterId> founders) {
    stop();
    this.engine = engine;
    this.founders = List.copyOf(founders);
  }

  /** Fails all pending changes, as this member is no longer the leader. */
  void stop() {
    for (Invitee invitee : List.copyOf(invitees.values())) {
      invitee.caughtUp.completeExceptionally(new IllegalStateException("no longer the leader"));
    }
  }

  /**
   * Returns the message for operators if a member did not receive the record in time; else null.
   */
  static String catchUpFailure(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof NotCaughtUpException ? cause.getMessage() : null;
  }

  /**
   * Returns why a change is rejected, for operators; null if it is allowed.
   *
   * @param session the session of the member, or null
   */
  String rejection(boolean add, String member, Session session) {
    List<VoterId> voters = engine.voters();
    long others = voters.stream().filter(v -> !v.member().equals(member)).count();
    if (add && (session == null || session.status() != Status.THERE)) {
      return member + " is not active: only an active member can become a voter";
    }
    if (add && others >= MAX_VOTERS) {
      return "there are " + MAX_VOTERS + " voters already";
    }
    if (!add && others < voters.size() && others < components.minVoters()) {
      return others + " voters would be left, and no loss borne: add another one first";
    }
    return null;
  }

  /**
   * Makes a member a voter, under a new voter id. Fails if the member does not receive the record
   * in time; it then keeps receiving it without a vote until the change is requested again.
   *
   * @param storeId the id of the member's store
   */
  CompletableFuture<Void> add(String member, String storeId) {
    Invitee pending = invitees.get(member);
    if (pending != null && pending.storeId.equals(storeId)) {
      return pending.added;
    }
    if (engine.voters().stream()
        .anyMatch(v -> v.member().equals(member) && belongsTo(v, storeId))) {
      return CompletableFuture.completedFuture(null);
    }
    VoterId voter =
        new VoterId(member, storeId + VOTER_ID_SEPARATOR + Integer.toHexString(random.nextInt()));
    Invitee invitee = new Invitee(voter, storeId);
    invitees.put(member, invitee);
    invitee.added =
        engine
            .addLearner(voter)
            .thenCompose(
                entry -> {
                  invitee.invitation =
                      new StoreIdentity.Invitation(voter.storeId(), engine.term(), entry);
                  // The record counts applied entries; a change of voters, such as this one, is
                  // none.
                  invitee.requiredIndex = engine.record().index();
                  invite(invitee, scheduler.nanos() + catchUpTimeoutNanos);
                  return invitee.caughtUp;
                })
            .thenCompose(x -> removeOthers(member, voter))
            .thenCompose(x -> engine.promote(voter));
    invitee.added.whenComplete((x, failure) -> invitees.remove(member, invitee));
    return invitee.added;
  }

  /** A founder votes under its store id, any later voter under the store id with a suffix. */
  private static boolean belongsTo(VoterId voter, String storeId) {
    return voter.storeId().equals(storeId)
        || voter.storeId().startsWith(storeId + VOTER_ID_SEPARATOR);
  }

  private void invite(Invitee invitee, long deadlineNanos) {
    if (invitee.caughtUp.isDone()) {
      return;
    }
    if (scheduler.nanos() - deadlineNanos >= 0) {
      invitee.caughtUp.completeExceptionally(
          new NotCaughtUpException(
              invitee.voter.member()
                  + " did not receive the record in time and has no vote yet; try again"));
      return;
    }
    Map<String, Object> out = Packets.ofKind(Packets.INVITE);
    out.put("home", invitee.storeId);
    out.put("founders", founders.stream().map(VoterId::toString).toList());
    invitee.invitation.write(out);
    transport.send(invitee.voter.member(), Cbor.write(out));
    scheduler.schedule(inviteIntervalNanos, () -> invite(invitee, deadlineNanos));
  }

  /** Handles a member's report of the index up to which it has the record. */
  void caughtUp(String member, String voterStoreId, long index) {
    Invitee invitee = invitees.get(member);
    if (invitee != null
        && invitee.invitation != null
        && invitee.invitation.voterStoreId().equals(voterStoreId)
        && index >= invitee.requiredIndex) {
      invitee.caughtUp.complete(null);
    }
  }

  /**
   * Removes a voter, whatever its store. A leader that is to remove itself first transfers the
   * leadership and fails this call, so that the caller repeats it at the new leader.
   */
  CompletableFuture<Void> remove(String member) {
    if (!member.equals(self) || !components.transfersLeadershipBeforeOwnRemoval()) {
      return removeOthers(member, null);
    }
    List<VoterId> others =
        engine.voters().stream().filter(v -> !v.member().equals(member)).toList();
    return engine
        .transferLeadership(others.get(transfers++ % others.size()))
        .thenRun(
            () -> {
              throw new IllegalStateException("no longer the leader");
            });
  }

  private CompletableFuture<Void> removeOthers(String member, VoterId kept) {
    CompletableFuture<Void> change = CompletableFuture.completedFuture(null);
    for (VoterId voter : engine.votersAndLearners()) {
      if (voter.member().equals(member) && !voter.equals(kept)) {
        change = change.thenCompose(x -> engine.remove(voter));
      }
    }
    return change;
  }
}
