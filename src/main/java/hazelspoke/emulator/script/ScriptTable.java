package hazelspoke.emulator.script;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** A validated view of one table of a script; every error names its file, line and key. */
final class ScriptTable {
  private final String file;
  private final String path;
  private final TomlTable table;
  private final int line;
  private final Set<String> known = new HashSet<>();

  ScriptTable(String file, String path, TomlTable table, int line) {
    this.file = file;
    this.path = path;
    this.table = table;
    this.line = line;
  }

  boolean has(String key) {
    known.add(key);
    return table.contains(List.of(key));
  }

  /** Returns a number from {@code min} to {@code max}, or {@code absent} if the key is missing. */
  double number(String key, double absent, double min, double max) throws ScriptException {
    if (!has(key)) {
      return absent;
    }
    double value = number(table.get(List.of(key)));
    if (!(value >= min && value <= max)) {
      throw fail(key, "expected a number from " + plain(min) + " to " + plain(max));
    }
    return value;
  }

  /** Returns the number of a required key. */
  double number(String key, double min, double max) throws ScriptException {
    require(key, "a number from " + plain(min) + " to " + plain(max));
    return number(key, 0, min, max);
  }

  int whole(String key, int absent, int min, int max) throws ScriptException {
    double value = number(key, absent, min, max);
    if (value != (int) value) {
      throw fail(key, "expected a whole number from " + min + " to " + max);
    }
    return (int) value;
  }

  boolean flag(String key, boolean absent) throws ScriptException {
    if (!has(key)) {
      return absent;
    }
    if (table.get(List.of(key)) instanceof Boolean value) {
      return value;
    }
    throw fail(key, "expected true or false");
  }

  String text(String key, String absent) throws ScriptException {
    if (!has(key)) {
      return absent;
    }
    if (table.get(List.of(key)) instanceof String value) {
      return value;
    }
    throw fail(key, "expected a text in quotes");
  }

  /**
   * Returns an enum constant that is written in lower case, or {@code absent} if the key is
   * missing.
   */
  <T extends Enum<T>> T word(String key, T absent, Class<T> type) throws ScriptException {
    String text = text(key, null);
    if (text == null) {
      return absent;
    }
    List<String> words = new ArrayList<>();
    for (T constant : type.getEnumConstants()) {
      String word = constant.name().toLowerCase(Locale.ROOT);
      if (word.equals(text)) {
        return constant;
      }
      words.add(word);
    }
    throw fail(key, "expected one of " + String.join(", ", words) + ", not \"" + text + "\"");
  }

  List<String> texts(String key, List<String> absent) throws ScriptException {
    if (!has(key)) {
      return absent;
    }
    List<String> out = new ArrayList<>();
    if (table.get(List.of(key)) instanceof TomlArray array) {
      for (int i = 0; i < array.size(); i++) {
        if (!(array.get(i) instanceof String value) || value.isEmpty()) {
          throw fail(key, "expected a list of texts");
        }
        out.add(value);
      }
      if (!out.isEmpty() && new HashSet<>(out).size() == out.size()) {
        return List.copyOf(out);
      }
    }
    throw fail(key, "expected a list of different texts, not empty");
  }

  /** Returns a nested table, empty if the key is missing. */
  ScriptTable table(String key) throws ScriptException {
    if (!has(key)) {
      return new ScriptTable(file, join(key), Toml.parse(""), line);
    }
    if (table.get(List.of(key)) instanceof TomlTable inner) {
      return new ScriptTable(file, join(key), inner, lineOf(key));
    }
    throw fail(key, "expected a table");
  }

  /** Returns the elements of an array of tables, in the order of the script. */
  List<ScriptTable> tables(String key) throws ScriptException {
    List<ScriptTable> out = new ArrayList<>();
    if (has(key)) {
      if (!(table.get(List.of(key)) instanceof TomlArray array)) {
        throw fail(key, "expected tables headed [[" + key + "]]");
      }
      for (int i = 0; i < array.size(); i++) {
        if (!(array.get(i) instanceof TomlTable inner)) {
          throw fail(key, "expected tables headed [[" + key + "]]");
        }
        out.add(
            new ScriptTable(
                file, join(key) + "[" + (i + 1) + "]", inner, array.inputPositionOf(i).line()));
      }
    }
    return out;
  }

  /** Rejects keys that were not read; a misspelt key would otherwise be ignored. */
  void rejectUnknownKeys() throws ScriptException {
    for (String key : table.keySet()) {
      if (!known.contains(key)) {
        throw fail(key, "expected one of " + String.join(", ", new TreeSet<>(known)) + " here");
      }
    }
  }

  void require(String key, String expected) throws ScriptException {
    if (!has(key)) {
      throw fail(key, "is missing; expected " + expected);
    }
  }

  ScriptException fail(String key, String expected) {
    return new ScriptException(file, lineOf(key), join(key), expected);
  }

  /** Returns the line of a key, or of the table if the key is missing. */
  int lineOf(String key) {
    TomlPosition position = table.inputPositionOf(List.of(key));
    return position == null ? line : position.line();
  }

  private String join(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  private static double number(Object value) {
    return value instanceof Number n ? n.doubleValue() : Double.NaN;
  }

  private static String plain(double value) {
    return value == (long) value ? Long.toString((long) value) : Double.toString(value);
  }
}
