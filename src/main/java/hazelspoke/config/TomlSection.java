package hazelspoke.config;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * One table of the file. Errors are collected, so that all are reported together; after an error
 * the default value is returned.
 */
final class TomlSection {
  private static final int MAX_EDIT_DISTANCE = 2;

  private final String file;
  private final String path;
  private final TomlTable table;
  private final List<String> errors;
  private final Set<String> readKeys = new LinkedHashSet<>();

  TomlSection(String file, String path, TomlTable table, List<String> errors) {
    this.file = file;
    this.path = path;
    this.table = table;
    this.errors = errors;
  }

  void error(String key, String what) {
    TomlPosition at = table.inputPositionOf(List.of(key));
    String line = at == null ? "" : ":" + at.line();
    errors.add(file + line + ": " + (path.isEmpty() ? key : path + "." + key) + ": " + what);
  }

  Set<String> keys() {
    return table.keySet();
  }

  boolean has(String key) {
    readKeys.add(key);
    return table.contains(List.of(key));
  }

  /** Returns the nested table; an empty one, with an error, if there is none. */
  TomlSection section(String key) {
    Object value = has(key) ? table.get(List.of(key)) : null;
    String nestedPath = path.isEmpty() ? key : path + "." + key;
    if (value instanceof TomlTable inner) {
      return new TomlSection(file, nestedPath, inner, errors);
    }
    error(key, "expected a table, [" + nestedPath + "]");
    return new TomlSection(file, nestedPath, Toml.parse(""), errors);
  }

  /** Returns a required, non-empty string. */
  String text(String key) {
    if (has(key) && table.get(List.of(key)) instanceof String text && !text.isBlank()) {
      return text;
    }
    error(key, has(key) ? "expected a non-empty string" : "is missing");
    return "";
  }

  String text(String key, String defaultValue) {
    return has(key) ? text(key) : defaultValue;
  }

  /** Returns the enum constant whose name in lower case is the value. */
  <E extends Enum<E>> E enumValue(String key, E defaultValue) {
    if (!has(key)) {
      return defaultValue;
    }
    String text = text(key);
    List<String> names = new ArrayList<>();
    for (E value : defaultValue.getDeclaringClass().getEnumConstants()) {
      String name = value.name().toLowerCase(Locale.ROOT);
      if (name.equals(text)) {
        return value;
      }
      names.add("\"" + name + "\"");
    }
    error(key, "expected " + String.join(" or ", names));
    return defaultValue;
  }

  double number(String key, double defaultValue, double min, double max) {
    if (!has(key)) {
      return defaultValue;
    }
    Object value = table.get(List.of(key));
    double number = value instanceof Number n ? n.doubleValue() : Double.NaN;
    if (number >= min && number <= max) {
      return number;
    }
    error(key, "expected a number from " + format(min) + " to " + format(max));
    return defaultValue;
  }

  private static String format(double number) {
    return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
  }

  /** Returns a list of non-empty strings; empty, with an error, if it is missing. */
  List<String> strings(String key) {
    List<String> out = new ArrayList<>();
    if (has(key) && table.get(List.of(key)) instanceof TomlArray array) {
      for (int i = 0; i < array.size(); i++) {
        if (array.get(i) instanceof String text && !text.isBlank()) {
          out.add(text);
        } else {
          error(key, "expected non-empty strings");
        }
      }
      return out;
    }
    error(key, has(key) ? "expected a list of strings" : "is missing");
    return out;
  }

  /** Reports an error for every key that was not read. */
  void rejectUnknownKeys() {
    for (String key : table.keySet()) {
      if (!readKeys.contains(key)) {
        String closest = closest(key, readKeys);
        error(key, "is unknown" + (closest == null ? "" : "; did you mean " + closest + "?"));
      }
    }
  }

  /** Returns the most similar of some names within {@link #MAX_EDIT_DISTANCE}, or null. */
  static String closest(String name, Iterable<String> names) {
    String best = null;
    int min = MAX_EDIT_DISTANCE + 1;
    for (String other : names) {
      int distance = distance(name, other);
      if (distance < min) {
        min = distance;
        best = other;
      }
    }
    return best;
  }

  /** Returns the Levenshtein distance. */
  private static int distance(String a, String b) {
    int[] row = new int[b.length() + 1];
    for (int j = 0; j <= b.length(); j++) {
      row[j] = j;
    }
    for (int i = 1; i <= a.length(); i++) {
      int corner = row[0];
      row[0] = i;
      for (int j = 1; j <= b.length(); j++) {
        int change = corner + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
        corner = row[j];
        row[j] = Math.min(change, 1 + Math.min(row[j], row[j - 1]));
      }
    }
    return row[b.length()];
  }
}
