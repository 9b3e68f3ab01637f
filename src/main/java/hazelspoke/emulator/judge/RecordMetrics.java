package hazelspoke.emulator.judge;

import java.util.List;
import java.util.Locale;

/**
 * What those who used the fleet's record through a play have seen of it.
 *
 * @param reads that were answered
 * @param writes that were answered, those that were turned down among them
 * @param unknown writes whose end nobody saw
 * @param unanswered reads that were given up
 * @param leadership what was seen of who leads
 * @param replacedDisks disks that were lost or damaged, and vote again where they did
 * @param longestGapMs the longest time in which no call was answered, in milliseconds
 * @param violations a line for each note whose history no single copy explains
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
   * Who led, as gateways said; for pictures, not for judging.
   *
   * @param leaderChanges how often one of them began to lead
   * @param secondsWithout in how many seconds none said so
   * @param entries up to which entry the record came
   * @param bySecond entries in each second
   */
  public record LeadershipMetrics(
      int leaderChanges, int secondsWithout, long entries, List<Integer> bySecond) {
    /** Nothing was seen. */
    public static final LeadershipMetrics NONE = new LeadershipMetrics(0, 0, 0, List.of());

    public LeadershipMetrics {
      bySecond = List.copyOf(bySecond);
    }
  }

  public RecordMetrics {
    violations = List.copyOf(violations);
  }

  /** The same, with what others have seen. */
  public RecordMetrics withObservations(LeadershipMetrics seen, int disks) {
    return new RecordMetrics(
        reads, writes, unknown, unanswered, seen, disks, longestGapMs, violations);
  }

  /** In a few words. */
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
