package hazelspoke.core;

import java.util.ArrayList;
import java.util.List;

/** The names that peers use on sockets, each list in the order of the settings. */
public record Names(
    List<String> classes,
    List<String> tenants,
    List<String> zones,
    List<String> kinds,
    List<String> reportColumns) {
  /** A tenant's place; an unknown one comes after all others, where no quota is looked for. */
  public int tenantIndex(String name) {
    int place = name == null ? 0 : tenants.indexOf(name);
    return place < 0 ? tenants.size() : place;
  }

  /** A kind's place; all unknown ones share the place after the known. */
  public int kindIndex(String name) {
    int place = kinds.indexOf(name);
    return place < 0 ? kinds.size() : place;
  }

  /**
   * A load report in the order of the settings, from text such as {@code TEXT inflight=7, queue=2};
   * empty when it does not hold every column.
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
