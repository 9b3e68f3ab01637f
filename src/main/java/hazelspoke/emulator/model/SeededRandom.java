package hazelspoke.emulator.model;

import java.util.SplittableRandom;

/**
 * Seeded draws. Each purpose has a stream of its own, so that a draw more for one thing changes no
 * other; single figures that belong to a request come from a hash of its number, whenever they are
 * asked for.
 */
public final class SeededRandom {
  private static final double UNIT = 0x1p-53;

  private SeededRandom() {}

  /** A stream for one purpose. */
  public static SplittableRandom stream(long seed, String purpose) {
    long h = seed;
    for (int i = 0; i < purpose.length(); i++) {
      h = mix(h ^ purpose.charAt(i));
    }
    return new SplittableRandom(mix(h));
  }

  /** A hash of 64 bits (the finaliser of SplitMix64; Steele, Lea, Flood 2014). */
  public static long mix(long z) {
    long x = z + 0x9e3779b97f4a7c15L;
    x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
    x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
    return x ^ (x >>> 31);
  }

  /** A figure from 0 to below 1 that belongs to these numbers. */
  public static double unit(long seed, long number, long part) {
    return (mix(mix(seed ^ mix(number)) ^ part) >>> 11) * UNIT;
  }

  /** Evenly drawn from {@code low} to below {@code high}. */
  public static double between(SplittableRandom random, double low, double high) {
    return low + (high - low) * random.nextDouble();
  }

  /** Log-normal with this mean and coefficient of variation. */
  static double logNormal(SplittableRandom random, double mean, double cv) {
    double variance = Math.log(1 + cv * cv);
    return mean * Math.exp(Math.sqrt(variance) * random.nextGaussian() - variance / 2);
  }

  /** Log-normal with mean 1 that belongs to these numbers (Box and Muller 1958). */
  public static double noise(long seed, long number, long part, double cv) {
    double variance = Math.log(1 + cv * cv);
    double radius = Math.sqrt(-2 * Math.log(1 - unit(seed, number, 2 * part)));
    double normal = radius * Math.cos(2 * Math.PI * unit(seed, number, 2 * part + 1));
    return Math.exp(Math.sqrt(variance) * normal - variance / 2);
  }
}
