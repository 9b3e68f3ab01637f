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

/** What operators ask of a member: its view, and commands for the record. On the member's loop. */
final class OperatorCalls {
  private static final long LONGEST_MS = 60_000;

  private final FleetSettings settings;
  private Member member;

  OperatorCalls(FleetSettings settings) {
    this.settings = settings;
  }

  void member(Member of) {
    member = of;
  }

  void call(byte[] packet, Consumer<byte[]> back) {
    try {
      Fields in = Cbor.read(packet);
      long number = in.number("number");
      if (member == null) {
        back.accept(failure(number, "this member is still starting"));
        return;
      }
      long patience =
          TimeUnit.MILLISECONDS.toNanos(
              Math.min(LONGEST_MS, Math.max(1, in.number("patience_ms"))));
      switch (in.text("ask")) {
        case "status" -> back.accept(Cbor.write(status(number, member.view().record())));
        case "read" ->
            member
                .read(patience)
                .whenComplete(
                    (record, lost) ->
                        back.accept(
                            lost == null
                                ? Cbor.write(status(number, record))
                                : failure(number, lost.getMessage())));
        case "command" ->
            answer(
                number,
                member.submit(operators(Command.Numbered.read(in.bytes("command"))), patience),
                back);
        case "voter" ->
            answer(number, member.changeVoter(in.bool("add"), in.text("member"), patience), back);
        default -> back.accept(failure(number, "unknown question " + in.text("ask")));
      }
    } catch (MalformedException e) {
      // Its sender hears nothing and gives up; there is no number to answer to.
    }
  }

  /** What a member says of itself no operator says for it. */
  private static Command.Numbered operators(Command.Numbered command) throws MalformedException {
    if (command.command() instanceof Command.Vouch || command.command() instanceof Command.Note) {
      return command;
    }
    throw new MalformedException("operators do not give " + command.command());
  }

  private static void answer(
      long number, CompletableFuture<CommandResult> answer, Consumer<byte[]> back) {
    answer.whenComplete(
        (done, lost) -> {
          if (lost != null) {
            back.accept(failure(number, lost.getMessage()));
            return;
          }
          Map<String, Object> out = new LinkedHashMap<>();
          out.put("number", number);
          out.put("ok", true);
          out.put("answer", done.fields());
          back.accept(Cbor.write(out));
        });
  }

  private static byte[] failure(long number, String why) {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("number", number);
    out.put("ok", false);
    out.put("why", why == null ? "unknown" : why);
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
