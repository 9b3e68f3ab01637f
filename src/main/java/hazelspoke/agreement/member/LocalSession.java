package hazelspoke.agreement.member;

import hazelspoke.agreement.engine.Scheduler;
import hazelspoke.agreement.record.Command;
import hazelspoke.agreement.record.CommandResult;
import hazelspoke.agreement.record.Session.Status;
import hazelspoke.agreement.wire.MalformedException;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/**
 * A member's own standing. It joins, renews four times a term, and counts the term from before it
 * asked, shorter by what clocks may be off. Found silent it says that it is back; found over, or
 * another's, it begins a new life.
 */
final class LocalSession {
  /** Takes over what a leader tells of the record. */
  interface Learner {
    void learn(LeaderCalls.Reply reply) throws MalformedException;
  }

  private static final int RENEWALS_A_TERM = 4;

  /** One process may begin so many lives, as a power of two, before it meets the next one's. */
  private static final int LIVES_SHIFT = 24;

  private final MemberSettings settings;
  private final String home;
  private final LeaderCalls calls;
  private final Scheduler scheduler;
  private final Random random;
  private final Learner learner;
  private final Member.Listener listener;
  private final Components parts;
  private long life;
  private long numbers;
  private long incarnation;

  /** Up to where the record was at least when this life had joined. */
  private long joinedAt;

  /** Commands of its own: the first is under way. */
  private final ArrayDeque<Runnable> queue = new ArrayDeque<>();

  /** Its term ends then by its own clock; meaningless before it was renewed for the first time. */
  private long heldUntil;

  private boolean renewed;
  private boolean wasHeld;
  private boolean stopped;

  LocalSession(
      MemberSettings settings,
      StoreIdentity home,
      LeaderCalls calls,
      Scheduler scheduler,
      Random random,
      Learner learner,
      Member.Listener listener,
      Components parts) {
    this.parts = parts;
    this.settings = settings;
    this.home = home.name();
    life = home.lives() << LIVES_SHIFT;
    this.calls = calls;
    this.scheduler = scheduler;
    this.random = random;
    this.learner = learner;
    this.listener = listener;
  }

  void begin() {
    life++;
    numbers = 0;
    incarnation = 0;
    renewed = false;
    // A whole fleet may begin with this one.
    scheduler.schedule(1 + (long) (random.nextDouble() * settings.heartbeatNanos()), this::join);
  }

  void stop() {
    stopped = true;
  }

  long incarnation() {
    return incarnation;
  }

  boolean hasValidLease() {
    return renewed && !stopped && scheduler.nanos() - heldUntil < 0;
  }

  /** Up to where the record has to be known before this life may count as having read it. */
  long joinedAt() {
    return joinedAt;
  }

  private String origin() {
    return settings.self() + "/" + home + "/" + Long.toHexString(life);
  }

  /** One after the other: of two under way the later one could make the earlier one void. */
  CompletableFuture<CommandResult> submit(Command command, long forNanos) {
    CompletableFuture<CommandResult> answer = new CompletableFuture<>();
    if (queue.size() >= LeaderCalls.MOST) {
      answer.completeExceptionally(new IllegalStateException("too many commands wait"));
      return answer;
    }
    Command.Numbered numbered = new Command.Numbered(origin(), ++numbers, command);
    answer.whenComplete(
        (x, y) -> {
          queue.remove();
          if (!queue.isEmpty()) {
            queue.peek().run();
          }
        });
    queue.add(
        () ->
            submit(numbered, forNanos)
                .whenComplete(
                    (done, failure) -> {
                      if (failure == null) {
                        answer.complete(done);
                      } else {
                        answer.completeExceptionally(failure);
                      }
                    }));
    if (queue.size() == 1) {
      queue.peek().run();
    }
    return answer;
  }

  /** A command of somebody else's, who numbers it. */
  CompletableFuture<CommandResult> submit(Command.Numbered command, long forNanos) {
    Map<String, Object> call = new LinkedHashMap<>();
    call.put("call", "command");
    call.put("command", command.bytes());
    return answer(calls.call(call, forNanos));
  }

  CompletableFuture<CommandResult> changeVoter(boolean add, String member, long forNanos) {
    Map<String, Object> call = new LinkedHashMap<>();
    call.put("call", "voter");
    call.put("add", add);
    call.put("member", member);
    return answer(calls.call(call, forNanos));
  }

  private CompletableFuture<CommandResult> answer(CompletableFuture<LeaderCalls.Reply> reply) {
    return reply.thenApply(
        r -> {
          try {
            learner.learn(r);
            if (incarnation == 0 && r.fields().has("index")) {
              joinedAt = r.fields().number("index");
            }
            return CommandResult.read(r.fields().fields("answer"));
          } catch (MalformedException e) {
            throw new IllegalStateException("unreadable answer: " + e.getMessage(), e);
          }
        });
  }

  CompletableFuture<LeaderCalls.Reply> call(String what, long forNanos) {
    Map<String, Object> call = new LinkedHashMap<>();
    call.put("call", what);
    return calls.call(call, forNanos);
  }

  private void join() {
    if (stopped) {
      return;
    }
    long of = life;
    submit(new Command.Join(settings.self(), home, life, settings.address()), settings.leaseNanos())
        .whenComplete(
            (answer, failure) -> {
              if (of != life || stopped) {
                return;
              }
              if (failure != null) {
                listener.event("waits for=join why=\"" + failure.getMessage() + "\"");
                later(this::join);
              } else if (answer.succeeded()) {
                incarnation = answer.number();
                listener.event("joined incarnation=" + incarnation);
                renew();
              } else {
                listener.event("refused why=\"" + answer.reason() + "\"");
                scheduler.schedule(settings.leaseNanos() / RENEWALS_A_TERM, this::begin);
              }
            });
  }

  private void renew() {
    if (stopped || incarnation == 0) {
      return;
    }
    long of = life;
    Map<String, Object> call = new LinkedHashMap<>();
    call.put("call", "renew");
    call.put("incarnation", incarnation);
    call.put("life", life);
    calls
        .call(call, settings.leaseNanos())
        .whenComplete(
            (reply, failure) -> {
              if (of == life && !stopped) {
                renewed(reply, failure);
              }
            });
  }

  private void renewed(LeaderCalls.Reply reply, Throwable failure) {
    if (wasHeld && !hasValidLease()) {
      wasHeld = false;
      listener.event("alone incarnation=" + incarnation);
    }
    if (failure != null) {
      later(this::renew);
      return;
    }
    String standing;
    try {
      standing = reply.fields().text("standing");
      learner.learn(reply);
    } catch (MalformedException e) {
      listener.event("malformed from=" + reply.from() + " why=\"" + e.getMessage() + "\"");
      later(this::renew);
      return;
    }
    if (standing.equals(Status.THERE.name())) {
      heldUntil = parts.heldUntil(settings, reply.askedAt(), scheduler.nanos());
      renewed = true;
      if (!wasHeld && hasValidLease()) {
        wasHeld = true;
        listener.event("holds incarnation=" + incarnation);
      }
      later(this::renew);
    } else if (standing.equals(Status.SILENT.name())) {
      submit(new Command.Back(settings.self(), incarnation), settings.leaseNanos())
          .whenComplete((answer, lost) -> renew());
    } else {
      listener.event("over incarnation=" + incarnation + " standing=" + standing);
      begin();
    }
  }

  private void later(Runnable what) {
    double part = 0.9 + 0.2 * random.nextDouble();
    scheduler.schedule((long) (settings.leaseNanos() / RENEWALS_A_TERM * part), what);
  }

  CompletableFuture<CommandResult> leave(long forNanos) {
    if (incarnation == 0) {
      return CompletableFuture.completedFuture(new CommandResult(true, 0, ""));
    }
    renewed = false;
    long gone = incarnation;
    incarnation = 0;
    // Whatever is under way is an answer to a life that is over.
    life++;
    numbers = 0;
    return submit(new Command.Leave(settings.self(), gone), forNanos);
  }
}
