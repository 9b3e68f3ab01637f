package hazelspoke.agreement.record;

import hazelspoke.agreement.wire.Fields;
import hazelspoke.agreement.wire.MalformedException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The result of applying a command to the record.
 *
 * @param succeeded whether the record is in the requested state, changed by this command or before
 * @param number the incarnation for a join, the version for a note (the current version if the note
 *     was not changed); for other commands the index of an entry, or 0
 * @param reason one line that says why the command was rejected; empty if it succeeded
 */
public record CommandResult(boolean succeeded, long number, String reason) {
  static CommandResult success(long number) {
    return new CommandResult(true, number, "");
  }

  static CommandResult rejected(long number, String reason) {
    return new CommandResult(false, number, reason);
  }

  /** Returns the fields of this result for encoding. */
  public Map<String, Object> fields() {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("done", succeeded);
    out.put("number", number);
    out.put("why", reason);
    return out;
  }

  /**
   * Reads a result from the fields that {@link #fields} returned.
   *
   * @throws MalformedException if a field is missing or has another type
   */
  public static CommandResult read(Fields in) throws MalformedException {
    return new CommandResult(in.bool("done"), in.number("number"), in.text("why"));
  }
}
