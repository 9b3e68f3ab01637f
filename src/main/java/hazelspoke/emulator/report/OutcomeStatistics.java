package hazelspoke.emulator.report;

import hazelspoke.emulator.model.Outcome;
import hazelspoke.emulator.model.Outcome.Result;
import hazelspoke.emulator.script.Script;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Counts outcomes by time and by class. */
public final class OutcomeStatistics {
  /** Interval of the tables; {@link #PLOT_MS} is the interval of the plots. */
  public static final double WINDOW_MS = 5_000;

  public static final double PLOT_MS = 1_000;

  private final Script script;
  private final List<Outcome> outcomes;

  /**
   * @param outcomes one per request, with times since the start of the load
   */
  public OutcomeStatistics(Script script, List<Outcome> outcomes) {
    this.script = script;
    this.outcomes = List.copyOf(outcomes);
  }

  /** Returns the outcomes per interval of this length, by the planned time of the request. */
  public List<Results.Window> windows(double spanMs) {
    int count = (int) Math.ceil(script.lengthMs() / spanMs);
    List<List<Outcome>> spans = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      spans.add(new ArrayList<>());
    }
    for (Outcome o : outcomes) {
      spans.get((int) (o.arrival().atMs() / spanMs)).add(o);
    }
    List<Results.Window> out = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      out.add(window(i * spanMs, spans.get(i)));
    }
    return out;
  }

  private Results.Window window(double from, List<Outcome> in) {
    Quantiles latencies = latencies(in);
    int inTime = inTime(in);
    return new Results.Window(
        from,
        in.size(),
        inTime,
        count(in, Result.SERVED) - inTime,
        count(in, Result.REFUSED),
        count(in, Result.FAILED),
        in.stream().mapToInt(Outcome::tries).sum(),
        latencies.at(0.5),
        latencies.at(0.99));
  }

  /** Returns the result of each class of the script, including classes without requests. */
  public Map<String, Results.ClassResult> classes() {
    Map<String, Results.ClassResult> out = new LinkedHashMap<>();
    for (int c = 0; c < script.classes().size(); c++) {
      int wanted = c;
      List<Outcome> in =
          outcomes.stream().filter(o -> o.arrival().requestClass() == wanted).toList();
      Quantiles latencies = latencies(in);
      out.put(
          script.classes().get(c).name(),
          new Results.ClassResult(
              in.size(),
              count(in, Result.SERVED),
              inTime(in),
              count(in, Result.REFUSED),
              count(in, Result.FAILED),
              latencies.at(0.5),
              latencies.at(0.95),
              latencies.at(0.99)));
    }
    return out;
  }

  private int inTime(List<Outcome> in) {
    return (int)
        in.stream()
            .filter(o -> o.result() == Result.SERVED)
            .filter(o -> o.latencyMs() <= script.classes().get(o.arrival().requestClass()).aimMs())
            .count();
  }

  private static int count(List<Outcome> in, Result result) {
    return (int) in.stream().filter(o -> o.result() == result).count();
  }

  private static Quantiles latencies(List<Outcome> in) {
    return new Quantiles(
        in.stream()
            .filter(o -> o.result() == Result.SERVED)
            .mapToDouble(Outcome::latencyMs)
            .toArray());
  }
}
