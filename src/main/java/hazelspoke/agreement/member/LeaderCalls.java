package hazelspoke.agreement.member;

import hazelspoke.agreement.engine.Turns;
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
  static final int MAX_OPEN_CALLS = 256;

  /** Where nobody is known to lead, each so many attempts go to any member, voter or not. */
  private static final int ANY_MEMBER_EVERY = 3;

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
    private final long deadlineNanos;
    private final CompletableFuture<Reply> result = new CompletableFuture<>();
    private int attempts;
    private long sentNanos;
    private String target;

    Call(Map<String, Object> fields, long deadlineNanos) {
      this.fields = fields;
      this.deadlineNanos = deadlineNanos;
    }
  }

  /**
   * A leader's answer.
   *
   * @param from the leader
   * @param askedAt when the attempt that it answers was sent, by the caller's clock
   */
  record Reply(String from, long sentNanos, Fields fields) {}

  private final String self;
  private final Transport transport;
  private final Turns turns;
  private final Random random;
  private final long attemptTimeoutNanos;

  /** Attempts whose answers are awaited. */
  private final Map<Long, Call> awaitingReply = new HashMap<>();

  /** All that are not decided, those between two attempts among them. */
  private final Set<Call> openCalls = new LinkedHashSet<>();

  private final List<String> members;
  private List<String> voters;
  private String leader;
  private long lastNumber;
  private boolean stopped;

  /**
   * @param patienceNanos how long one attempt waits for its answer
   */
  LeaderCalls(
      MemberSettings settings,
      Transport transport,
      Turns turns,
      Random random,
      long attemptTimeoutNanos) {
    self = settings.self();
    members = settings.members();
    voters = settings.voters();
    this.transport = transport;
    this.turns = turns;
    this.random = random;
    this.attemptTimeoutNanos = attemptTimeoutNanos;
  }

  /** Whose votes count now, as a leader says. */
  void updateVoters(List<String> voters) {
    if (!voters.isEmpty()) {
      this.voters = List.copyOf(voters);
    }
  }

  /** Somebody is known to lead. */
  void setLeader(String member) {
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
    List<Call> remaining = new ArrayList<>(openCalls);
    awaitingReply.clear();
    openCalls.clear();
    for (Call call : remaining) {
      call.result.completeExceptionally(new IllegalStateException("the member has stopped"));
    }
  }

  /**
   * Makes a call; fails when it is given up, and then it may have been done.
   *
   * @param forNanos how long it is tried
   */
  CompletableFuture<Reply> call(Map<String, Object> fields, long timeoutNanos) {
    Call call = new Call(fields, turns.nanos() + timeoutNanos);
    if (stopped || openCalls.size() >= MAX_OPEN_CALLS) {
      call.result.completeExceptionally(
          new IllegalStateException(stopped ? "the member has stopped" : "too many calls"));
    } else {
      openCalls.add(call);
      attempt(++lastNumber, call);
    }
    return call.result;
  }

  private void attempt(long number, Call call) {
    if (stopped) {
      return;
    }
    long now = turns.nanos();
    if (now - call.deadlineNanos >= 0) {
      openCalls.remove(call);
      call.result.completeExceptionally(
          new IllegalStateException(
              "no leader has answered; asked last: " + (call.target == null ? "-" : call.target)));
      return;
    }
    call.attempts++;
    call.sentNanos = now;
    // The voters may all be others by now than the file has them.
    List<String> candidates = call.attempts % ANY_MEMBER_EVERY == 0 ? members : voters;
    call.target = leader != null ? leader : candidates.get(random.nextInt(candidates.size()));
    awaitingReply.put(number, call);
    Map<String, Object> out = Packets.ofKind(Packets.CALL);
    out.put("number", number);
    out.putAll(call.fields);
    transport.send(call.target, Cbor.write(out));
    turns.after(attemptTimeoutNanos, () -> attemptTimedOut(number));
  }

  private void attemptTimedOut(long number) {
    Call call = awaitingReply.remove(number);
    if (call != null) {
      if (call.target.equals(leader)) {
        leader = null;
      }
      retryLater(call);
    }
  }

  /** Under a new number, so that a late answer to an earlier attempt is not taken for its. */
  private void retryLater(Call call) {
    // From nothing to a whole patience, more so with each attempt, so that many do not come at
    // once.
    long maxDelayNanos =
        Math.min(attemptTimeoutNanos, (attemptTimeoutNanos / 16) << Math.min(6, call.attempts));
    turns.after(
        1 + (long) (random.nextDouble() * maxDelayNanos), () -> attempt(++lastNumber, call));
  }

  /** Takes an answer. */
  void reply(String from, Fields in) throws MalformedException {
    Call call = awaitingReply.get(in.number("number"));
    if (call == null || !call.target.equals(from)) {
      return;
    }
    Outcome outcome = in.one("outcome", Outcome.class);
    String hint = in.has("leader") ? in.text("leader") : "";
    awaitingReply.remove(in.number("number"));
    switch (outcome) {
      case DONE -> {
        openCalls.remove(call);
        leader = from;
        call.result.complete(new Reply(from, call.sentNanos, in));
      }
      case NOT_ME -> {
        leader = hint.isEmpty() || hint.equals(from) ? null : hint;
        retryLater(call);
      }
      case LATER -> retryLater(call);
    }
  }

  /** Where this member asks when it wants all voters that there may be. */
  List<String> otherVoters(List<String> additional) {
    LinkedHashSet<String> out = new LinkedHashSet<>(voters);
    out.addAll(additional);
    out.remove(self);
    return List.copyOf(out);
  }
}
