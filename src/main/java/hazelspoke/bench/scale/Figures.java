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

/** All that was measured: for each figure its values by size, with the line through them. */
final class Figures {
  private static final int DIGITS = 4;

  /** A figure's name with its unit, then sizes, then the rounds of each. */
  private final Map<String, TreeMap<Integer, List<Double>>> values = new LinkedHashMap<>();

  /** What the sizes of a figure count, by its name. */
  private final Map<String, String> by = new LinkedHashMap<>();

  /** Adds one round's value; of figures that are the same, sizes count the same. */
  void add(String figure, String of, int size, double value) {
    by.put(figure, of);
    values
        .computeIfAbsent(figure, f -> new TreeMap<>())
        .computeIfAbsent(size, s -> new java.util.ArrayList<>())
        .add(value);
  }

  private static List<Slope.Point> points(TreeMap<Integer, List<Double>> sizes) {
    return sizes.entrySet().stream()
        .flatMap(e -> e.getValue().stream().map(v -> new Slope.Point(e.getKey(), v)))
        .toList();
  }

  /** Prints a line a figure: the median of each size, the slope, and how far off a point is. */
  void print(PrintStream out) {
    values.forEach(
        (figure, sizes) -> {
          out.printf("%s, by %s%n   ", figure, by.get(figure));
          sizes.forEach(
              (size, rounds) -> out.printf(" %d: %s", size, text(Slope.quantile(rounds, 0.5))));
          if (sizes.size() > 1) {
            Slope slope = Slope.through(points(sizes));
            out.printf(
                Locale.ROOT,
                "; %s + %s each, off by %.0f %% at most",
                text(slope.base()),
                text(slope.each()),
                100 * slope.off());
          }
          out.println();
        });
  }

  private static String text(double value) {
    return String.format(Locale.ROOT, "%." + DIGITS + "g", value);
  }

  /** Writes all rounds and slopes as JSON. */
  void write(Path file) throws IOException {
    try (Writer to = Files.newBufferedWriter(file);
        JsonGenerator out =
            new JsonFactory().createGenerator(to).setPrettyPrinter(new DefaultPrettyPrinter())) {
      out.writeStartObject();
      for (Map.Entry<String, TreeMap<Integer, List<Double>>> figure : values.entrySet()) {
        out.writeObjectFieldStart(figure.getKey());
        out.writeStringField("by", by.get(figure.getKey()));
        out.writeObjectFieldStart("rounds");
        for (Map.Entry<Integer, List<Double>> size : figure.getValue().entrySet()) {
          out.writeArrayFieldStart(size.getKey().toString());
          for (double value : size.getValue()) {
            out.writeNumber(value);
          }
          out.writeEndArray();
        }
        out.writeEndObject();
        if (figure.getValue().size() > 1) {
          Slope slope = Slope.through(points(figure.getValue()));
          out.writeNumberField("base", slope.base());
          out.writeNumberField("each", slope.each());
          out.writeNumberField("off", slope.off());
        }
        out.writeEndObject();
      }
      out.writeEndObject();
    }
  }
}
