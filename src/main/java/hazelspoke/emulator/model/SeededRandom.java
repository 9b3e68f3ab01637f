package hazelspoke.emulator.model;

import java.util.SplittableRandom;

/**
 * Reproducible random values. Each purpose has its own stream, so that an additional draw for one
 * does not change another. A value that belongs to a request is a hash of the request's number and
 * does not depend on when it is computed.
 */
public final class SeededRandom {
  private static final double UNIT = 0x1p-53;

  private SeededRandom() {}

  /** Creates the stream of one purpose. */
  public static SplittableRandom stream(long seed, String purpose) {
    long h = seed;
    for (int i = 0; i < purpose.length(); i++) {
      h = mix(h ^ purpose.charAt(i));
    }
    return new SplittableRandom(mix(h));
  }

  /** A 64-bit hash (the finaliser of SplitMix64; Steele, Lea, Flood 2014). */
  public static long mix(long z) {
    long x = z + 0x9e3779b97f4a7c15L;
    x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
    x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
    return x ^ (x >>> 31);
  }

  /** Returns a value in [0, 1) that is determined by these numbers. */
  public static double unit(long seed, long number, long part) {
    return (mix(mix(seed ^ mix(number)) ^ part) >>> 11) * UNIT;
  }

  /** Returns a uniform value from {@code low} to below {@code high}. */
  public static double between(SplittableRandom random, double low, double high) {
    return low + (high - low) * random.nextDouble();
  }

  /** Returns a log-normal value with this mean and coefficient of variation. */
  static double logNormal(SplittableRandom random, double mean, double cv) {
    double variance = Math.log(1 + cv * cv);
    return mean * Math.exp(Math.sqrt(variance) * random.nextGaussian() - variance / 2);
  }

  /**
   * Returns a log-normal value with mean 1 that is determined by these numbers (Box and Muller
   * 1958).
   */
  public static double noise(long seed, long number, long part, double cv) {
    double variance = Math.log(1 + cv * cv);
    double radius = Math.sqrt(-2 * Math.log(1 - unit(seed, number, 2 * part)));
    double normal = radius * Math.cos(2 * Math.PI * unit(seed, number, 2 * part + 1));
    return Math.exp(Math.sqrt(variance) * normal - variance / 2);
  }
}
