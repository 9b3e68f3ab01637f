package hazelspoke.agreement.member;

import hazelspoke.agreement.engine.Engine;
import hazelspoke.agreement.engine.Turns;
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
 * How a leader makes a member a voter. It is filled first, without a vote: one that counted at once
 * would be needed for a majority that it cannot be part of yet. Members that the file names as
 * voters have an engine; any other starts one when it is invited, and keeps it. Whoever stood under
 * the member's name before with another folder loses its vote at the last moment, as until then the
 * fleet may need it.
 */
final class VoterChanges {
  /** A member was not filled in time; the message is for operators. */
  private static final class NotCaughtUpException extends RuntimeException {
    private static final long serialVersionUID = 1;

    NotCaughtUpException(String message) {
      super(message);
    }
  }

  /** One that is being filled. */
  private static final class Invitee {
    final VoterId voter;
    final String storeId;
    final CompletableFuture<Void> caughtUp = new CompletableFuture<>();

    /** All of it: asked for again while it is under way, it is the same. */
    CompletableFuture<Void> added;

    /** Null until it is agreed that it is filled. */
    StoreIdentity.Invitation invitation;

    /** Up to where it has to have the record then. */
    long requiredIndex;

    Invitee(VoterId voter, String storeId) {
      this.voter = voter;
      this.storeId = storeId;
    }
  }

  /** Between a folder's name and what tells one voter of it from another. */
  private static final String VOTER_ID_SEPARATOR = "+";

  /** A member is waited for so many terms until it is filled. */
  private static final int CATCH_UP_LEASES = 6;

  /** More votes than these bear no loss that matters, and slow every entry. */
  private static final int MAX_VOTERS = 7;

  private final Turns turns;
  private final Transport transport;

  /** Between two invitations. */
  private final long inviteIntervalNanos;

  /** How long one is waited for. */
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
      Turns turns,
      Transport transport,
      Components components) {
    self = settings.self();
    inviteIntervalNanos = 2 * settings.heartbeatNanos();
    catchUpTimeoutNanos = CATCH_UP_LEASES * settings.leaseNanos();
    this.components = components;
    this.random = random;
    this.turns = turns;
    this.transport = transport;
  }

  void start(Engine engine, List<VoterId> founders) {
    stop();
    this.engine = engine;
    this.founders = List.copyOf(founders);
  }

  /** Whoever waits is told that this is not the one to ask any more. */
  void stop() {
    for (Invitee invitee : List.copyOf(invitees.values())) {
      invitee.caughtUp.completeExceptionally(new IllegalStateException("leads no more"));
    }
  }

  /** What a failure says to operators, if it is that a member was not filled; else null. */
  static String catchUpFailure(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof NotCaughtUpException ? cause.getMessage() : null;
  }

  /**
   * What speaks against a change, for operators; null for nothing.
   *
   * @param session the member's, or null
   */
  String rejection(boolean add, String member, Session session) {
    List<VoterId> voters = engine.voters();
    long others = voters.stream().filter(v -> !v.member().equals(member)).count();
    if (add && (session == null || session.status() != Status.THERE)) {
      return member + " is not there: a voter has to be, to be filled";
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
   * Makes a member a voter, under a name of the voter's own. Fails where it is not filled in time;
   * then it stays one that is filled, until it is asked for again.
   *
   * @param folder the name of the member's folder
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
            .learn(voter)
            .thenCompose(
                entry -> {
                  invitee.invitation =
                      new StoreIdentity.Invitation(voter.home(), engine.term(), entry);
                  // What it applies are entries; a change of voters, as this was one, is none.
                  invitee.requiredIndex = engine.record().index();
                  invite(invitee, turns.nanos() + catchUpTimeoutNanos);
                  return invitee.caughtUp;
                })
            .thenCompose(x -> removeOthers(member, voter))
            .thenCompose(x -> engine.promote(voter));
    invitee.added.whenComplete((x, failure) -> invitees.remove(member, invitee));
    return invitee.added;
  }

  /** A founder votes under its folder's name, any other under that and some more. */
  private static boolean belongsTo(VoterId voter, String storeId) {
    return voter.home().equals(storeId) || voter.home().startsWith(storeId + VOTER_ID_SEPARATOR);
  }

  private void invite(Invitee invitee, long deadlineNanos) {
    if (invitee.caughtUp.isDone()) {
      return;
    }
    if (turns.nanos() - deadlineNanos >= 0) {
      invitee.caughtUp.completeExceptionally(
          new NotCaughtUpException(
              invitee.voter.member()
                  + " was not filled in time; it has no vote yet, ask again"));
      return;
    }
    Map<String, Object> out = Packets.ofKind(Packets.INVITE);
    out.put("home", invitee.storeId);
    out.put("founders", founders.stream().map(VoterId::toString).toList());
    invitee.invitation.write(out);
    transport.send(invitee.voter.member(), Cbor.write(out));
    turns.after(inviteIntervalNanos, () -> invite(invitee, deadlineNanos));
  }

  /** Hears how far one has the record. */
  void caughtUp(String member, String voterStoreId, long index) {
    Invitee invitee = invitees.get(member);
    if (invitee != null
        && invitee.invitation != null
        && invitee.invitation.voterStoreId().equals(voterStoreId)
        && index >= invitee.requiredIndex) {
      invitee.caughtUp.complete(null);
    }
  }

  /** Ends the vote of a member, whatever its folder. Who leads hands that over first, and fails. */
  CompletableFuture<Void> remove(String member) {
    if (!member.equals(self) || !components.transfersLeadershipBeforeOwnRemoval()) {
      return removeOthers(member, null);
    }
    List<VoterId> others =
        engine.voters().stream().filter(v -> !v.member().equals(member)).toList();
    return engine
        .handOver(others.get(transfers++ % others.size()))
        .thenRun(
            () -> {
              throw new IllegalStateException("leads no more");
            });
  }

  private CompletableFuture<Void> removeOthers(String member, VoterId kept) {
    CompletableFuture<Void> change = CompletableFuture.completedFuture(null);
    for (VoterId voter : engine.filled()) {
      if (voter.member().equals(member) && !voter.equals(kept)) {
        change = change.thenCompose(x -> engine.remove(voter));
      }
    }
    return change;
  }
}
