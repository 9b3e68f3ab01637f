package hazelspoke.emulator.script;

/**
 * Thrown for a script that cannot be run; the message is one line with file, line, key and the
 * expected value.
 */
public final class ScriptException extends Exception {
  private static final long serialVersionUID = 1L;

  public ScriptException(String file, int line, String key, String expected) {
    super(file + ":" + line + ": " + (key.isEmpty() ? "" : key + ": ") + expected);
  }
}
