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
 * The results of a rehearsal. Times are in milliseconds since the start of the load.
 *
 * @param windows outcomes per 5 s
 * @param seconds outcomes per second
 * @param digest of the inputs that were fixed before the start
 * @param crashes number of gateways that exited unexpectedly
 * @param hosts names of the hosts, in the order of {@code queues}
 * @param record null if the gateways share no record
 * @param queues one row per second: the requests at each host, -1 if it was down or the number is
 *     unknown
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

  /** The requests that were planned for an interval. */
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

  /** One class over the complete rehearsal; quantiles are of served requests. */
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
   * The lag of the emulator itself, in milliseconds.
   *
   * @param ranLate whether the lag makes the rehearsal invalid
   */
  public record EmulatorLag(
      boolean ranLate, double arrivalsP99, double arrivalsMax, double loopP99, double loopMax) {}

  /**
   * The process of a gateway; metrics per second, NaN if there is none.
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

  /** The description of a fault and its effect on each affected host. */
  public record FaultSummary(double atMs, double endMs, String what, List<FaultEffect> effects) {
    public FaultSummary {
      effects = List.copyOf(effects);
    }
  }

  /** Returns the number of violations per rule, including 0. */
  public Map<Rule, Integer> rules() {
    Map<Rule, Integer> out = new EnumMap<>(Rule.class);
    for (Rule rule : Rule.values()) {
      out.put(rule, 0);
    }
    violations.forEach(b -> out.merge(b.rule(), 1, Integer::sum));
    return out;
  }

  /** Returns the mean number of cores in use per gateway, over all gateways and seconds. */
  public double meanCores() {
    return gateways.stream()
        .flatMapToDouble(g -> Arrays.stream(g.cpu()))
        .filter(c -> !Double.isNaN(c))
        .average()
        .orElse(Double.NaN);
  }

  /** Returns the highest mean number of cores in use of any gateway. */
  public double maxCores() {
    return gateways.stream()
        .mapToDouble(
            g -> Arrays.stream(g.cpu()).filter(c -> !Double.isNaN(c)).average().orElse(Double.NaN))
        .max()
        .orElse(Double.NaN);
  }

  /** Returns the maximum memory of any gateway, in MB. */
  public double maxMemoryMb() {
    return max(g -> g.memoryMb());
  }

  /** Returns the maximum number of open descriptors of any gateway. */
  public double maxDescriptors() {
    return max(g -> g.descriptors());
  }

  private double max(Function<GatewayResult, double[]> metric) {
    return gateways.stream()
        .flatMapToDouble(g -> Arrays.stream(metric.apply(g)))
        .filter(v -> !Double.isNaN(v))
        .max()
        .orElse(Double.NaN);
  }

  /** Returns whether all rules were kept and no gateway crashed. */
  public boolean allRulesKept() {
    return violations.isEmpty() && crashes == 0;
  }
}
