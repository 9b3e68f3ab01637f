package hazelspoke.agreement.member;

import hazelspoke.agreement.engine.Scheduler;
import hazelspoke.agreement.wire.Cbor;
import hazelspoke.agreement.wire.Fields;
import hazelspoke.agreement.wire.MalformedException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * The way in from any member to whoever leads. A call goes to the leader that was last heard of,
 * else to a voter by chance; who is asked and does not lead names whom it takes for the leader. A
 * call whose answer does not come is made again, elsewhere, until it is given up.
 */
final class LeaderCalls {
  /** So many calls may be under way; further ones fail at once. */
  static final int MOST = 256;

  /** Where nobody is known to lead, each so many attempts go to any member, voter or not. */
  private static final int ANYBODY_EVERY = 3;

  /** What became of a call. */
  enum Outcome {
    /** Answered by the leader. */
    DONE,
    /** Whoever was asked does not lead. */
    NOT_ME,
    /** The leader could not do it now, or does not know what becomes of it. */
    LATER
  }

  /** How often it is asked again may be seen by the caller: each attempt tells when it was sent. */
  private final class Call {
    private final Map<String, Object> fields;
    private final long until;
    private final CompletableFuture<Reply> result = new CompletableFuture<>();
    private int attempt;
    private long sentAt;
    private String asked;

    Call(Map<String, Object> fields, long until) {
      this.fields = fields;
      this.until = until;
    }
  }

  /**
   * A leader's answer.
   *
   * @param from the leader
   * @param askedAt when the attempt that it answers was sent, by the caller's clock
   */
  record Reply(String from, long askedAt, Fields fields) {}

  private final String self;
  private final Transport wire;
  private final Scheduler scheduler;
  private final Random random;
  private final long patience;

  /** Attempts whose answers are awaited. */
  private final Map<Long, Call> calls = new HashMap<>();

  /** All that are not decided, those between two attempts among them. */
  private final Set<Call> open = new LinkedHashSet<>();

  private final List<String> members;
  private List<String> voters;
  private String leader;
  private long numbers;
  private boolean stopped;

  /**
   * @param patienceNanos how long one attempt waits for its answer
   */
  LeaderCalls(
      MemberSettings settings,
      Transport wire,
      Scheduler scheduler,
      Random random,
      long patienceNanos) {
    self = settings.self();
    members = settings.members();
    voters = settings.voters();
    this.wire = wire;
    this.scheduler = scheduler;
    this.random = random;
    this.patience = patienceNanos;
  }

  /** Whose votes count now, as a leader says. */
  void voters(List<String> now) {
    if (!now.isEmpty()) {
      voters = List.copyOf(now);
    }
  }

  /** Somebody is known to lead. */
  void leads(String member) {
    leader = member;
  }

  /** Who leads, as far as is known here; null for nobody known. */
  String leader() {
    return leader;
  }

  List<String> voters() {
    return voters;
  }

  void stop() {
    stopped = true;
    List<Call> left = new ArrayList<>(open);
    calls.clear();
    open.clear();
    for (Call call : left) {
      call.result.completeExceptionally(new IllegalStateException("the member has stopped"));
    }
  }

  /**
   * Makes a call; fails when it is given up, and then it may have been done.
   *
   * @param forNanos how long it is tried
   */
  CompletableFuture<Reply> call(Map<String, Object> fields, long forNanos) {
    Call call = new Call(fields, scheduler.nanos() + forNanos);
    if (stopped || open.size() >= MOST) {
      call.result.completeExceptionally(
          new IllegalStateException(stopped ? "the member has stopped" : "too many calls"));
    } else {
      open.add(call);
      attempt(++numbers, call);
    }
    return call.result;
  }

  private void attempt(long number, Call call) {
    if (stopped) {
      return;
    }
    long now = scheduler.nanos();
    if (now - call.until >= 0) {
      open.remove(call);
      call.result.completeExceptionally(
          new IllegalStateException(
              "no leader has answered; asked last: " + (call.asked == null ? "-" : call.asked)));
      return;
    }
    call.attempt++;
    call.sentAt = now;
    // The voters may all be others by now than the file has them.
    List<String> some = call.attempt % ANYBODY_EVERY == 0 ? members : voters;
    call.asked = leader != null ? leader : some.get(random.nextInt(some.size()));
    calls.put(number, call);
    Map<String, Object> out = Packets.of(Packets.CALL);
    out.put("number", number);
    out.putAll(call.fields);
    wire.send(call.asked, Cbor.write(out));
    scheduler.schedule(patience, () -> unanswered(number));
  }

  private void unanswered(long number) {
    Call call = calls.remove(number);
    if (call != null) {
      if (call.asked.equals(leader)) {
        leader = null;
      }
      again(call);
    }
  }

  /** Under a new number, so that a late answer to an earlier attempt is not taken for its. */
  private void again(Call call) {
    // From nothing to a whole patience, more so with each attempt, so that many do not come at
    // once.
    long most = Math.min(patience, (patience / 16) << Math.min(6, call.attempt));
    scheduler.schedule(1 + (long) (random.nextDouble() * most), () -> attempt(++numbers, call));
  }

  /** Takes an answer. */
  void reply(String from, Fields in) throws MalformedException {
    Call call = calls.get(in.number("number"));
    if (call == null || !call.asked.equals(from)) {
      return;
    }
    Outcome outcome = in.enumValue("outcome", Outcome.class);
    String hint = in.has("leader") ? in.text("leader") : "";
    calls.remove(in.number("number"));
    switch (outcome) {
      case DONE -> {
        open.remove(call);
        leader = from;
        call.result.complete(new Reply(from, call.sentAt, in));
      }
      case NOT_ME -> {
        leader = hint.isEmpty() || hint.equals(from) ? null : hint;
        again(call);
      }
      case LATER -> again(call);
    }
  }

  /** Where this member asks when it wants all voters that there may be. */
  List<String> everybody(List<String> more) {
    LinkedHashSet<String> out = new LinkedHashSet<>(voters);
    out.addAll(more);
    out.remove(self);
    return List.copyOf(out);
  }
}
