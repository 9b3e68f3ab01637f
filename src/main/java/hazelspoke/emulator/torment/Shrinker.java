package hazelspoke.emulator.torment;

import java.util.ArrayList;
import java.util.List;

/**
 * Finds the few of many causes that are enough for a failure, by trying parts of them: the
 * algorithm ddmin of A. Zeller and R. Hildebrandt, "Simplifying and Isolating Failure-Inducing
 * Input" (IEEE TSE 28(2), 2002), with a bound on the tries, as each is a whole play.
 *
 * @param <T> a cause
 */
public final class Shrinker<T> {
  /** Whether these causes alone bring the failure about. */
  @FunctionalInterface
  public interface Trial<T> {
    /**
     * Tries them.
     *
     * @throws InterruptedException if it was told to end
     */
    boolean fails(List<T> causes) throws InterruptedException;
  }

  /**
   * What was found.
   *
   * @param causes that bring it about; all of them where no part of them did
   * @param tries how many there were
   * @param minimal whether every single one of them was seen to be needed
   */
  public record Found<T>(List<T> causes, int tries, boolean minimal) {}

  private final Trial<T> trial;
  private final int mostTries;
  private int tries;

  /**
   * One that tries at most so often.
   *
   * @param mostTries 0 or more
   */
  public Shrinker(Trial<T> trial, int mostTries) {
    this.trial = trial;
    this.mostTries = mostTries;
  }

  /**
   * Shrinks causes of which all together are known to fail.
   *
   * @throws InterruptedException if a trial was told to end
   */
  public Found<T> shrink(List<T> all) throws InterruptedException {
    List<T> causes = List.copyOf(all);
    int parts = 2;
    while (causes.size() >= 2) {
      List<T> fewer = fewer(causes, parts);
      if (tries > mostTries) {
        return new Found<>(causes, mostTries, false);
      }
      if (fewer != null) {
        // Of a part all is open again; of a rest the division stays as fine as it was.
        parts = fewer.size() <= causes.size() / parts ? 2 : Math.max(2, parts - 1);
        causes = fewer;
      } else if (parts >= causes.size()) {
        break;
      } else {
        parts = Math.min(causes.size(), 2 * parts);
      }
      parts = Math.min(parts, Math.max(2, causes.size()));
    }
    return new Found<>(causes, tries, true);
  }

  /** One of the parts that fails by itself, or what is left without one; null for neither. */
  private List<T> fewer(List<T> causes, int parts) throws InterruptedException {
    List<List<T>> division = divide(causes, parts);
    for (List<T> part : division) {
      if (fails(part)) {
        return part;
      }
      if (tries > mostTries) {
        return null;
      }
    }
    for (int i = 0; parts > 2 && i < division.size(); i++) {
      List<T> rest = new ArrayList<>();
      for (int j = 0; j < division.size(); j++) {
        if (j != i) {
          rest.addAll(division.get(j));
        }
      }
      if (fails(rest)) {
        return rest;
      }
      if (tries > mostTries) {
        return null;
      }
    }
    return null;
  }

  private boolean fails(List<T> causes) throws InterruptedException {
    return ++tries <= mostTries && trial.fails(List.copyOf(causes));
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
