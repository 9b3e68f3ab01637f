package hazelspoke.agreement.member;

import hazelspoke.agreement.engine.Engine;
import hazelspoke.agreement.engine.Scheduler;
import hazelspoke.agreement.engine.VoterId;
import hazelspoke.agreement.record.Command;
import hazelspoke.agreement.record.CommandResult;
import hazelspoke.agreement.record.FleetRecord;
import hazelspoke.agreement.record.Session;
import hazelspoke.agreement.record.Session.Status;
import hazelspoke.agreement.wire.Cbor;
import hazelspoke.agreement.wire.Fields;
import hazelspoke.agreement.wire.MalformedException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * A voter's duties while it is the leader: it handles calls and tracks the leases of all sessions.
 * It reports the state of the record only after a majority has confirmed that it is still the
 * leader; calls that arrive meanwhile share the next confirmation.
 */
final class Leadership {
  /** Members with expired leases are probed at this interval, which is half a lease. */
  private static final int PROBE_TICKS = 10;

  /** How many calls may wait for a confirmation; callers of further ones retry later. */
  private static final int MAX_UNCONFIRMED_CALLS = 4_096;

  private final Scheduler scheduler;
  private final Transport transport;
  private final Member.Listener listener;
  private final SessionLeases leases;
  private final String origin;
  private final long tickNanos;
  private final VoterChanges voterChanges;
  private List<Runnable> actionsOnConfirmed = new ArrayList<>();
  private List<Runnable> actionsOnFailure = new ArrayList<>();
  private boolean confirming;
  private long lastNumber;
  private long ticks;
  private final boolean refusalProvesEnd;
  private Engine engine;
  private boolean stopped;

  Leadership(
      MemberSettings settings,
      Scheduler scheduler,
      Random random,
      Transport transport,
      Member.Listener listener,
      Components components) {
    this.transport = transport;
    voterChanges = new VoterChanges(settings, random, scheduler, transport, components);
    refusalProvesEnd = settings.refusalProvesEnd();
    this.scheduler = scheduler;
    this.listener = listener;
    tickNanos = Math.max(1, settings.leaseNanos() / 20);
    leases = components.leases(settings, tickNanos);
    origin = settings.self() + "/leads/" + Long.toHexString(random.nextLong());
  }

  void start(Engine engine, List<VoterId> founders) {
    this.engine = engine;
    voterChanges.start(engine, founders);
  }

  void stop() {
    stopped = true;
    voterChanges.stop();
  }

  void leadershipChanged(boolean isLeader) {
    if (isLeader) {
      leases.start(scheduler.nanos());
    } else {
      voterChanges.stop();
    }
  }

  /** Handles the report of an invited member up to which index it has the record. */
  void caughtUp(String from, Fields in) throws MalformedException {
    voterChanges.caughtUp(from, in.text("as"), in.number("index"));
  }

  void applied() {
    listener.changed();
  }

  void tick() {
    if (stopped) {
      return;
    }
    if (isLeader()) {
      for (Session session : leases.tick(scheduler.nanos(), engine.record().sessions())) {
        lapse(session);
      }
      if (refusalProvesEnd && ++ticks % PROBE_TICKS == 0) {
        probe();
      }
    }
    scheduler.schedule(tickNanos, this::tick);
  }

  /** Probes the ports of members with expired leases, where nothing listens after their end. */
  private void probe() {
    for (Session session : engine.record().sessions()) {
      if (session.status() == Status.SILENT) {
        // The probe starts after this incarnation has joined, so a refusal proves that it has
        // ended.
        transport.probe(
            session.member(),
            () -> {
              if (!stopped && isLeader()) {
                listener.event("refused by=machine member=" + session.member());
                propose(new Command.Refused(session.member(), session.incarnation()));
              }
            });
      }
    }
  }

  private boolean isLeader() {
    return engine != null && engine.isLeader();
  }

  private void lapse(Session session) {
    listener.event("silent member=" + session.member() + " incarnation=" + session.incarnation());
    propose(new Command.Lapse(session.member(), session.incarnation()))
        .whenComplete(
            (result, failure) -> {
              // A lapse whose outcome is unknown may still be committed: renewals stay deferred.
              if (failure != null && Engine.isRefusal(failure)) {
                leases.lapseFailed(session);
              }
            });
  }

  private CompletableFuture<CommandResult> propose(Command command) {
    return engine.propose(new Command.Numbered(origin, ++lastNumber, command));
  }

  /**
   * Handles a call; the reply is sent once the outcome is known.
   *
   * @param knownLeader the leader that this member knows without an engine, or null
   */
  void call(String from, Fields in, String knownLeader, Consumer<byte[]> replySender)
      throws MalformedException {
    Map<String, Object> reply = Packets.ofKind(Packets.REPLY);
    reply.put("number", in.number("number"));
    if (!isLeader()) {
      VoterId leader = engine == null ? null : engine.leader();
      String hint = leader == null ? knownLeader : leader.member();
      reply.put("outcome", LeaderCalls.Outcome.NOT_ME.name());
      reply.put("leader", hint == null ? "" : hint);
      replySender.accept(Cbor.write(reply));
      return;
    }
    Consumer<LeaderCalls.Outcome> send =
        outcome -> {
          reply.put("outcome", outcome.name());
          replySender.accept(Cbor.write(reply));
        };
    switch (in.text("call")) {
      case "command" -> command(from, in, reply, send);
      case "renew" -> {
        long incarnation = in.number("incarnation");
        long sessionEpoch = in.number("life");
        runWhenConfirmed(() -> renew(from, incarnation, sessionEpoch, reply, send), send);
      }
      case "read" ->
          runWhenConfirmed(
              () -> {
                putIndex(reply);
                reply.put("state", engine.record().bytes());
                send.accept(LeaderCalls.Outcome.DONE);
              },
              send);
      case "voter" -> changeVoter(in.bool("add"), in.text("member"), reply, send);
      default -> throw new MalformedException("unknown call " + in.text("call"));
    }
  }

  private void command(
      String from, Fields in, Map<String, Object> reply, Consumer<LeaderCalls.Outcome> send)
      throws MalformedException {
    Command.Numbered command = Command.Numbered.read(in.bytes("command"));
    if (!maySubmit(from, command.command())) {
      throw new MalformedException(from + " may not submit " + command.command());
    }
    engine
        .propose(command)
        .whenComplete(
            (result, failure) -> {
              if (failure == null) {
                reply.put("answer", result.fields());
                putIndex(reply);
              }
              send.accept(failure == null ? LeaderCalls.Outcome.DONE : LeaderCalls.Outcome.LATER);
            });
  }

  /**
   * Whether a member may submit a command. Each member changes only its own session; what depends
   * on time is decided by the leader.
   */
  private static boolean maySubmit(String from, Command command) {
    if (command instanceof Command.Join join) {
      return join.member().equals(from);
    } else if (command instanceof Command.Leave leave) {
      return leave.member().equals(from);
    } else if (command instanceof Command.Back back) {
      return back.member().equals(from);
    }
    return command instanceof Command.Vouch || command instanceof Command.Note;
  }

  private void renew(
      String from,
      long incarnation,
      long sessionEpoch,
      Map<String, Object> reply,
      Consumer<LeaderCalls.Outcome> send) {
    FleetRecord record = engine.record();
    Session session = record.session(from);
    boolean isCurrent =
        session != null
            && session.incarnation() == incarnation
            && session.sessionEpoch() == sessionEpoch;
    if (isCurrent && session.status() == Status.THERE) {
      if (leases.isLapsing(session)) {
        // The lapse is pending: a reply that the lease is valid could turn out to be wrong.
        send.accept(LeaderCalls.Outcome.LATER);
        return;
      }
      leases.renew(session, scheduler.nanos());
    }
    reply.put("standing", isCurrent ? session.status().name() : "");
    putIndex(reply);
    send.accept(LeaderCalls.Outcome.DONE);
  }

  /**
   * Adds the index of the record and the voters; members receive the entries from the feed. Called
   * only after a majority has confirmed the leadership, as the receiver relies on the index being
   * current.
   */
  private void putIndex(Map<String, Object> reply) {
    putVoters(reply);
    reply.put("index", engine.appliedIndex());
  }

  private void putVoters(Map<String, Object> reply) {
    reply.put("voters", engine.voters().stream().map(VoterId::member).distinct().toList());
  }

  private void changeVoter(
      boolean add, String member, Map<String, Object> reply, Consumer<LeaderCalls.Outcome> send) {
    Session session = engine.record().session(member);
    String rejection = voterChanges.rejection(add, member, session);
    if (rejection != null) {
      reply.put("answer", new CommandResult(false, 0, rejection).fields());
      putVoters(reply);
      send.accept(LeaderCalls.Outcome.DONE);
      return;
    }
    CompletableFuture<Void> change =
        add ? voterChanges.add(member, session.storeId()) : voterChanges.remove(member);
    change.whenComplete(
        (x, failure) -> {
          String failureReason = VoterChanges.catchUpFailure(failure);
          if (failure == null) {
            listener.event((add ? "added" : "removed") + " voter=" + member);
          }
          if (failure == null || failureReason != null) {
            long index = engine.record().index();
            reply.put(
                "answer",
                new CommandResult(
                        failureReason == null, index, failureReason == null ? "" : failureReason)
                    .fields());
            putVoters(reply);
          }
          send.accept(
              reply.containsKey("answer") ? LeaderCalls.Outcome.DONE : LeaderCalls.Outcome.LATER);
        });
  }

  private void runWhenConfirmed(Runnable action, Consumer<LeaderCalls.Outcome> send) {
    if (actionsOnConfirmed.size() >= MAX_UNCONFIRMED_CALLS) {
      send.accept(LeaderCalls.Outcome.LATER);
      return;
    }
    actionsOnConfirmed.add(action);
    actionsOnFailure.add(() -> send.accept(LeaderCalls.Outcome.LATER));
    confirm();
  }

  private void confirm() {
    if (confirming || actionsOnConfirmed.isEmpty()) {
      return;
    }
    confirming = true;
    List<Runnable> confirmedActions = actionsOnConfirmed;
    List<Runnable> failureActions = actionsOnFailure;
    actionsOnConfirmed = new ArrayList<>();
    actionsOnFailure = new ArrayList<>();
    engine
        .confirmLeadership()
        .whenComplete(
            (index, failure) -> {
              confirming = false;
              (failure == null ? confirmedActions : failureActions).forEach(Runnable::run);
              confirm();
            });
  }
}
