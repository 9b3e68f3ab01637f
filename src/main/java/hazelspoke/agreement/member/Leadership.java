package hazelspoke.agreement.member;

import hazelspoke.agreement.engine.Engine;
import hazelspoke.agreement.engine.Turns;
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
 * What a voter does while it leads: it answers calls, and counts the terms of all sessions.
 * Whatever it says of the record it says after a majority has confirmed that it still leads; those
 * who ask meanwhile share the next confirmation.
 */
final class Leadership {
  /** Those that are silent are tried so many ticks apart, which is half a term. */
  private static final int PROBE_TICKS = 10;

  /** So many calls may wait for a confirmation; further ones are told to come later. */
  private static final int MAX_UNCONFIRMED_CALLS = 4_096;

  private final Turns turns;
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
      Turns turns,
      Random random,
      Transport transport,
      Member.Listener listener,
      Components components) {
    this.transport = transport;
    voterChanges = new VoterChanges(settings, random, turns, transport, components);
    refusalProvesEnd = settings.refusalProvesEnd();
    this.turns = turns;
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
      leases.start(turns.nanos());
    } else {
      voterChanges.stop();
    }
  }

  /** A member that is to be a voter says how far it has the record. */
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
      for (Session session : leases.tick(turns.nanos(), engine.record().sessions())) {
        lapse(session);
      }
      if (refusalProvesEnd && ++ticks % PROBE_TICKS == 0) {
        probe();
      }
    }
    turns.after(tickNanos, this::tick);
  }

  /** Whether the silent ones are over: then nobody listens at their ports. */
  private void probe() {
    for (Session session : engine.record().sessions()) {
      if (session.status() == Status.SILENT) {
        // The attempt begins after this incarnation has joined, so a refusal is about its end.
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
    return engine != null && engine.leads();
  }

  private void lapse(Session session) {
    listener.event("silent member=" + session.member() + " incarnation=" + session.incarnation());
    propose(new Command.Lapse(session.member(), session.incarnation()))
        .whenComplete(
            (result, failure) -> {
              // One whose fate is unknown may still come true, so nothing is said to its holder.
              if (failure != null && Engine.isRefusal(failure)) {
                leases.lapseFailed(session);
              }
            });
  }

  private CompletableFuture<CommandResult> propose(Command command) {
    return engine.propose(new Command.Numbered(origin, ++lastNumber, command));
  }

  /**
   * Answers a call, now or once it is decided.
   *
   * @param heard who leads, as a member without an engine has heard; null for nobody known
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
      case "voter" -> changeVoter(in.truth("add"), in.text("member"), reply, send);
      default -> throw new MalformedException("unknown call " + in.text("call"));
    }
  }

  private void command(
      String from, Fields in, Map<String, Object> reply, Consumer<LeaderCalls.Outcome> send)
      throws MalformedException {
    Command.Numbered command = Command.Numbered.read(in.bytes("command"));
    if (!maySubmit(from, command.command())) {
      throw new MalformedException(from + " may not give " + command.command());
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

  /** What concerns one member's own standing it says itself; what time decides, a leader does. */
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
        // Its lapse is under way: to say that it holds could turn out wrong.
        send.accept(LeaderCalls.Outcome.LATER);
        return;
      }
      leases.renew(session, turns.nanos());
    }
    reply.put("standing", isCurrent ? session.status().name() : "");
    putIndex(reply);
    send.accept(LeaderCalls.Outcome.DONE);
  }

  /**
   * Up to where the record goes; what it says there, members have from the feed. Only after a
   * majority has confirmed that this is the leader: who hears it may call itself current.
   */
  private void putIndex(Map<String, Object> reply) {
    putVoters(reply);
    reply.put("index", engine.applied());
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
        .confirm()
        .whenComplete(
            (index, failure) -> {
              confirming = false;
              (failure == null ? confirmedActions : failureActions).forEach(Runnable::run);
              confirm();
            });
  }
}
