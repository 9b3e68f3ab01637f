package hazelspoke.agreement.member;

import hazelspoke.agreement.engine.Engine;
import hazelspoke.agreement.engine.Turns;
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
  SessionLeases leases(MemberSettings settings, long tickNanos) {
    return new SessionLeases(settings.leaseNanos(), settings.drift(), tickNanos);
  }

  /**
   * When a holder's own count of its term ends.
   *
   * @param askedAt when the renewal was asked for that was granted
   * @param now when it heard of that
   */
  long leaseExpiresAt(MemberSettings settings, long requestedNanos, long grantedNanos) {
    return requestedNanos + (long) (settings.leaseNanos() * (1 - settings.drift()));
  }

  /** An election takes some five heartbeats; after so many without a leader something is stuck. */
  int heartbeatsBeforeRestart() {
    return 16;
  }

  /** Of fewer voters the first loss of a disk is the loss of the record. */
  int minVoters() {
    return 3;
  }

  /** One that has agreed on its own removal alone could stand in the way of all others. */
  boolean transfersLeadershipBeforeOwnRemoval() {
    return true;
  }

  FeedSettings feedSettings(MemberSettings settings) {
    return FeedSettings.defaults(settings.heartbeatNanos());
  }

  Feed feed(Turns turns, FeedSettings settings, Supplier<FleetRecord> record) {
    return new Feed(turns, settings, record);
  }

  FeedSubscriber subscriber(
      String self,
      Turns turns,
      Random random,
      FeedSettings settings,
      Supplier<List<String>> voters,
      FeedSubscriber.Owner owner) {
    return new FeedSubscriber(self, turns, random, settings, voters, owner);
  }

  Engine engine(Engine.Setup setup) throws MalformedException {
    return new Engine(setup);
  }
}
