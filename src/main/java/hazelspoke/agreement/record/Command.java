package hazelspoke.agreement.record;

import hazelspoke.agreement.wire.Cbor;
import hazelspoke.agreement.wire.Fields;
import hazelspoke.agreement.wire.MalformedException;
import java.util.LinkedHashMap;
import java.util.Map;

/** What an entry of the record asks for. */
public sealed interface Command {
  /** The longest name, key or address, in characters. */
  int MAX_NAME_CHARS = 255;

  /** The longest value of a note, in characters. */
  int MAX_NOTE_CHARS = 4_096;

  /**
   * A process begins to belong.
   *
   * @param member its name in the fleet
   * @param storeId its data folder's own name, which nobody else has; only one process uses a
   *     folder
   * @param sessionEpoch higher than those of all processes that used the folder before
   * @param address where the others reach it
   */
  record Join(String member, String storeId, long sessionEpoch, String address)
      implements Command {}

  /** A process goes for good. */
  record Leave(String member, long incarnation) implements Command {}

  /** Its term ran out at a leader. */
  record Lapse(String member, long incarnation) implements Command {}

  /** It was silent and is here again. */
  record Back(String member, long incarnation) implements Command {}

  /** It is certain to be over: its machine refuses connections at its port. */
  record Refused(String member, long incarnation) implements Command {}

  /** It is certain to be over: an operator says so, by name. */
  record Vouch(String member) implements Command {}

  /**
   * A text that operators and gateways leave for one another.
   *
   * @param expected the version that it has to have, 0 for none yet; below 0 for any
   */
  record Note(String key, long expected, String value) implements Command {}

  /** The fields of a command, ready to be written. */
  static Map<String, Object> fields(Command command) {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("do", command.getClass().getSimpleName());
    if (command instanceof Join join) {
      out.put("member", join.member);
      out.put("home", join.storeId);
      out.put("life", join.sessionEpoch);
      out.put("address", join.address);
    } else if (command instanceof Vouch vouch) {
      out.put("member", vouch.member);
    } else if (command instanceof Note note) {
      out.put("key", note.key);
      out.put("expected", note.expected);
      out.put("value", note.value);
    } else if (command instanceof Leave of) {
      of(out, of.member, of.incarnation);
    } else if (command instanceof Lapse of) {
      of(out, of.member, of.incarnation);
    } else if (command instanceof Back of) {
      of(out, of.member, of.incarnation);
    } else if (command instanceof Refused of) {
      of(out, of.member, of.incarnation);
    }
    return out;
  }

  private static void of(Map<String, Object> out, String member, long incarnation) {
    out.put("member", member);
    out.put("incarnation", incarnation);
  }

  /**
   * Reads what {@link #fields} has written.
   *
   * @throws MalformedException for one that is unknown, lacks something or is too long
   */
  static Command read(Fields in) throws MalformedException {
    return switch (in.text("do")) {
      case "Join" ->
          new Join(name(in, "member"), name(in, "home"), in.number("life"), name(in, "address"));
      case "Leave" -> new Leave(name(in, "member"), in.number("incarnation"));
      case "Lapse" -> new Lapse(name(in, "member"), in.number("incarnation"));
      case "Back" -> new Back(name(in, "member"), in.number("incarnation"));
      case "Refused" -> new Refused(name(in, "member"), in.number("incarnation"));
      case "Vouch" -> new Vouch(name(in, "member"));
      case "Note" ->
          new Note(name(in, "key"), in.number("expected"), text(in, "value", MAX_NOTE_CHARS));
      default -> throw new MalformedException("unknown command " + in.text("do"));
    };
  }

  private static String name(Fields in, String field) throws MalformedException {
    String name = text(in, field, MAX_NAME_CHARS);
    if (name.isEmpty()) {
      throw new MalformedException(field + " is empty");
    }
    return name;
  }

  private static String text(Fields in, String field, int maxChars) throws MalformedException {
    String text = in.text(field);
    if (text.length() > maxChars) {
      throw new MalformedException(field + " is longer than " + maxChars + " characters");
    }
    return text;
  }

  /**
   * A command with who gives it, so that a repeat is known as one.
   *
   * @param origin a process's life or an operator's call, never used by another
   * @param number of the command among its origin's, growing
   */
  record Numbered(String origin, long number, Command command) {
    public byte[] bytes() {
      Map<String, Object> out = new LinkedHashMap<>();
      out.put("origin", origin);
      out.put("number", number);
      out.put("command", fields(command));
      return Cbor.write(out);
    }

    /**
     * Reads what {@link #bytes} has written.
     *
     * @throws MalformedException for anything else
     */
    public static Numbered read(byte[] bytes) throws MalformedException {
      Fields in = Cbor.read(bytes);
      return new Numbered(
          name(in, "origin"), in.number("number"), Command.read(in.fields("command")));
    }
  }
}
