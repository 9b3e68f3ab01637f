package hazelspoke.emulator.torment;

import java.util.ArrayList;
import java.util.List;

/**
 * Reduces a list of causes to a small subset that still fails, with the algorithm ddmin of A.
 * Zeller and R. Hildebrandt, "Simplifying and Isolating Failure-Inducing Input" (IEEE TSE 28(2),
 * 2002). The number of trials is bounded, as each one is a complete run.
 *
 * @param <T> a cause
 */
public final class Shrinker<T> {
  /** Checks whether a subset of the causes reproduces the failure. */
  @FunctionalInterface
  public interface Trial<T> {
    /**
     * Runs a trial with these causes.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    boolean fails(List<T> causes) throws InterruptedException;
  }

  /**
   * The result of a reduction.
   *
   * @param causes the causes that reproduce the failure; all of them if no subset does
   * @param tries number of trials that were run
   * @param minimal whether each cause was shown to be necessary
   */
  public record Found<T>(List<T> causes, int tries, boolean minimal) {}

  private final Trial<T> trial;
  private final int maxTries;
  private int tries;

  /**
   * Creates a shrinker with a bound on its trials.
   *
   * @param maxTries maximum number of trials, 0 or more
   */
  public Shrinker(Trial<T> trial, int maxTries) {
    this.trial = trial;
    this.maxTries = maxTries;
  }

  /**
   * Reduces causes that are known to fail together.
   *
   * @throws InterruptedException if a trial is interrupted
   */
  public Found<T> shrink(List<T> all) throws InterruptedException {
    List<T> causes = List.copyOf(all);
    int parts = 2;
    while (causes.size() >= 2) {
      List<T> reduced = findReduced(causes, parts);
      if (tries > maxTries) {
        return new Found<>(causes, maxTries, false);
      }
      if (reduced != null) {
        // A subset restarts with two parts; a complement keeps the granularity.
        parts = reduced.size() <= causes.size() / parts ? 2 : Math.max(2, parts - 1);
        causes = reduced;
      } else if (parts >= causes.size()) {
        break;
      } else {
        parts = Math.min(causes.size(), 2 * parts);
      }
      parts = Math.min(parts, Math.max(2, causes.size()));
    }
    return new Found<>(causes, tries, true);
  }

  /** Returns a part that fails by itself, or the complement of one; null if none fails. */
  private List<T> findReduced(List<T> causes, int parts) throws InterruptedException {
    List<List<T>> division = divide(causes, parts);
    for (List<T> part : division) {
      if (fails(part)) {
        return part;
      }
      if (tries > maxTries) {
        return null;
      }
    }
    for (int i = 0; parts > 2 && i < division.size(); i++) {
      List<T> complement = new ArrayList<>();
      for (int j = 0; j < division.size(); j++) {
        if (j != i) {
          complement.addAll(division.get(j));
        }
      }
      if (fails(complement)) {
        return complement;
      }
      if (tries > maxTries) {
        return null;
      }
    }
    return null;
  }

  private boolean fails(List<T> causes) throws InterruptedException {
    return ++tries <= maxTries && trial.fails(List.copyOf(causes));
  }

  private static <T> List<List<T>> divide(List<T> causes, int parts) {
    List<List<T>> out = new ArrayList<>();
    for (int i = 0; i < parts; i++) {
      int from = i * causes.size() / parts;
      int to = (i + 1) * causes.size() / parts;
      out.add(causes.subList(from, to));
    }
    return out;
  }
}
