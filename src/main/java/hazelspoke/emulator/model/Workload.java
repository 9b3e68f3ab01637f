package hazelspoke.emulator.model;

import hazelspoke.emulator.script.Fault;
import hazelspoke.emulator.script.Script;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Plans every request before the first is asked: arrivals are open-loop, a Poisson process whose
 * rate moves, so that no gateway's slowness slows the asking (Schroeder, Wierman, Harchol-Balter
 * 2006).
 */
final class Workload {
  private static final double SEGMENT_MS = 1_000;
  private static final double MS = 1_000;
  private static final double US_PER_MS = 1_000;

  /** How far the sites' shares of the traffic lie apart. */
  private static final double SITE_SKEW = 0.3;

  /** Hints are good, not exact. */
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
    double[] classes = cumulated(script.classes().stream().mapToDouble(c -> c.share()).toArray());
    double[] keys = new double[load.keys()];
    for (int i = 0; i < keys.length; i++) {
      keys[i] = Math.pow(i + 1, -load.zipf());
    }
    keys = cumulated(keys);
    List<Arrival> out = new ArrayList<>();
    double at = 0;
    while (true) {
      // A unit of the process is used up at the present rate, segment by segment.
      double units = -Math.log(1 - times.nextDouble());
      while (at < script.lengthMs()) {
        double rate = rate(at, segments);
        double edge = edge(at);
        double upToEdge = (edge - at) * rate;
        if (upToEdge >= units) {
          at += units / rate;
          break;
        }
        units -= upToEdge;
        at = edge;
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

  /** Requests a millisecond. */
  private double rate(double at, double[] segments) {
    double rate = script.load().rate() / MS * segments[(int) (at / SEGMENT_MS)];
    for (Script.Surge s : script.load().surges()) {
      if (at >= s.atMs() && at < s.atMs() + s.forMs()) {
        rate *= s.factor();
      }
    }
    return rate;
  }

  /** The next moment at which the rate may move. */
  private double edge(double at) {
    double edge = (Math.floor(at / SEGMENT_MS) + 1) * SEGMENT_MS;
    for (Script.Surge s : script.load().surges()) {
      for (double e : new double[] {s.atMs(), s.atMs() + s.forMs()}) {
        if (e > at) {
          edge = Math.min(edge, e);
        }
      }
    }
    return edge;
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
    return cumulated(shares);
  }

  private static double[] cumulated(double[] shares) {
    double[] out = shares.clone();
    Arrays.parallelPrefix(out, Double::sum);
    double sum = out[out.length - 1];
    for (int i = 0; i < out.length; i++) {
      out[i] /= sum;
    }
    return out;
  }

  private static int pick(double[] cumulated, double unit) {
    int i = Arrays.binarySearch(cumulated, unit);
    return Math.min(cumulated.length - 1, i >= 0 ? i + 1 : -i - 1);
  }
}
