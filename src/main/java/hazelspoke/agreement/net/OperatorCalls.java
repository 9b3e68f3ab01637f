package hazelspoke.agreement.net;

import hazelspoke.agreement.member.FleetView;
import hazelspoke.agreement.member.Member;
import hazelspoke.agreement.record.Command;
import hazelspoke.agreement.record.CommandResult;
import hazelspoke.agreement.record.FleetRecord;
import hazelspoke.agreement.record.Session;
import hazelspoke.agreement.wire.Cbor;
import hazelspoke.agreement.wire.Fields;
import hazelspoke.agreement.wire.MalformedException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Handles operators' calls to a member: queries of its status and the record, and commands. Runs on
 * the member's event loop.
 */
final class OperatorCalls {
  private static final long MAX_PATIENCE_MS = 60_000;

  private final FleetSettings settings;
  private Member member;

  OperatorCalls(FleetSettings settings) {
    this.settings = settings;
  }

  void member(Member newMember) {
    member = newMember;
  }

  void call(byte[] packet, Consumer<byte[]> reply) {
    try {
      Fields in = Cbor.read(packet);
      long number = in.number("number");
      if (member == null) {
        reply.accept(errorReply(number, "this member is still starting"));
        return;
      }
      long patienceNanos =
          TimeUnit.MILLISECONDS.toNanos(
              Math.min(MAX_PATIENCE_MS, Math.max(1, in.number("patience_ms"))));
      switch (in.text("ask")) {
        case "status" -> reply.accept(Cbor.write(status(number, member.view().record())));
        case "read" ->
            member
                .read(patienceNanos)
                .whenComplete(
                    (record, failure) ->
                        reply.accept(
                            failure == null
                                ? Cbor.write(status(number, record))
                                : errorReply(number, failure.getMessage())));
        case "command" ->
            sendResult(
                number,
                member.submit(
                    checkAllowed(Command.Numbered.read(in.bytes("command"))), patienceNanos),
                reply);
        case "voter" ->
            sendResult(
                number,
                member.changeVoter(in.bool("add"), in.text("member"), patienceNanos),
                reply);
        default -> reply.accept(errorReply(number, "unknown call: " + in.text("ask")));
      }
    } catch (MalformedException e) {
      // There may be no call number to reply to; the caller times out.
    }
  }

  /**
   * Checks that operators may submit a command; all others are submitted only by the members
   * themselves.
   */
  private static Command.Numbered checkAllowed(Command.Numbered command) throws MalformedException {
    if (command.command() instanceof Command.Vouch || command.command() instanceof Command.Note) {
      return command;
    }
    throw new MalformedException("operators may not submit " + command.command());
  }

  private static void sendResult(
      long number, CompletableFuture<CommandResult> pendingResult, Consumer<byte[]> reply) {
    pendingResult.whenComplete(
        (result, failure) -> {
          if (failure != null) {
            reply.accept(errorReply(number, failure.getMessage()));
            return;
          }
          Map<String, Object> out = new LinkedHashMap<>();
          out.put("number", number);
          out.put("ok", true);
          out.put("answer", result.fields());
          reply.accept(Cbor.write(out));
        });
  }

  private static byte[] errorReply(long number, String reason) {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("number", number);
    out.put("ok", false);
    out.put("why", reason == null ? "unknown" : reason);
    return Cbor.write(out);
  }

  private Map<String, Object> status(long number, FleetRecord record) {
    FleetView view = member.view();
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("number", number);
    out.put("ok", true);
    out.put("fleet", settings.member().fleet());
    out.put("self", settings.member().self());
    out.put("joined", member.hasJoined());
    out.put("holds", member.hasValidLease());
    out.put("alone", settings.partitionPolicy().name());
    OptionalLong currentAt = view.currentAsOfNanos();
    out.put(
        "age_ms",
        currentAt.isEmpty()
            ? -1
            : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - currentAt.getAsLong()));
    out.put("leader", view.leader());
    out.put("voters", view.voters());
    out.put("index", record.index());
    out.put("known", settings.member().members());
    List<Map<String, Object>> sessions = new ArrayList<>();
    for (Session session : record.sessions()) {
      Map<String, Object> s = new LinkedHashMap<>();
      s.put("member", session.member());
      s.put("incarnation", session.incarnation());
      s.put("standing", session.status().name());
      s.put("since", session.sinceIndex());
      s.put("address", session.address());
      sessions.add(s);
    }
    out.put("sessions", sessions);
    List<Map<String, Object>> notes = new ArrayList<>();
    record
        .notes()
        .forEach(
            (key, note) -> {
              Map<String, Object> n = new LinkedHashMap<>();
              n.put("key", key);
              n.put("version", note.version());
              n.put("value", note.value());
              notes.add(n);
            });
    out.put("notes", notes);
    return out;
  }
}
