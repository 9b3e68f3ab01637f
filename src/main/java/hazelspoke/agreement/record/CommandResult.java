package hazelspoke.agreement.record;

import hazelspoke.agreement.wire.Fields;
import hazelspoke.agreement.wire.MalformedException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What became of a command.
 *
 * @param succeeded whether it changed the record, or had done so before
 * @param number the incarnation of who joined, the version of a note (the present one if it was not
 *     changed); else 0
 * @param reason one line where it was not done
 */
public record CommandResult(boolean succeeded, long number, String reason) {
  static CommandResult success(long number) {
    return new CommandResult(true, number, "");
  }

  static CommandResult rejected(long number, String reason) {
    return new CommandResult(false, number, reason);
  }

  /** The fields of an answer, ready to be written. */
  public Map<String, Object> fields() {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("done", succeeded);
    out.put("number", number);
    out.put("why", reason);
    return out;
  }

  /**
   * Reads what {@link #fields} has written.
   *
   * @throws MalformedException for anything else
   */
  public static CommandResult read(Fields in) throws MalformedException {
    return new CommandResult(in.bool("done"), in.number("number"), in.text("why"));
  }
}
