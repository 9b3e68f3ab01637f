package hazelspoke.agreement.member;

import hazelspoke.agreement.engine.Engine;
import hazelspoke.agreement.engine.Scheduler;
import hazelspoke.agreement.feed.Feed;
import hazelspoke.agreement.feed.FeedSettings;
import hazelspoke.agreement.feed.FeedSubscriber;
import hazelspoke.agreement.record.FleetRecord;
import hazelspoke.agreement.wire.MalformedException;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;

/** What a member is put together from; a proof puts in parts that lack a guard. */
class Components {
  SessionLeases terms(MemberSettings settings, long tickNanos) {
    return new SessionLeases(settings.leaseNanos(), settings.drift(), tickNanos);
  }

  /**
   * When a holder's own count of its term ends.
   *
   * @param askedAt when the renewal was asked for that was granted
   * @param now when it heard of that
   */
  long heldUntil(MemberSettings settings, long askedAt, long now) {
    return askedAt + (long) (settings.leaseNanos() * (1 - settings.drift()));
  }

  /** An election takes some five heartbeats; after so many without a leader something is stuck. */
  int stuckHeartbeats() {
    return 16;
  }

  /** Of fewer voters the first loss of a disk is the loss of the record. */
  int leastVoters() {
    return 3;
  }

  /** One that has agreed on its own removal alone could stand in the way of all others. */
  boolean handsOverBeforeItsRemoval() {
    return true;
  }

  FeedSettings pace(MemberSettings settings) {
    return FeedSettings.defaults(settings.heartbeatNanos());
  }

  Feed feed(Scheduler scheduler, FeedSettings pace, Supplier<FleetRecord> record) {
    return new Feed(scheduler, pace, record);
  }

  FeedSubscriber follower(
      String self,
      Scheduler scheduler,
      Random random,
      FeedSettings pace,
      Supplier<List<String>> voters,
      FeedSubscriber.Owner owner) {
    return new FeedSubscriber(self, scheduler, random, pace, voters, owner);
  }

  Engine engine(Engine.Setup setup) throws MalformedException {
    return new Engine(setup);
  }
}
