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
 * The session of this member. It joins the fleet and renews the lease four times per lease
 * duration. The lease counts from the time of the request and is shortened by the maximum clock
 * error. If the record says that the lease has expired, the session reports that it is back; if the
 * session has ended or belongs to another process, it joins again with a new session epoch.
 */
final class LocalSession {
  /** Takes over the voters and the index of the record from a leader's reply. */
  interface ReplyObserver {
    void replyReceived(LeaderCalls.Reply reply) throws MalformedException;
  }

  private static final int RENEWALS_PER_LEASE = 4;

  /** The process epoch stands above these bits, which count the session epochs of the process. */
  private static final int PROCESS_EPOCH_SHIFT = 24;

  private final MemberSettings settings;
  private final String storeId;
  private final LeaderCalls calls;
  private final Scheduler scheduler;
  private final Random random;
  private final ReplyObserver observer;
  private final Member.Listener listener;
  private final Components components;
  private long sessionEpoch;
  private long lastNumber;
  private long incarnation;

  /** A lower bound of the record's index when this session epoch had joined. */
  private long joinedIndex;

  /** Commands of this member; the first one is in progress. */
  private final ArrayDeque<Runnable> pendingCommands = new ArrayDeque<>();

  /** When the lease expires by the local clock; valid only after the first renewal. */
  private long leaseExpiryNanos;

  private boolean wasRenewed;
  private boolean leaseWasValid;
  private boolean stopped;

  LocalSession(
      MemberSettings settings,
      StoreIdentity identity,
      LeaderCalls calls,
      Scheduler scheduler,
      Random random,
      ReplyObserver observer,
      Member.Listener listener,
      Components components) {
    this.components = components;
    this.settings = settings;
    this.storeId = identity.storeId();
    sessionEpoch = identity.processEpoch() << PROCESS_EPOCH_SHIFT;
    this.calls = calls;
    this.scheduler = scheduler;
    this.random = random;
    this.observer = observer;
    this.listener = listener;
  }

  void start() {
    sessionEpoch++;
    lastNumber = 0;
    incarnation = 0;
    wasRenewed = false;
    // The delay is random, as the whole fleet may start at once.
    scheduler.schedule(1 + (long) (random.nextDouble() * settings.heartbeatNanos()), this::join);
  }

  void stop() {
    stopped = true;
  }

  long incarnation() {
    return incarnation;
  }

  boolean hasValidLease() {
    return wasRenewed && !stopped && scheduler.nanos() - leaseExpiryNanos < 0;
  }

  /** Returns the index that the local copy must reach to include the record as of the join. */
  long joinedIndex() {
    return joinedIndex;
  }

  private String origin() {
    return settings.self() + "/" + storeId + "/" + Long.toHexString(sessionEpoch);
  }

  /**
   * Submits a command of this member. Commands run one after the other, as the record rejects a
   * command that arrives after a later one of the same origin.
   */
  CompletableFuture<CommandResult> submit(Command command, long timeoutNanos) {
    CompletableFuture<CommandResult> result = new CompletableFuture<>();
    if (pendingCommands.size() >= LeaderCalls.MAX_OPEN_CALLS) {
      result.completeExceptionally(new IllegalStateException("too many pending commands"));
      return result;
    }
    Command.Numbered numbered = new Command.Numbered(origin(), ++lastNumber, command);
    result.whenComplete(
        (x, y) -> {
          pendingCommands.remove();
          if (!pendingCommands.isEmpty()) {
            pendingCommands.peek().run();
          }
        });
    pendingCommands.add(
        () ->
            submit(numbered, timeoutNanos)
                .whenComplete(
                    (value, failure) -> {
                      if (failure == null) {
                        result.complete(value);
                      } else {
                        result.completeExceptionally(failure);
                      }
                    }));
    if (pendingCommands.size() == 1) {
      pendingCommands.peek().run();
    }
    return result;
  }

  /** Submits a command whose origin has numbered it. */
  CompletableFuture<CommandResult> submit(Command.Numbered command, long timeoutNanos) {
    Map<String, Object> call = new LinkedHashMap<>();
    call.put("call", "command");
    call.put("command", command.bytes());
    return result(calls.call(call, timeoutNanos));
  }

  CompletableFuture<CommandResult> changeVoter(boolean add, String member, long timeoutNanos) {
    Map<String, Object> call = new LinkedHashMap<>();
    call.put("call", "voter");
    call.put("add", add);
    call.put("member", member);
    return result(calls.call(call, timeoutNanos));
  }

  private CompletableFuture<CommandResult> result(CompletableFuture<LeaderCalls.Reply> reply) {
    return reply.thenApply(
        r -> {
          try {
            observer.replyReceived(r);
            if (incarnation == 0 && r.fields().has("index")) {
              joinedIndex = r.fields().number("index");
            }
            return CommandResult.read(r.fields().fields("answer"));
          } catch (MalformedException e) {
            throw new IllegalStateException("malformed result: " + e.getMessage(), e);
          }
        });
  }

  CompletableFuture<LeaderCalls.Reply> call(String name, long timeoutNanos) {
    Map<String, Object> call = new LinkedHashMap<>();
    call.put("call", name);
    return calls.call(call, timeoutNanos);
  }

  private void join() {
    if (stopped) {
      return;
    }
    long requestEpoch = sessionEpoch;
    submit(
            new Command.Join(settings.self(), storeId, sessionEpoch, settings.address()),
            settings.leaseNanos())
        .whenComplete(
            (result, failure) -> {
              if (requestEpoch != sessionEpoch || stopped) {
                return;
              }
              if (failure != null) {
                listener.event("waits for=join why=\"" + failure.getMessage() + "\"");
                scheduleNext(this::join);
              } else if (result.succeeded()) {
                incarnation = result.number();
                listener.event("joined incarnation=" + incarnation);
                renew();
              } else {
                listener.event("refused why=\"" + result.reason() + "\"");
                scheduler.schedule(settings.leaseNanos() / RENEWALS_PER_LEASE, this::start);
              }
            });
  }

  private void renew() {
    if (stopped || incarnation == 0) {
      return;
    }
    long requestEpoch = sessionEpoch;
    Map<String, Object> call = new LinkedHashMap<>();
    call.put("call", "renew");
    call.put("incarnation", incarnation);
    call.put("life", sessionEpoch);
    calls
        .call(call, settings.leaseNanos())
        .whenComplete(
            (reply, failure) -> {
              if (requestEpoch == sessionEpoch && !stopped) {
                handleRenewal(reply, failure);
              }
            });
  }

  private void handleRenewal(LeaderCalls.Reply reply, Throwable failure) {
    if (leaseWasValid && !hasValidLease()) {
      leaseWasValid = false;
      listener.event("alone incarnation=" + incarnation);
    }
    if (failure != null) {
      scheduleNext(this::renew);
      return;
    }
    String status;
    try {
      status = reply.fields().text("standing");
      observer.replyReceived(reply);
    } catch (MalformedException e) {
      listener.event("malformed from=" + reply.from() + " why=\"" + e.getMessage() + "\"");
      scheduleNext(this::renew);
      return;
    }
    if (status.equals(Status.THERE.name())) {
      leaseExpiryNanos =
          components.leaseExpiryNanos(settings, reply.sentNanos(), scheduler.nanos());
      wasRenewed = true;
      if (!leaseWasValid && hasValidLease()) {
        leaseWasValid = true;
        listener.event("holds incarnation=" + incarnation);
      }
      scheduleNext(this::renew);
    } else if (status.equals(Status.SILENT.name())) {
      submit(new Command.Back(settings.self(), incarnation), settings.leaseNanos())
          .whenComplete((result, submitFailure) -> renew());
    } else {
      listener.event("over incarnation=" + incarnation + " standing=" + status);
      start();
    }
  }

  private void scheduleNext(Runnable action) {
    double jitter = 0.9 + 0.2 * random.nextDouble();
    scheduler.schedule((long) (settings.leaseNanos() / RENEWALS_PER_LEASE * jitter), action);
  }

  CompletableFuture<CommandResult> leave(long timeoutNanos) {
    if (incarnation == 0) {
      return CompletableFuture.completedFuture(new CommandResult(true, 0, ""));
    }
    wasRenewed = false;
    long leaving = incarnation;
    incarnation = 0;
    // Replies to earlier requests belong to a session epoch that has ended.
    sessionEpoch++;
    lastNumber = 0;
    return submit(new Command.Leave(settings.self(), leaving), timeoutNanos);
  }
}
