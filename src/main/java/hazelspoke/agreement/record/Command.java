package hazelspoke.agreement.record;

import hazelspoke.agreement.wire.Cbor;
import hazelspoke.agreement.wire.Fields;
import hazelspoke.agreement.wire.MalformedException;
import java.util.LinkedHashMap;
import java.util.Map;

/** A change of the record that one entry requests. */
public sealed interface Command {
  /** The maximum length of a name, key or address. */
  int MAX_NAME_CHARS = 255;

  /** The maximum length of a note's value. */
  int MAX_NOTE_CHARS = 4_096;

  /**
   * A process joins the fleet.
   *
   * @param member the name of the process in the fleet
   * @param storeId the unique id of its data directory, which only one process uses at a time
   * @param sessionEpoch higher than every earlier epoch of the same data directory
   * @param address where other members reach the process
   */
  record Join(String member, String storeId, long sessionEpoch, String address)
      implements Command {}

  /** A process leaves the fleet for good. */
  record Leave(String member, long incarnation) implements Command {}

  /** The lease of a process expired at a leader. */
  record Lapse(String member, long incarnation) implements Command {}

  /** A process whose lease had expired renews again. */
  record Back(String member, long incarnation) implements Command {}

  /** A process has ended for certain: its machine refuses connections at its port. */
  record Refused(String member, long incarnation) implements Command {}

  /** A process has ended for certain: an operator confirms it by the member's name. */
  record Vouch(String member) implements Command {}

  /**
   * Writes a text that operators and gateways share under a key.
   *
   * @param expected the version that the note must have before the write; 0 if it must not exist, a
   *     negative number for any version
   */
  record Note(String key, long expected, String value) implements Command {}

  /** Returns the fields of a command for encoding. */
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
    } else if (command instanceof Leave leave) {
      putSession(out, leave.member, leave.incarnation);
    } else if (command instanceof Lapse lapse) {
      putSession(out, lapse.member, lapse.incarnation);
    } else if (command instanceof Back back) {
      putSession(out, back.member, back.incarnation);
    } else if (command instanceof Refused refused) {
      putSession(out, refused.member, refused.incarnation);
    }
    return out;
  }

  private static void putSession(Map<String, Object> out, String member, long incarnation) {
    out.put("member", member);
    out.put("incarnation", incarnation);
  }

  /**
   * Reads a command from the fields that {@link #fields} returned.
   *
   * @throws MalformedException if the command is unknown, lacks a field or exceeds a length limit
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
   * A command with its origin and sequence number, by which a repeated command is recognised.
   *
   * @param origin the session epoch of a process or the call of an operator; never reused
   * @param number increases with each command of the same origin
   */
  record Numbered(String origin, long number, Command command) {
    /** Encodes the command with its origin and number. */
    public byte[] bytes() {
      Map<String, Object> out = new LinkedHashMap<>();
      out.put("origin", origin);
      out.put("number", number);
      out.put("command", fields(command));
      return Cbor.write(out);
    }

    /**
     * Decodes what {@link #bytes} returned.
     *
     * @throws MalformedException if the bytes are malformed or the command is unknown
     */
    public static Numbered read(byte[] bytes) throws MalformedException {
      Fields in = Cbor.read(bytes);
      return new Numbered(
          name(in, "origin"), in.number("number"), Command.read(in.fields("command")));
    }
  }
}
