package hazelspoke.agreement.member;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.agreement.member.FleetSimulation.Mutant;
import hazelspoke.agreement.member.FleetSimulation.Outcome;
import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Runs the fleet simulation with random faults. {@code -Dfleet.seeds=100000} runs more seeds,
 * {@code -Dfleet.members=100} larger fleets, {@code -Dfleet.first} starts at another seed; {@code
 * -Dfleet.mutants=300} prints which of the first 300 seeds find each mutant.
 */
class FleetSimulationTest {
  private static Outcome run(long seed, int members, Mutant mutant) {
    return FleetSimulation.run(seed, members, 3 + 2 * (int) (seed & 1), mutant);
  }

  @Test
  void keepsInvariantsUnderRandomFaults() {
    long seeds = Long.getLong("fleet.seeds", 150);
    long first = Long.getLong("fleet.first", 0);
    int members = Integer.getInteger("fleet.members", 5);
    List<Outcome> outcomes =
        LongStream.range(first, first + seeds)
            .parallel()
            .mapToObj(seed -> run(seed, members, new Mutant()))
            .toList();
    assertThat(outcomes)
        .allSatisfy(o -> assertThat(o.violation()).as("seed %d", o.seed()).isNull());
    // Without entries, changes of the leader and changes of voters the runs would cover nothing.
    assertThat(outcomes.stream().mapToLong(Outcome::entries).sum()).isGreaterThan(20 * seeds);
    assertThat(outcomes.stream().mapToLong(Outcome::leaders).sum()).isGreaterThan(2 * seeds);
    assertThat(outcomes.stream().mapToLong(Outcome::changes).sum()).isGreaterThan(seeds / 3);
  }

  @Test
  void givesTheSameOutcomeForTheSameSeed() {
    for (long seed = 0; seed < 5; seed++) {
      Outcome once = run(seed, 5, new Mutant());
      assertThat(run(seed, 5, new Mutant())).isEqualTo(once);
    }
  }

  /** A fleet of a hundred members that all start within half a second, with random faults. */
  @Test
  void hundredMembersRecoverFromFaults() {
    assertThat(run(1, 100, new Mutant()).violation()).isNull();
  }

  @ParameterizedTest
  @EnumSource(Mutants.class)
  void findsEachMutantWithin600Seeds(Mutants mutant) {
    long countedSeeds = Long.getLong("fleet.mutants", 0);
    if (countedSeeds > 0) {
      long[] foundBy =
          LongStream.range(0, countedSeeds).parallel().filter(s -> finds(mutant, s)).toArray();
      System.out.println(mutant + ": " + foundBy.length + ", " + Arrays.toString(foundBy));
    }
    assertThat(
            LongStream.range(mutant.firstSeed(), mutant.firstSeed() + mutant.seedCount())
                .parallel()
                .anyMatch(s -> finds(mutant, s)))
        .isTrue();
  }

  private static boolean finds(Mutants mutant, long seed) {
    return run(seed, 5, mutant.make()).violation() != null;
  }
}
