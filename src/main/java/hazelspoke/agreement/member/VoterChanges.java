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
 * How a leader makes a member a voter. It is filled first, without a vote: one that counted at once
 * would be needed for a majority that it cannot be part of yet. Members that the file names as
 * voters have an engine; any other starts one when it is invited, and keeps it. Whoever stood under
 * the member's name before with another folder loses its vote at the last moment, as until then the
 * fleet may need it.
 */
final class VoterChanges {
  /** A member was not filled in time; the message is for operators. */
  private static final class NotFilledException extends RuntimeException {
    private static final long serialVersionUID = 1;

    NotFilledException(String message) {
      super(message);
    }
  }

  /** One that is being filled. */
  private static final class Invited {
    final VoterId voter;
    final String folder;
    final CompletableFuture<Void> filled = new CompletableFuture<>();

    /** All of it: asked for again while it is under way, it is the same. */
    CompletableFuture<Void> added;

    /** Null until it is agreed that it is filled. */
    StoreIdentity.Invitation invitation;

    /** Up to where it has to have the record then. */
    long wanted;

    Invited(VoterId voter, String folder) {
      this.voter = voter;
      this.folder = folder;
    }
  }

  /** Between a folder's name and what tells one voter of it from another. */
  private static final String OF_FOLDER = "+";

  /** A member is waited for so many terms until it is filled. */
  private static final int FILLED_TERMS = 6;

  /** More votes than these bear no loss that matters, and slow every entry. */
  private static final int MOST_VOTERS = 7;

  private final Scheduler scheduler;
  private final Transport wire;

  /** Between two invitations. */
  private final long everyNanos;

  /** How long one is waited for. */
  private final long patienceNanos;

  private final Map<String, Invited> invited = new HashMap<>();
  private final String self;
  private final Random random;
  private final Components parts;
  private Engine engine;
  private int handedOver;
  private List<VoterId> founders = List.of();

  VoterChanges(
      MemberSettings settings,
      Random random,
      Scheduler scheduler,
      Transport wire,
      Components parts) {
    self = settings.self();
    everyNanos = 2 * settings.heartbeatNanos();
    patienceNanos = FILLED_TERMS * settings.leaseNanos();
    this.parts = parts;
    this.random = random;
    this.scheduler = scheduler;
    this.wire = wire;
  }

  void begin(Engine of, List<VoterId> by) {
    ends();
    engine = of;
    founders = List.copyOf(by);
  }

  /** Whoever waits is told that this is not the one to ask any more. */
  void ends() {
    for (Invited one : List.copyOf(invited.values())) {
      one.filled.completeExceptionally(new IllegalStateException("leads no more"));
    }
  }

  /** What a failure says to operators, if it is that a member was not filled; else null. */
  static String notFilled(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof NotFilledException ? cause.getMessage() : null;
  }

  /**
   * What speaks against a change, for operators; null for nothing.
   *
   * @param session the member's, or null
   */
  String mayNot(boolean add, String member, Session session) {
    List<VoterId> voters = engine.voters();
    long others = voters.stream().filter(v -> !v.member().equals(member)).count();
    if (add && (session == null || session.status() != Status.THERE)) {
      return member + " is not there: a voter has to be, to be filled";
    }
    if (add && others >= MOST_VOTERS) {
      return "there are " + MOST_VOTERS + " voters already";
    }
    if (!add && others < voters.size() && others < parts.leastVoters()) {
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
  CompletableFuture<Void> add(String member, String folder) {
    Invited under = invited.get(member);
    if (under != null && under.folder.equals(folder)) {
      return under.added;
    }
    if (engine.voters().stream().anyMatch(v -> v.member().equals(member) && isOf(v, folder))) {
      return CompletableFuture.completedFuture(null);
    }
    VoterId voter = new VoterId(member, folder + OF_FOLDER + Integer.toHexString(random.nextInt()));
    Invited one = new Invited(voter, folder);
    invited.put(member, one);
    one.added =
        engine
            .addLearner(voter)
            .thenCompose(
                entry -> {
                  one.invitation =
                      new StoreIdentity.Invitation(voter.storeId(), engine.term(), entry);
                  // What it applies are entries; a change of voters, as this was one, is none.
                  one.wanted = engine.record().index();
                  invite(one, scheduler.nanos() + patienceNanos);
                  return one.filled;
                })
            .thenCompose(x -> removeOthers(member, voter))
            .thenCompose(x -> engine.promote(voter));
    one.added.whenComplete((x, failure) -> invited.remove(member, one));
    return one.added;
  }

  /** A founder votes under its folder's name, any other under that and some more. */
  private static boolean isOf(VoterId voter, String folder) {
    return voter.storeId().equals(folder) || voter.storeId().startsWith(folder + OF_FOLDER);
  }

  private void invite(Invited one, long until) {
    if (one.filled.isDone()) {
      return;
    }
    if (scheduler.nanos() - until >= 0) {
      one.filled.completeExceptionally(
          new NotFilledException(
              one.voter.member() + " was not filled in time; it has no vote yet, ask again"));
      return;
    }
    Map<String, Object> out = Packets.of(Packets.INVITE);
    out.put("home", one.folder);
    out.put("founders", founders.stream().map(VoterId::toString).toList());
    one.invitation.write(out);
    wire.send(one.voter.member(), Cbor.write(out));
    scheduler.schedule(everyNanos, () -> invite(one, until));
  }

  /** Hears how far one has the record. */
  void filled(String member, String as, long index) {
    Invited one = invited.get(member);
    if (one != null
        && one.invitation != null
        && one.invitation.home().equals(as)
        && index >= one.wanted) {
      one.filled.complete(null);
    }
  }

  /** Ends the vote of a member, whatever its folder. Who leads hands that over first, and fails. */
  CompletableFuture<Void> remove(String member) {
    if (!member.equals(self) || !parts.handsOverBeforeItsRemoval()) {
      return removeOthers(member, null);
    }
    List<VoterId> others =
        engine.voters().stream().filter(v -> !v.member().equals(member)).toList();
    return engine
        .transferLeadership(others.get(handedOver++ % others.size()))
        .thenRun(
            () -> {
              throw new IllegalStateException("leads no more");
            });
  }

  private CompletableFuture<Void> removeOthers(String member, VoterId but) {
    CompletableFuture<Void> change = CompletableFuture.completedFuture(null);
    for (VoterId voter : engine.votersAndLearners()) {
      if (voter.member().equals(member) && !voter.equals(but)) {
        change = change.thenCompose(x -> engine.remove(voter));
      }
    }
    return change;
  }
}
