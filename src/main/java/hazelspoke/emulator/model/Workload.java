package hazelspoke.emulator.model;

import hazelspoke.emulator.script.Fault;
import hazelspoke.emulator.script.Script;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Plans every request before the first is sent. Arrivals are open-loop, a Poisson process with a
 * varying rate, so that a slow gateway does not slow the load (Schroeder, Wierman, Harchol-Balter
 * 2006).
 */
final class Workload {
  private static final double SEGMENT_MS = 1_000;
  private static final double MS_PER_S = 1_000;
  private static final double US_PER_MS = 1_000;

  /** Relative spread of the sites' shares of the traffic. */
  private static final double SITE_SKEW = 0.3;

  /** Coefficient of variation of the clients' estimates of their work. */
  private static final double HINT_CV = 0.1;

  private final Script script;
  private final long seed;

  Workload(Script script, long seed) {
    this.script = script;
    this.seed = seed;
  }

  List<Arrival> draw() {
    Script.Load load = script.load();
    SplittableRandom times = SeededRandom.stream(seed, "times");
    SplittableRandom content = SeededRandom.stream(seed, "content");
    double[] segments = segments(SeededRandom.stream(seed, "segments"));
    double[] sites = sites(SeededRandom.stream(seed, "sites"));
    double[] classes =
        cumulativeShares(script.classes().stream().mapToDouble(c -> c.share()).toArray());
    double[] keys = new double[load.keys()];
    for (int i = 0; i < keys.length; i++) {
      keys[i] = Math.pow(i + 1, -load.zipf());
    }
    keys = cumulativeShares(keys);
    List<Arrival> out = new ArrayList<>();
    double at = 0;
    while (true) {
      // Inverts the cumulative rate of the process segment by segment.
      double units = -Math.log(1 - times.nextDouble());
      while (at < script.lengthMs()) {
        double rate = rate(at, segments);
        double nextRateChange = nextRateChange(at);
        double unitsUntilChange = (nextRateChange - at) * rate;
        if (unitsUntilChange >= units) {
          at += units / rate;
          break;
        }
        units -= unitsUntilChange;
        at = nextRateChange;
      }
      if (at >= script.lengthMs()) {
        return List.copyOf(out);
      }
      int c = pick(classes, content.nextDouble());
      Script.RequestClass type = script.classes().get(c);
      double work = SeededRandom.logNormal(content, type.workMs(), type.cv());
      double tail = content.nextDouble();
      for (Fault f : script.faults()) {
        if (f.kind() == Fault.Kind.HEAVY_TAIL
            && f.requestClass().equals(type.name())
            && at >= f.atMs()
            && at < f.endMs()
            && tail < f.to()) {
          work *= f.factor();
        }
      }
      double hint = work * SeededRandom.logNormal(content, 1, HINT_CV);
      out.add(
          new Arrival(
              out.size(),
              at,
              pick(sites, content.nextDouble()),
              c,
              pick(keys, content.nextDouble()),
              work,
              Math.max(1, (long) (hint * US_PER_MS))));
    }
  }

  /** Requests per millisecond. */
  private double rate(double at, double[] segments) {
    double rate = script.load().rate() / MS_PER_S * segments[(int) (at / SEGMENT_MS)];
    for (Script.Surge s : script.load().surges()) {
      if (at >= s.atMs() && at < s.atMs() + s.forMs()) {
        rate *= s.factor();
      }
    }
    return rate;
  }

  /** The next time at which the rate may change. */
  private double nextRateChange(double at) {
    double nextRateChange = (Math.floor(at / SEGMENT_MS) + 1) * SEGMENT_MS;
    for (Script.Surge s : script.load().surges()) {
      for (double e : new double[] {s.atMs(), s.atMs() + s.forMs()}) {
        if (e > at) {
          nextRateChange = Math.min(nextRateChange, e);
        }
      }
    }
    return nextRateChange;
  }

  private double[] segments(SplittableRandom random) {
    double[] out = new double[(int) Math.ceil(script.lengthMs() / SEGMENT_MS) + 1];
    double swing = script.load().swing();
    for (int i = 0; i < out.length; i++) {
      out[i] =
          switch (script.load().shape()) {
            case STEADY -> 1;
            case BURSTY -> 1 + SeededRandom.between(random, -swing, swing);
            case RAMP -> 1 - swing + 2 * swing * i / out.length;
          };
    }
    return out;
  }

  private double[] sites(SplittableRandom random) {
    double[] shares = new double[script.fleet().sites().size()];
    for (int i = 0; i < shares.length; i++) {
      shares[i] = 1 + SeededRandom.between(random, -SITE_SKEW, SITE_SKEW);
    }
    return cumulativeShares(shares);
  }

  private static double[] cumulativeShares(double[] shares) {
    double[] out = shares.clone();
    Arrays.parallelPrefix(out, Double::sum);
    double sum = out[out.length - 1];
    for (int i = 0; i < out.length; i++) {
      out[i] /= sum;
    }
    return out;
  }

  private static int pick(double[] cumulativeShares, double unit) {
    int i = Arrays.binarySearch(cumulativeShares, unit);
    return Math.min(cumulativeShares.length - 1, i >= 0 ? i + 1 : -i - 1);
  }
}
