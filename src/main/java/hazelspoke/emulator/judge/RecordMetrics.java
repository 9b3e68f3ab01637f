package hazelspoke.emulator.judge;

import java.util.List;
import java.util.Locale;

/**
 * What the clients of the fleet's record observed during a run.
 *
 * @param reads completed reads
 * @param writes completed writes, including rejected ones
 * @param unknown writes whose end was not observed
 * @param unanswered reads that timed out
 * @param leadership the observed leadership
 * @param replacedDisks disks that were lost or damaged, including the restored votes of their
 *     voters
 * @param longestGapMs the longest interval without a completed call, in milliseconds
 * @param violations one line for each note whose history is not linearizable
 */
public record RecordMetrics(
    int reads,
    int writes,
    int unknown,
    int unanswered,
    LeadershipMetrics leadership,
    int replacedDisks,
    double longestGapMs,
    List<String> violations) {
  /**
   * Leadership as reported by the gateways; used in plots, not for checking rules.
   *
   * @param leaderChanges how often a gateway became leader
   * @param secondsWithout number of seconds in which no gateway reported to be leader
   * @param entries index of the last entry of the record
   * @param bySecond number of entries in each second
   */
  public record LeadershipMetrics(
      int leaderChanges, int secondsWithout, long entries, List<Integer> bySecond) {
    /** Nothing was observed. */
    public static final LeadershipMetrics NONE = new LeadershipMetrics(0, 0, 0, List.of());

    public LeadershipMetrics {
      bySecond = List.copyOf(bySecond);
    }
  }

  public RecordMetrics {
    violations = List.copyOf(violations);
  }

  /** Returns a copy with the leadership and the number of replaced disks. */
  public RecordMetrics withObservations(LeadershipMetrics seen, int disks) {
    return new RecordMetrics(
        reads, writes, unknown, unanswered, seen, disks, longestGapMs, violations);
  }

  /** Returns a one-line summary. */
  public String summary() {
    return String.format(
        Locale.ROOT,
        "%d writes and %d reads answered, %d writes of unknown end, %d reads given up, at most %.1f s"
            + " without an answer; %d entries, %d times somebody began to lead, %d seconds without"
            + " a leader, %d disks replaced",
        writes,
        reads,
        unknown,
        unanswered,
        longestGapMs / 1_000,
        leadership.entries(),
        leadership.leaderChanges(),
        leadership.secondsWithout(),
        replacedDisks);
  }
}
