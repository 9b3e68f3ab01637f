package hazelspoke.emulator.script;

/** A script that cannot be played; the message is one line: file, line, key, what was expected. */
public final class ScriptException extends Exception {
  private static final long serialVersionUID = 1L;

  public ScriptException(String file, int line, String key, String expected) {
    super(file + ":" + line + ": " + (key.isEmpty() ? "" : key + ": ") + expected);
  }
}
