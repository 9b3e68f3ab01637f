package hazelspoke.bench.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import java.io.IOException;
import java.io.PrintStream;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Measured values of each metric by size, with a linear fit over the sizes. */
final class MetricTable {
  private static final int SIGNIFICANT_DIGITS = 4;

  /** Values of each round by size, by the metric name, which includes the unit. */
  private final Map<String, TreeMap<Integer, List<Double>>> values = new LinkedHashMap<>();

  /** What the sizes of a metric count, by metric name. */
  private final Map<String, String> sizeUnits = new LinkedHashMap<>();

  /** Adds the value of one round. All values of a metric must use the same size unit. */
  void add(String metric, String sizeUnit, int size, double value) {
    sizeUnits.put(metric, sizeUnit);
    values
        .computeIfAbsent(metric, f -> new TreeMap<>())
        .computeIfAbsent(size, s -> new java.util.ArrayList<>())
        .add(value);
  }

  private static List<LinearFit.Point> points(TreeMap<Integer, List<Double>> sizes) {
    return sizes.entrySet().stream()
        .flatMap(e -> e.getValue().stream().map(v -> new LinearFit.Point(e.getKey(), v)))
        .toList();
  }

  /** Prints per metric the median at each size, the fitted line and its largest relative error. */
  void print(PrintStream out) {
    values.forEach(
        (metric, sizes) -> {
          out.printf("%s, by %s%n   ", metric, sizeUnits.get(metric));
          sizes.forEach(
              (size, rounds) ->
                  out.printf(" %d: %s", size, format(LinearFit.quantile(rounds, 0.5))));
          if (sizes.size() > 1) {
            LinearFit fit = LinearFit.fit(points(sizes));
            out.printf(
                Locale.ROOT,
                "; %s + %s each, off by %.0f %% at most",
                format(fit.intercept()),
                format(fit.slope()),
                100 * fit.maxRelativeError());
          }
          out.println();
        });
  }

  private static String format(double value) {
    return String.format(Locale.ROOT, "%." + SIGNIFICANT_DIGITS + "g", value);
  }

  /** Writes the values of all rounds and the fitted lines as JSON. */
  void write(Path file) throws IOException {
    try (Writer writer = Files.newBufferedWriter(file);
        JsonGenerator out =
            new JsonFactory()
                .createGenerator(writer)
                .setPrettyPrinter(new DefaultPrettyPrinter())) {
      out.writeStartObject();
      for (Map.Entry<String, TreeMap<Integer, List<Double>>> metric : values.entrySet()) {
        out.writeObjectFieldStart(metric.getKey());
        out.writeStringField("by", sizeUnits.get(metric.getKey()));
        out.writeObjectFieldStart("rounds");
        for (Map.Entry<Integer, List<Double>> size : metric.getValue().entrySet()) {
          out.writeArrayFieldStart(size.getKey().toString());
          for (double value : size.getValue()) {
            out.writeNumber(value);
          }
          out.writeEndArray();
        }
        out.writeEndObject();
        if (metric.getValue().size() > 1) {
          LinearFit fit = LinearFit.fit(points(metric.getValue()));
          out.writeNumberField("base", fit.intercept());
          out.writeNumberField("each", fit.slope());
          out.writeNumberField("off", fit.maxRelativeError());
        }
        out.writeEndObject();
      }
      out.writeEndObject();
    }
  }
}
