package hazelspoke.emulator.model;

import java.util.List;
import java.util.SplittableRandom;

/**
 * What one stock server is: drawn once, and the same after a restart. Times are in milliseconds;
 * work is in milliseconds on a core of speed 1.
 *
 * @param site place of its site in the script
 * @param group number of the hosts that share a memory for repeats of keyed requests
 * @param speeds of its cores; each runs one request at a time
 * @param queue requests that may wait
 * @param thrash slowing for each request a core beyond {@code thrashAt} requests a core
 * @param coldFrom share of its capacity right after a start
 * @param coldMs after which it is warm
 * @param pauseEveryMs mean time between short pauses of its own, of {@code pauseMs}
 * @param connections open ones it holds at most
 * @param handshakeMs work of a new connection
 * @param firstMs by how much the first request on a connection is later
 * @param idleMs after which a connection at rest is closed
 * @param warmGain share of the work saved for a key seen lately
 * @param warmMs for how long a key is remembered
 * @param warmKeys how many keys are
 * @param probeMs work of a probe
 */
public record ServerSpec(
    String name,
    int site,
    String kind,
    int group,
    List<Double> speeds,
    int queue,
    double thrash,
    double thrashAt,
    double coldFrom,
    double coldMs,
    double pauseEveryMs,
    double pauseMs,
    double errorRate,
    int connections,
    double handshakeMs,
    double firstMs,
    double idleMs,
    double warmGain,
    double warmMs,
    int warmKeys,
    double probeMs,
    double reportEveryMs,
    double reportDelayMs,
    double reportNoise) {
  private static final int CORES = 3;

  /** The first are warm after this part of the longest time. */
  private static final double LEAST_COLD = 3.6 / 8.5;

  public ServerSpec {
    speeds = List.copyOf(speeds);
  }

  /** Draws one of a kind. */
  static ServerSpec draw(
      String name,
      int site,
      String kind,
      int group,
      double warmGain,
      double warmMs,
      double mostColdMs,
      SplittableRandom r) {
    double low = kind.equals("large") ? 1.1 : kind.equals("medium") ? 0.85 : 0.59;
    double high = kind.equals("large") ? 1.5 : kind.equals("medium") ? 1.1 : 0.8;
    return new ServerSpec(
        name,
        site,
        kind,
        group,
        List.of(
            SeededRandom.between(r, low, high),
            SeededRandom.between(r, low, high),
            SeededRandom.between(r, low, high)),
        (int) (CORES * SeededRandom.between(r, 10, 32)),
        SeededRandom.between(r, 0.035, 0.14),
        SeededRandom.between(r, 3.5, 9),
        SeededRandom.between(r, 0.31, 0.55),
        mostColdMs * SeededRandom.between(r, LEAST_COLD, 1),
        SeededRandom.between(r, 3_000, 12_000),
        SeededRandom.between(r, 0, 140),
        SeededRandom.between(r, 0, 0.002),
        r.nextInt(110, 141),
        SeededRandom.between(r, 0.75, 1.5),
        SeededRandom.between(r, 0.5, 3),
        5_000,
        warmGain,
        warmMs,
        (int) (CORES * SeededRandom.between(r, 10, 20)),
        SeededRandom.between(r, 0.17, 0.34),
        SeededRandom.between(r, 53, 200),
        SeededRandom.between(r, 21, 150),
        SeededRandom.between(r, 0.07, 0.17));
  }

  /** The same machine under another name. */
  public ServerSpec named(String other) {
    return new ServerSpec(
        other,
        site,
        kind,
        group,
        speeds,
        queue,
        thrash,
        thrashAt,
        coldFrom,
        coldMs,
        pauseEveryMs,
        pauseMs,
        errorRate,
        connections,
        handshakeMs,
        firstMs,
        idleMs,
        warmGain,
        warmMs,
        warmKeys,
        probeMs,
        reportEveryMs,
        reportDelayMs,
        reportNoise);
  }

  /** Work it can do in a millisecond when warm and not crowded. */
  public double capacity() {
    return speeds.stream().mapToDouble(Double::doubleValue).sum();
  }
}
