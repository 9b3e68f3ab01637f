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
 * What a voter does while it leads: it answers calls, and counts the terms of all sessions.
 * Whatever it says of the record it says after a majority has confirmed that it still leads; those
 * who ask meanwhile share the next confirmation.
 */
final class Leadership {
  /** Those that are silent are tried so many ticks apart, which is half a term. */
  private static final int PROBE_TICKS = 10;

  /** So many calls may wait for a confirmation; further ones are told to come later. */
  private static final int MOST_WAITING = 4_096;

  private final Scheduler scheduler;
  private final Transport wire;
  private final Member.Listener listener;
  private final SessionLeases terms;
  private final String origin;
  private final long tickNanos;
  private final VoterChanges growth;
  private List<Runnable> waiting = new ArrayList<>();
  private List<Runnable> refused = new ArrayList<>();
  private boolean confirming;
  private long numbers;
  private long ticks;
  private final boolean refusalProvesEnd;
  private Engine engine;
  private boolean ended;

  Leadership(
      MemberSettings settings,
      Scheduler scheduler,
      Random random,
      Transport wire,
      Member.Listener listener,
      Components parts) {
    this.wire = wire;
    growth = new VoterChanges(settings, random, scheduler, wire, parts);
    refusalProvesEnd = settings.refusalProvesEnd();
    this.scheduler = scheduler;
    this.listener = listener;
    tickNanos = Math.max(1, settings.leaseNanos() / 20);
    terms = parts.terms(settings, tickNanos);
    origin = settings.self() + "/leads/" + Long.toHexString(random.nextLong());
  }

  void engine(Engine of, List<VoterId> founders) {
    engine = of;
    growth.begin(of, founders);
  }

  void ends() {
    ended = true;
    growth.ends();
  }

  void leads(boolean leads) {
    if (leads) {
      terms.begin(scheduler.nanos());
    } else {
      growth.ends();
    }
  }

  /** A member that is to be a voter says how far it has the record. */
  void filled(String from, Fields in) throws MalformedException {
    growth.filled(from, in.text("as"), in.number("index"));
  }

  void applied() {
    listener.changed();
  }

  void tick() {
    if (ended) {
      return;
    }
    if (leads()) {
      for (Session session : terms.tick(scheduler.nanos(), engine.record().sessions())) {
        lapse(session);
      }
      if (refusalProvesEnd && ++ticks % PROBE_TICKS == 0) {
        probe();
      }
    }
    scheduler.schedule(tickNanos, this::tick);
  }

  /** Whether the silent ones are over: then nobody listens at their ports. */
  private void probe() {
    for (Session session : engine.record().sessions()) {
      if (session.status() == Status.SILENT) {
        // The attempt begins after this incarnation has joined, so a refusal is about its end.
        wire.probe(
            session.member(),
            () -> {
              if (!ended && leads()) {
                listener.event("refused by=machine member=" + session.member());
                propose(new Command.Refused(session.member(), session.incarnation()));
              }
            });
      }
    }
  }

  private boolean leads() {
    return engine != null && engine.isLeader();
  }

  private void lapse(Session session) {
    listener.event("silent member=" + session.member() + " incarnation=" + session.incarnation());
    propose(new Command.Lapse(session.member(), session.incarnation()))
        .whenComplete(
            (answer, failure) -> {
              // One whose fate is unknown may still come true, so nothing is said to its holder.
              if (failure != null && Engine.isRefusal(failure)) {
                terms.notLapsed(session);
              }
            });
  }

  private CompletableFuture<CommandResult> propose(Command command) {
    return engine.propose(new Command.Numbered(origin, ++numbers, command));
  }

  /**
   * Answers a call, now or once it is decided.
   *
   * @param heard who leads, as a member without an engine has heard; null for nobody known
   */
  void call(String from, Fields in, String heard, Consumer<byte[]> answer)
      throws MalformedException {
    Map<String, Object> reply = Packets.of(Packets.REPLY);
    reply.put("number", in.number("number"));
    if (!leads()) {
      VoterId leader = engine == null ? null : engine.leader();
      String hint = leader == null ? heard : leader.member();
      reply.put("outcome", LeaderCalls.Outcome.NOT_ME.name());
      reply.put("leader", hint == null ? "" : hint);
      answer.accept(Cbor.write(reply));
      return;
    }
    Consumer<LeaderCalls.Outcome> send =
        outcome -> {
          reply.put("outcome", outcome.name());
          answer.accept(Cbor.write(reply));
        };
    switch (in.text("call")) {
      case "command" -> command(from, in, reply, send);
      case "renew" -> {
        long incarnation = in.number("incarnation");
        long life = in.number("life");
        confirmed(() -> renew(from, incarnation, life, reply, send), send);
      }
      case "read" ->
          confirmed(
              () -> {
                howFar(reply);
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
    if (!mayGive(from, command.command())) {
      throw new MalformedException(from + " may not give " + command.command());
    }
    engine
        .propose(command)
        .whenComplete(
            (answer, failure) -> {
              if (failure == null) {
                reply.put("answer", answer.fields());
                howFar(reply);
              }
              send.accept(failure == null ? LeaderCalls.Outcome.DONE : LeaderCalls.Outcome.LATER);
            });
  }

  /** What concerns one member's own standing it says itself; what time decides, a leader does. */
  private static boolean mayGive(String from, Command command) {
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
      long life,
      Map<String, Object> reply,
      Consumer<LeaderCalls.Outcome> send) {
    FleetRecord record = engine.record();
    Session session = record.session(from);
    boolean its =
        session != null && session.incarnation() == incarnation && session.sessionEpoch() == life;
    if (its && session.status() == Status.THERE) {
      if (terms.isLapsing(session)) {
        // Its lapse is under way: to say that it holds could turn out wrong.
        send.accept(LeaderCalls.Outcome.LATER);
        return;
      }
      terms.renewed(session, scheduler.nanos());
    }
    reply.put("standing", its ? session.status().name() : "");
    howFar(reply);
    send.accept(LeaderCalls.Outcome.DONE);
  }

  /**
   * Up to where the record goes; what it says there, members have from the feed. Only after a
   * majority has confirmed that this is the leader: who hears it may call itself current.
   */
  private void howFar(Map<String, Object> reply) {
    voters(reply);
    reply.put("index", engine.appliedIndex());
  }

  private void voters(Map<String, Object> reply) {
    reply.put("voters", engine.voters().stream().map(VoterId::member).distinct().toList());
  }

  private void changeVoter(
      boolean add, String member, Map<String, Object> reply, Consumer<LeaderCalls.Outcome> send) {
    Session session = engine.record().session(member);
    String not = growth.mayNot(add, member, session);
    if (not != null) {
      reply.put("answer", new CommandResult(false, 0, not).fields());
      voters(reply);
      send.accept(LeaderCalls.Outcome.DONE);
      return;
    }
    CompletableFuture<Void> change =
        add ? growth.add(member, session.storeId()) : growth.remove(member);
    change.whenComplete(
        (x, failure) -> {
          String why = VoterChanges.notFilled(failure);
          if (failure == null) {
            listener.event((add ? "added" : "removed") + " voter=" + member);
          }
          if (failure == null || why != null) {
            long index = engine.record().index();
            reply.put(
                "answer", new CommandResult(why == null, index, why == null ? "" : why).fields());
            voters(reply);
          }
          send.accept(
              reply.containsKey("answer") ? LeaderCalls.Outcome.DONE : LeaderCalls.Outcome.LATER);
        });
  }

  private void confirmed(Runnable then, Consumer<LeaderCalls.Outcome> send) {
    if (waiting.size() >= MOST_WAITING) {
      send.accept(LeaderCalls.Outcome.LATER);
      return;
    }
    waiting.add(then);
    refused.add(() -> send.accept(LeaderCalls.Outcome.LATER));
    confirm();
  }

  private void confirm() {
    if (confirming || waiting.isEmpty()) {
      return;
    }
    confirming = true;
    List<Runnable> ok = waiting;
    List<Runnable> not = refused;
    waiting = new ArrayList<>();
    refused = new ArrayList<>();
    engine
        .confirmLeadership()
        .whenComplete(
            (index, failure) -> {
              confirming = false;
              (failure == null ? ok : not).forEach(Runnable::run);
              confirm();
            });
  }
}
