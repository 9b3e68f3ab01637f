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
 * Feeds and those that follow them under drawn faults. {@code -Dfeed.seeds=100000} plays more of
 * them, {@code -Dfeed.members=540} larger ones, {@code -Dfeed.first} others.
 */
class FeedSimulationTest {
  /** Feeds that lack one guard each. */
  enum Mutants {
    TAKES_ENTRIES_ACROSS_A_GAP {
      @Override
      Mutant make() {
        return new Mutant() {
          @Override
          FeedSubscriber follower(
              String self,
              Scheduler scheduler,
              Random random,
              FeedSettings pace,
              Supplier<List<String>> v,
              FeedSubscriber.Owner o) {
            return new FeedSubscriber(self, scheduler, random, pace, v, o) {
              @Override
              protected boolean follows(long previous) {
                return true;
              }
            };
          }
        };
      }
    },
    STAYS_HOWEVER_FAR_BEHIND {
      @Override
      Mutant make() {
        return new Mutant() {
          @Override
          FeedSubscriber follower(
              String self,
              Scheduler scheduler,
              Random random,
              FeedSettings pace,
              Supplier<List<String>> v,
              FeedSubscriber.Owner o) {
            return new FeedSubscriber(self, scheduler, random, pace, v, o) {
              @Override
              protected boolean isBehind(long forNanos) {
                return false;
              }
            };
          }
        };
      }
    },
    PUSHES_WHAT_IS_NOT_AGREED_ON {
      @Override
      Mutant make() {
        Mutant mutant = new Mutant();
        mutant.pushesWhatIsNotAgreedOn = true;
        return mutant;
      }
    },
    CHANGES_WHAT_IT_HAS_SENT {
      @Override
      Mutant make() {
        return new Mutant() {
          @Override
          Feed feed(Scheduler scheduler, FeedSettings pace, Supplier<FleetRecord> record) {
            return new Feed(scheduler, pace, record) {
              private byte[] before = {};

              @Override
              protected byte[] encoded(byte[] packet) {
                // As with one buffer for all: the next packet is written over the one before.
                System.arraycopy(packet, 0, before, 0, Math.min(packet.length, before.length));
                before = packet;
                return packet;
              }
            };
          }
        };
      }
    },
    CATCHES_UP_WITHOUT_A_BOUND {
      @Override
      Mutant make() {
        return new Mutant() {
          @Override
          Feed feed(Scheduler scheduler, FeedSettings pace, Supplier<FleetRecord> record) {
            return new Feed(scheduler, pace, record) {
              @Override
              protected boolean mayPay(double left) {
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
  void whatMustHoldHoldsUnderDrawnFaults() {
    long seeds = Long.getLong("feed.seeds", 2_000);
    long first = Long.getLong("feed.first", 0);
    int members = Integer.getInteger("feed.members", 5);
    List<Outcome> outcomes =
        LongStream.range(first, first + seeds)
            .parallel()
            .mapToObj(seed -> FeedSimulation.run(seed, members, new Mutant()))
            .toList();
    for (int i = 0; i < outcomes.size(); i++) {
      assertThat(outcomes.get(i).wrong()).as("seed %d", first + i).isNull();
    }
    // A play with no snapshot and nobody that leaves a voter shows little.
    assertThat(outcomes.stream().mapToLong(Outcome::entries).sum()).isGreaterThan(40 * seeds);
    assertThat(outcomes.stream().mapToLong(Outcome::pieces).sum()).isGreaterThan(20 * seeds);
    assertThat(outcomes.stream().mapToLong(Outcome::moves).sum()).isGreaterThan(seeds);
  }

  @Test
  void aSeedGivesTheSameTwice() {
    for (long seed = 0; seed < 10; seed++) {
      Outcome once = FeedSimulation.run(seed, 5, new Mutant());
      assertThat(FeedSimulation.run(seed, 5, new Mutant())).isEqualTo(once);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {100, 540})
  void largeFleetsKnowAllInTheEnd(int members) {
    assertThat(FeedSimulation.run(1, members, new Mutant()).wrong()).isNull();
  }

  @ParameterizedTest
  @EnumSource(Mutants.class)
  void aFeedThatLacksAGuardIsFoundWithin200Seeds(Mutants mutant) {
    long[] found =
        LongStream.range(0, 200)
            .parallel()
            .filter(seed -> FeedSimulation.run(seed, 5, mutant.make()).wrong() != null)
            .toArray();
    if (Boolean.getBoolean("feed.mutants")) {
      System.out.println(mutant + ": " + found.length + " of 200");
    }
    assertThat(found).isNotEmpty();
  }
}
