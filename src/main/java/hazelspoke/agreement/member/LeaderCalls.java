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
 * Calls from this member to the leader. A call goes to the last known leader, else to a random
 * voter; a member that is not the leader replies with the name of the leader that it knows. A call
 * without a reply is repeated, elsewhere, until its deadline.
 */
final class LeaderCalls {
  /** The maximum number of open calls; further calls fail at once. */
  static final int MAX_OPEN_CALLS = 256;

  /** While no leader is known, one attempt in this many goes to any member, voter or not. */
  private static final int ANY_MEMBER_EVERY = 3;

  /** The outcome of an attempt. The constants are sent by name. */
  enum Outcome {
    /** The leader has handled the call. */
    DONE,
    /** The member that was asked is not the leader. */
    NOT_ME,
    /** The leader cannot handle the call now, or does not know its outcome. */
    LATER
  }

  /** An open call and its current attempt. */
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
   * The reply of a leader.
   *
   * @param from the leader
   * @param sentNanos when the attempt that was answered was sent, by the caller's clock
   */
  record Reply(String from, long sentNanos, Fields fields) {}

  private final String self;
  private final Transport transport;
  private final Scheduler scheduler;
  private final Random random;
  private final long attemptTimeoutNanos;

  /** The calls whose current attempt awaits a reply, by the number of the attempt. */
  private final Map<Long, Call> awaitingReply = new HashMap<>();

  /** All calls that are not finished, including those between two attempts. */
  private final Set<Call> openCalls = new LinkedHashSet<>();

  private final List<String> members;
  private List<String> voters;
  private String leader;
  private long lastNumber;
  private boolean stopped;

  /**
   * @param attemptTimeoutNanos how long one attempt waits for its reply
   */
  LeaderCalls(
      MemberSettings settings,
      Transport transport,
      Scheduler scheduler,
      Random random,
      long attemptTimeoutNanos) {
    self = settings.self();
    members = settings.members();
    voters = settings.voters();
    this.transport = transport;
    this.scheduler = scheduler;
    this.random = random;
    this.attemptTimeoutNanos = attemptTimeoutNanos;
  }

  /** Updates the voters to those that a leader has reported. */
  void updateVoters(List<String> voters) {
    if (!voters.isEmpty()) {
      this.voters = List.copyOf(voters);
    }
  }

  /** Sets the known leader. */
  void setLeader(String member) {
    leader = member;
  }

  /** Returns the last known leader, or null. */
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
   * Makes a call. If it fails after its timeout, the leader may still have handled it.
   *
   * @param timeoutNanos how long the call is attempted
   */
  CompletableFuture<Reply> call(Map<String, Object> fields, long timeoutNanos) {
    Call call = new Call(fields, scheduler.nanos() + timeoutNanos);
    if (stopped || openCalls.size() >= MAX_OPEN_CALLS) {
      call.result.completeExceptionally(
          new IllegalStateException(stopped ? "the member has stopped" : "too many open calls"));
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
    long nowNanos = scheduler.nanos();
    if (nowNanos - call.deadlineNanos >= 0) {
      openCalls.remove(call);
      call.result.completeExceptionally(
          new IllegalStateException(
              "no leader responded; last asked: " + (call.target == null ? "-" : call.target)));
      return;
    }
    call.attempts++;
    call.sentNanos = nowNanos;
    // All voters may have been replaced since the settings were written.
    List<String> candidates = call.attempts % ANY_MEMBER_EVERY == 0 ? members : voters;
    call.target = leader != null ? leader : candidates.get(random.nextInt(candidates.size()));
    awaitingReply.put(number, call);
    Map<String, Object> out = Packets.ofKind(Packets.CALL);
    out.put("number", number);
    out.putAll(call.fields);
    transport.send(call.target, Cbor.write(out));
    scheduler.schedule(attemptTimeoutNanos, () -> attemptTimedOut(number));
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

  /** Repeats a call under a new number, so that a late reply to an earlier attempt is ignored. */
  private void retryLater(Call call) {
    // A random delay with exponential backoff, up to the timeout of an attempt, so that many
    // callers
    // do not repeat at once.
    long maxDelayNanos =
        Math.min(attemptTimeoutNanos, (attemptTimeoutNanos / 16) << Math.min(6, call.attempts));
    scheduler.schedule(
        1 + (long) (random.nextDouble() * maxDelayNanos), () -> attempt(++lastNumber, call));
  }

  /** Handles a reply. */
  void reply(String from, Fields in) throws MalformedException {
    Call call = awaitingReply.get(in.number("number"));
    if (call == null || !call.target.equals(from)) {
      return;
    }
    Outcome outcome = in.enumValue("outcome", Outcome.class);
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

  /** Returns the known voters and the given ones, without this member. */
  List<String> otherVoters(List<String> additional) {
    LinkedHashSet<String> out = new LinkedHashSet<>(voters);
    out.addAll(additional);
    out.remove(self);
    return List.copyOf(out);
  }
}
