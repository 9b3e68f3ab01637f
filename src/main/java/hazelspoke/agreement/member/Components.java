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

/** Creates the components of a member; tests replace them with ones that lack a safeguard. */
class Components {
  SessionLeases leases(MemberSettings settings, long tickNanos) {
    return new SessionLeases(settings.leaseNanos(), settings.drift(), tickNanos);
  }

  /**
   * Returns when the lease expires by the clock of the member that holds it.
   *
   * @param requestedNanos when the member requested the renewal
   * @param grantedNanos when the member learned that the renewal was granted
   */
  long leaseExpiryNanos(MemberSettings settings, long requestedNanos, long grantedNanos) {
    return requestedNanos + (long) (settings.leaseNanos() * (1 - settings.drift()));
  }

  /**
   * Returns after how many heartbeats without a leader the engine is restarted. An election takes
   * about five.
   */
  int heartbeatsBeforeRestart() {
    return 16;
  }

  /** Returns the minimum number of voters; with fewer, losing one disk loses the record. */
  int minVoters() {
    return 3;
  }

  /** A leader that alone had committed its own removal could block all other voters. */
  boolean transfersLeadershipBeforeOwnRemoval() {
    return true;
  }

  FeedSettings feedSettings(MemberSettings settings) {
    return FeedSettings.defaults(settings.heartbeatNanos());
  }

  Feed feed(Scheduler scheduler, FeedSettings settings, Supplier<FleetRecord> record) {
    return new Feed(scheduler, settings, record);
  }

  FeedSubscriber subscriber(
      String self,
      Scheduler scheduler,
      Random random,
      FeedSettings settings,
      Supplier<List<String>> voters,
      FeedSubscriber.Owner owner) {
    return new FeedSubscriber(self, scheduler, random, settings, voters, owner);
  }

  Engine engine(Engine.Setup setup) throws MalformedException {
    return new Engine(setup);
  }
}
