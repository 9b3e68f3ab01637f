package hazelspoke.emulator.report;

import hazelspoke.emulator.judge.FaultEffect;
import hazelspoke.emulator.judge.RecordMetrics;
import hazelspoke.emulator.judge.Rule;
import hazelspoke.emulator.judge.Violation;
import hazelspoke.emulator.script.Script;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * What a rehearsal came to. Times are in milliseconds since the start of the load.
 *
 * @param windows by 5 s
 * @param seconds the same by the second
 * @param digest of all that was fixed before the start
 * @param crashes gateways that ended by themselves
 * @param hosts the names in the order of {@code queues}
 * @param record null where the gateways share none
 * @param queues a row a second: what each host held, -1 where it was down or is not known
 */
public record Results(
    Script script,
    long seed,
    String digest,
    List<Window> windows,
    List<Window> seconds,
    Map<String, ClassResult> classes,
    List<Violation> violations,
    int crashes,
    EmulatorLag emulatorLag,
    List<GatewayResult> gateways,
    List<FaultSummary> faults,
    List<ProcessTimeline.Lane> lanes,
    List<String> hosts,
    List<int[]> queues,
    long attempts,
    long repeats,
    RecordMetrics record) {

  /** What was asked in a span of time, by the moment it was planned for. */
  public record Window(
      double fromMs,
      int requested,
      int inTime,
      int late,
      int refused,
      int failed,
      int tries,
      double p50Ms,
      double p99Ms) {}

  /** One class over the whole rehearsal; quantiles are of what was served. */
  public record ClassResult(
      int requested,
      int served,
      int inTime,
      int refused,
      int failed,
      double p50Ms,
      double p95Ms,
      double p99Ms) {}

  /**
   * How late the emulator itself was, in milliseconds.
   *
   * @param ranLate whether the day counts for nothing because of it
   */
  public record EmulatorLag(
      boolean ranLate, double arrivalsP99, double arrivalsMax, double loopP99, double loopMax) {}

  /**
   * A gateway's process; figures a second, NaN where there is none.
   *
   * @param cpu cores in use
   */
  public record GatewayResult(
      String name,
      String site,
      int requested,
      int answered,
      double[] cpu,
      double[] memoryMb,
      double[] descriptors) {}

  /** A fault in words, and what it did by the hosts that it struck. */
  public record FaultSummary(double atMs, double endMs, String what, List<FaultEffect> effects) {
    public FaultSummary {
      effects = List.copyOf(effects);
    }
  }

  /** Breaches by rule, also of rules that were kept. */
  public Map<Rule, Integer> rules() {
    Map<Rule, Integer> out = new EnumMap<>(Rule.class);
    for (Rule rule : Rule.values()) {
      out.put(rule, 0);
    }
    violations.forEach(b -> out.merge(b.rule(), 1, Integer::sum));
    return out;
  }

  /** The cores that a gateway had in use, over all of them and their seconds. */
  public double meanCores() {
    return gateways.stream()
        .flatMapToDouble(g -> Arrays.stream(g.cpu()))
        .filter(c -> !Double.isNaN(c))
        .average()
        .orElse(Double.NaN);
  }

  /** The same of the gateway that had the most. */
  public double maxCores() {
    return gateways.stream()
        .mapToDouble(
            g -> Arrays.stream(g.cpu()).filter(c -> !Double.isNaN(c)).average().orElse(Double.NaN))
        .max()
        .orElse(Double.NaN);
  }

  /** The most memory that a gateway had, in MB. */
  public double maxMemoryMb() {
    return most(g -> g.memoryMb());
  }

  /** The most descriptors that a gateway had open. */
  public double maxDescriptors() {
    return most(g -> g.descriptors());
  }

  private double most(Function<GatewayResult, double[]> figure) {
    return gateways.stream()
        .flatMapToDouble(g -> Arrays.stream(figure.apply(g)))
        .filter(v -> !Double.isNaN(v))
        .max()
        .orElse(Double.NaN);
  }

  /** Whether every rule was kept and no gateway crashed. */
  public boolean allRulesKept() {
    return violations.isEmpty() && crashes == 0;
  }
}
