package hazelspoke.emulator.model;

import java.util.List;
import java.util.SplittableRandom;

/**
 * The properties of one stock server: drawn once and unchanged by a restart. Times are in
 * milliseconds; work is in milliseconds on a core of speed 1.
 *
 * @param site index of its site in the script
 * @param group number of the group of hosts that share an {@link IdempotencyWindow}
 * @param speeds speed of each core; a core runs one request at a time
 * @param queue maximum number of queued requests
 * @param thrash slowdown per request per core beyond {@code thrashAt} requests per core
 * @param coldFrom share of its capacity directly after a cold start
 * @param coldMs time from a cold start to full capacity
 * @param pauseEveryMs mean time between short pauses of {@code pauseMs}
 * @param connections maximum number of open connections
 * @param handshakeMs work of accepting a connection
 * @param firstMs additional delay of the first request on a connection
 * @param idleMs time after which an idle connection is closed
 * @param warmGain share of the work saved for a recently used key
 * @param warmMs how long a key stays in the cache
 * @param warmKeys maximum number of cached keys
 * @param probeMs work of answering a probe
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

  /** Shortest warm-up, as a share of the longest. */
  private static final double MIN_COLD_SHARE = 3.6 / 8.5;

  public ServerSpec {
    speeds = List.copyOf(speeds);
  }

  /** Draws a server of the given kind. */
  static ServerSpec draw(
      String name,
      int site,
      String kind,
      int group,
      double warmGain,
      double warmMs,
      double maxColdMs,
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
        maxColdMs * SeededRandom.between(r, MIN_COLD_SHARE, 1),
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

  /** Returns the same properties under another name. */
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

  /** Work per millisecond when warm and not overloaded. */
  public double capacity() {
    return speeds.stream().mapToDouble(Double::doubleValue).sum();
  }
}
