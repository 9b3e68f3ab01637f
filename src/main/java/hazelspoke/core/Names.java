package hazelspoke.core;

import java.util.ArrayList;
import java.util.List;

/** The names used on the wire, each list in the order of the settings. */
public record Names(
    List<String> classes,
    List<String> tenants,
    List<String> zones,
    List<String> kinds,
    List<String> reportColumns) {
  /**
   * The index of a tenant. Unknown tenants get the index after the last, for which no quota
   * applies.
   */
  public int tenantIndex(String name) {
    int index = name == null ? 0 : tenants.indexOf(name);
    return index < 0 ? tenants.size() : index;
  }

  /** The index of a kind of host. Unknown kinds share the index after the last. */
  public int kindIndex(String name) {
    int index = kinds.indexOf(name);
    return index < 0 ? kinds.size() : index;
  }

  /**
   * Parses a load report such as {@code TEXT inflight=7, queue=2} into values in the order of the
   * settings; empty if a column is missing or invalid.
   */
  List<Double> parseReport(String text) {
    List<Double> out = new ArrayList<>();
    for (String column : reportColumns) {
      Double value = valueOf(column, text);
      if (value == null) {
        return List.of();
      }
      out.add(value);
    }
    return out;
  }

  private static Double valueOf(String name, String text) {
    for (String part : text.split("[\\s,]+")) {
      if (part.startsWith(name + "=")) {
        try {
          return Double.valueOf(part.substring(name.length() + 1));
        } catch (NumberFormatException e) {
          return null;
        }
      }
    }
    return null;
  }
}
