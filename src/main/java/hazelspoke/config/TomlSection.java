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
 * One table of the file. Complaints are gathered, so that all are told at once; where there is one
 * the value returned is the one that was to be there in its absence.
 */
final class TomlSection {
  private static final int NEAR = 2;

  private final String file;
  private final String path;
  private final TomlTable table;
  private final List<String> complaints;
  private final Set<String> known = new LinkedHashSet<>();

  TomlSection(String file, String path, TomlTable table, List<String> complaints) {
    this.file = file;
    this.path = path;
    this.table = table;
    this.complaints = complaints;
  }

  void complain(String key, String what) {
    TomlPosition at = table.inputPositionOf(List.of(key));
    String line = at == null ? "" : ":" + at.line();
    complaints.add(file + line + ": " + (path.isEmpty() ? key : path + "." + key) + ": " + what);
  }

  Set<String> keys() {
    return table.keySet();
  }

  boolean has(String key) {
    known.add(key);
    return table.contains(List.of(key));
  }

  /** A table in this one; an empty one where there is none. */
  TomlSection section(String key) {
    Object value = has(key) ? table.get(List.of(key)) : null;
    String its = path.isEmpty() ? key : path + "." + key;
    if (value instanceof TomlTable inner) {
      return new TomlSection(file, its, inner, complaints);
    }
    complain(key, "expected a table, [" + its + "]");
    return new TomlSection(file, its, Toml.parse(""), complaints);
  }

  /** A text that must be given and not be empty. */
  String text(String key) {
    if (has(key) && table.get(List.of(key)) instanceof String text && !text.isBlank()) {
      return text;
    }
    complain(key, has(key) ? "expected a text that is not empty" : "is missing");
    return "";
  }

  String text(String key, String absent) {
    return has(key) ? text(key) : absent;
  }

  /** One of the names of an enum, in small letters. */
  <E extends Enum<E>> E one(String key, E absent) {
    if (!has(key)) {
      return absent;
    }
    String text = text(key);
    List<String> names = new ArrayList<>();
    for (E value : absent.getDeclaringClass().getEnumConstants()) {
      String name = value.name().toLowerCase(Locale.ROOT);
      if (name.equals(text)) {
        return value;
      }
      names.add("\"" + name + "\"");
    }
    complain(key, "expected " + String.join(" or ", names));
    return absent;
  }

  double number(String key, double absent, double least, double most) {
    if (!has(key)) {
      return absent;
    }
    Object value = table.get(List.of(key));
    double number = value instanceof Number n ? n.doubleValue() : Double.NaN;
    if (number >= least && number <= most) {
      return number;
    }
    complain(key, "expected a number from " + plain(least) + " to " + plain(most));
    return absent;
  }

  private static String plain(double number) {
    return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
  }

  /** Texts; empty where they are missing, with a complaint. */
  List<String> texts(String key) {
    List<String> out = new ArrayList<>();
    if (has(key) && table.get(List.of(key)) instanceof TomlArray array) {
      for (int i = 0; i < array.size(); i++) {
        if (array.get(i) instanceof String text && !text.isBlank()) {
          out.add(text);
        } else {
          complain(key, "expected texts that are not empty");
        }
      }
      return out;
    }
    complain(key, has(key) ? "expected a list of texts" : "is missing");
    return out;
  }

  /** Complains of every key that nobody has asked for. */
  void noOthers() {
    for (String key : table.keySet()) {
      if (!known.contains(key)) {
        String near = near(key, known);
        complain(key, "is unknown" + (near == null ? "" : "; did you mean " + near + "?"));
      }
    }
  }

  /** The one of some names that is nearest to another, if it is near at all; else null. */
  static String near(String name, Iterable<String> names) {
    String best = null;
    int least = NEAR + 1;
    for (String other : names) {
      int far = distance(name, other);
      if (far < least) {
        least = far;
        best = other;
      }
    }
    return best;
  }

  /** Levenshtein's. */
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
