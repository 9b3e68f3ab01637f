package hazelspoke.agreement.feed;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.agreement.engine.Scheduler;
import hazelspoke.agreement.feed.FeedSimulation.Mutant;
import hazelspoke.agreement.feed.FeedSimulation.Outcome;
import hazelspoke.agreement.record.FleetRecord;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs the feed simulation with random faults. {@code -Dfeed.seeds=100000} runs more seeds, {@code
 * -Dfeed.members=540} larger fleets, {@code -Dfeed.first} starts at another seed; {@code
 * -Dfeed.mutants=true} prints how many seeds find each mutant.
 */
class FeedSimulationTest {
  /** Feeds that each lack one safeguard. */
  enum Mutants {
    APPLIES_ENTRIES_ACROSS_A_GAP {
      @Override
      Mutant make() {
        return new Mutant() {
          @Override
          FeedSubscriber subscriber(
              String self,
              Scheduler scheduler,
              Random random,
              FeedSettings settings,
              Supplier<List<String>> voters,
              FeedSubscriber.Owner owner) {
            return new FeedSubscriber(self, scheduler, random, settings, voters, owner) {
              @Override
              protected boolean hasAllUpTo(long previous) {
                return true;
              }
            };
          }
        };
      }
    },
    NEVER_LEAVES_A_LAGGING_VOTER {
      @Override
      Mutant make() {
        return new Mutant() {
          @Override
          FeedSubscriber subscriber(
              String self,
              Scheduler scheduler,
              Random random,
              FeedSettings settings,
              Supplier<List<String>> voters,
              FeedSubscriber.Owner owner) {
            return new FeedSubscriber(self, scheduler, random, settings, voters, owner) {
              @Override
              protected boolean isBehind(long overdueNanos) {
                return false;
              }
            };
          }
        };
      }
    },
    SENDS_UNCOMMITTED_ENTRIES {
      @Override
      Mutant make() {
        Mutant mutant = new Mutant();
        mutant.sendsUncommittedEntries = true;
        return mutant;
      }
    },
    MODIFIES_SENT_PACKETS {
      @Override
      Mutant make() {
        return new Mutant() {
          @Override
          Feed feed(Scheduler scheduler, FeedSettings settings, Supplier<FleetRecord> record) {
            return new Feed(scheduler, settings, record) {
              private byte[] previous = {};

              @Override
              protected byte[] encoded(byte[] packet) {
                // As if all packets shared one buffer: each overwrites the previous one.
                System.arraycopy(packet, 0, previous, 0, Math.min(packet.length, previous.length));
                previous = packet;
                return packet;
              }
            };
          }
        };
      }
    },
    IGNORES_THE_SNAPSHOT_RATE {
      @Override
      Mutant make() {
        return new Mutant() {
          @Override
          Feed feed(Scheduler scheduler, FeedSettings settings, Supplier<FleetRecord> record) {
            return new Feed(scheduler, settings, record) {
              @Override
              protected boolean maySend(double budgetBytes) {
                return true;
              }
            };
          }
        };
      }
    };

    abstract Mutant make();
  }

  @Test
  void keepsInvariantsUnderRandomFaults() {
    long seeds = Long.getLong("feed.seeds", 2_000);
    long first = Long.getLong("feed.first", 0);
    int members = Integer.getInteger("feed.members", 5);
    List<Outcome> outcomes =
        LongStream.range(first, first + seeds)
            .parallel()
            .mapToObj(seed -> FeedSimulation.run(seed, members, new Mutant()))
            .toList();
    for (int i = 0; i < outcomes.size(); i++) {
      assertThat(outcomes.get(i).violation()).as("seed %d", first + i).isNull();
    }
    // Without snapshots and switches to another voter the runs would cover little.
    assertThat(outcomes.stream().mapToLong(Outcome::entries).sum()).isGreaterThan(40 * seeds);
    assertThat(outcomes.stream().mapToLong(Outcome::snapshotPieces).sum())
        .isGreaterThan(20 * seeds);
    assertThat(outcomes.stream().mapToLong(Outcome::switches).sum()).isGreaterThan(seeds);
  }

  @Test
  void givesTheSameOutcomeForTheSameSeed() {
    for (long seed = 0; seed < 10; seed++) {
      Outcome once = FeedSimulation.run(seed, 5, new Mutant());
      assertThat(FeedSimulation.run(seed, 5, new Mutant())).isEqualTo(once);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {100, 540})
  void allMembersOfLargeFleetsCatchUp(int members) {
    assertThat(FeedSimulation.run(1, members, new Mutant()).violation()).isNull();
  }

  @ParameterizedTest
  @EnumSource(Mutants.class)
  void findsEachMutantWithin200Seeds(Mutants mutant) {
    long[] foundBy =
        LongStream.range(0, 200)
            .parallel()
            .filter(seed -> FeedSimulation.run(seed, 5, mutant.make()).violation() != null)
            .toArray();
    if (Boolean.getBoolean("feed.mutants")) {
      System.out.println(mutant + ": " + foundBy.length + " of 200");
    }
    assertThat(foundBy).isNotEmpty();
  }
}
