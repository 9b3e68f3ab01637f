package ternscale.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ternscale.api.HostEntry.Availability;
import ternscale.api.MembersUpdate.Kind;
import ternscale.api.Outcome;
import ternscale.api.Outcome.Result;
import ternscale.api.RequestInfo;
import ternscale.api.Settings;
import ternscale.api.Settings.DedupScope;
import ternscale.api.Settings.Discovery;
import ternscale.api.Settings.Effect;

/** Each extension of LC*, and the failure that it guards against, at a single balancer. */
class LcStarExtensionsTest {
  private static final Settings REPEATABLE =
      FakeGateway.settings(
          Discovery.PUSHED, FakeGateway.requestClass(Effect.REPEATABLE, DedupScope.ALL));

  /** Serves requests one at a time and counts them by host. */
  private static TreeMap<String, Integer> serve(FakeGateway g, int n, double gapMs) {
    TreeMap<String, Integer> byHost = new TreeMap<>();
    for (int i = 0; i < n; i++) {
      g.now += gapMs;
      g.request(0, 10);
      byHost.merge(g.lastSent().host(), 1, Integer::sum);
      g.outcome(g.lastSent(), Result.OK, 15, true);
    }
    return byHost;
  }

  @Test
  void limitsLoadOnColdHost() {
    FakeGateway g = new FakeGateway(REPEATABLE, 3);
    g.addHosts(4);
    serve(g, 400, 20);
    g.updateMembers(Kind.DELTA, FakeGateway.host("h3", 1, Availability.UP, g.now));
    TreeMap<String, Integer> byHost = serve(g, 100, 20);
    // A fifth to two fifths of a warm host's share of 25 in the first 2 s, with some slack.
    assertThat(byHost.getOrDefault("h3", 0)).isLessThanOrEqualTo(14);
    g.now += 20_000;
    assertThat(serve(g, 100, 20).get("h3")).isGreaterThan(14);
  }

  @Test
  void keepsColdBudgetThroughDeployment() {
    FakeGateway g = new FakeGateway(REPEATABLE, 3);
    g.addHosts(4);
    serve(g, 400, 20);
    g.updateMembers(
        Kind.DELTA,
        FakeGateway.host("h0", 0, Availability.GONE, 0),
        FakeGateway.host("h1", 1, Availability.GONE, 0),
        FakeGateway.host("h2", 0, Availability.UP, g.now),
        FakeGateway.host("h3", 1, Availability.UP, g.now));
    int before = g.sent.size();
    for (int i = 0; i < 400; i++) {
      g.now += 20;
      g.request(0, 10);
      if (i % 2 == 0) {
        g.balancer.onTimer(g.now, 2);
      }
      while (g.sent.size() > before) {
        g.outcome(g.sent.get(before++), Result.OK, 15, true);
      }
    }
    // Two of four hosts, cold for 10 s from 20% up: about a quarter of the traffic can be served.
    long sent = g.sent.size() - 400;
    assertThat(sent).isBetween(60L, 260L);
  }

  @Test
  void sendsOnlyRepeatableRequestsToErringHost() {
    Settings both =
        FakeGateway.settings(
            Discovery.PUSHED,
            FakeGateway.requestClass(Effect.REPEATABLE, DedupScope.ALL),
            FakeGateway.requestClass(Effect.ONCE, DedupScope.ALL));
    FakeGateway g = new FakeGateway(both, 5);
    g.addHosts(3);
    String id = g.request(0, 0);
    String erring = g.lastSent().host();
    g.outcome(g.lastSent(), Result.ERROR, 1, false);
    assertThat(g.sentFor(id)).hasSize(2);
    g.outcome(g.lastSent(), Result.OK, 15, true);
    Set<String> unrepeatable = new HashSet<>();
    Set<String> repeatable = new HashSet<>();
    for (int i = 0; i < 30; i++) {
      g.request(1, 0);
      unrepeatable.add(g.lastSent().host());
      g.outcome(g.lastSent(), Result.OK, 15, true);
      g.request(0, 0);
      repeatable.add(g.lastSent().host());
      g.outcome(g.lastSent(), Result.OK, 15, true);
    }
    assertThat(unrepeatable).doesNotContain(erring).hasSize(2);
    assertThat(repeatable).contains(erring);
  }

  @Test
  void ejectsAndReinstatesHostThatRefusesConnections() {
    FakeGateway g = new FakeGateway(REPEATABLE, 5);
    g.addHosts(3);
    g.request(0, 0);
    String down = g.lastSent().host();
    g.outcome(g.lastSent(), Result.CONNECT_FAILED, 1, false);
    g.outcome(g.lastSent(), Result.OK, 15, true);
    assertThat(serve(g, 20, 20)).doesNotContainKey(down);
    g.now += 20_000;
    assertThat(serve(g, 60, 20)).containsKey(down);
  }

  @Test
  void ejectsOnlyMinorityOfHosts() {
    FakeGateway g = new FakeGateway(REPEATABLE, 5);
    g.addHosts(5);
    for (int i = 0; i < 20; i++) {
      g.request(0, 0);
      g.outcome(g.lastSent(), Result.CONNECT_FAILED, 1, false);
    }
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 40; i++) {
      g.request(0, 0);
      used.add(g.lastSent().host());
    }
    assertThat(used).hasSizeGreaterThanOrEqualTo(3);
  }

  private static Settings.RequestClass classOfValue(double value) {
    return new Settings.RequestClass(
        500, 0, 2000, value, 0, Effect.REPEATABLE, DedupScope.ALL, 0, false);
  }

  /**
   * Serves at most this part of the requests in time, and counts the rejections of classes 0 and 1.
   */
  private static int[] overload(FakeGateway g, int requests, double servedPerRequest) {
    g.addHosts(4);
    double queue = 0;
    int[] rejected = new int[2];
    for (int i = 0; i < requests; i++) {
      g.now += 10;
      queue = Math.max(0, queue - servedPerRequest);
      int before = g.log.size();
      String id = g.request(i % 2, 10);
      if (g.log.subList(before, g.log.size()).contains("refuse " + id)) {
        rejected[i % 2]++;
      } else {
        g.outcome(g.lastSent(), Result.OK, ++queue > 10 ? 900 : 300, true);
      }
    }
    return rejected;
  }

  /** Incident i4d927b: hosts that rejected everything at once attracted a fifth of the sends. */
  @Test
  void ejectsHostThatRejectsAllButNotOneThatServesSome() {
    assertThat(sentToRejectingHost(0)).isLessThan(12);
    assertThat(sentToRejectingHost(3)).isGreaterThan(100);
  }

  /** Sends, for 600 requests, to one of four hosts, which serves every n-th of them or none. */
  private static int sentToRejectingHost(int servesEvery) {
    FakeGateway g = new FakeGateway(REPEATABLE, 3);
    g.addHosts(4);
    int sent = 0;
    for (int i = 0; i < 600; i++) {
      g.now += 10;
      int before = g.sent.size();
      g.request(0, 10);
      while (g.sent.size() > before) {
        before = g.sent.size();
        FakeGateway.Sent last = g.lastSent();
        boolean rejects =
            last.host().equals("h1")
                && (++sent > 0)
                && (servesEvery == 0 || sent % servesEvery > 0);
        g.outcome(last, rejects ? Result.REJECTED : Result.OK, rejects ? 1 : 20, !rejects);
      }
    }
    return sent;
  }

  /** Share of 2,000 sequential requests sent to the other zone, given the zones' latencies. */
  private static double crossZoneShare(double cost, double ownMs, double otherMs) {
    FakeGateway g =
        new FakeGateway(
            FakeGateway.withCrossZoneCost(
                cost, FakeGateway.requestClass(Effect.REPEATABLE, DedupScope.ALL)),
            7);
    g.addHosts(8);
    int crossed = 0;
    for (int i = 0; i < 4_000; i++) {
      g.now += 10;
      g.request(0, 10);
      boolean own = Integer.parseInt(g.lastSent().host().substring(1)) % 2 == 0;
      g.outcome(g.lastSent(), Result.OK, own ? ownMs : otherMs, true);
      crossed += own || i < 2_000 ? 0 : 1;
    }
    return crossed / 2_000.0;
  }

  /** Low load at site records-cardiff: half of the requests crossed, nearly the whole loss. */
  @Test
  void prefersOwnZoneUnlessSlowerWhereCrossingHasCost() {
    assertThat(crossZoneShare(0, 20, 20)).isBetween(0.3, 0.7);
    assertThat(crossZoneShare(0.12, 20, 20)).isBetween(0.001, 0.1);
    assertThat(crossZoneShare(0.12, 60, 20)).isGreaterThan(0.3);
  }

  /** Overload at site records-cardiff: all of the class that the objective weights was shed. */
  @Test
  void shedsLowValueClassLessWhereObjectiveWeightsWorstClass() {
    Settings.RequestClass lowValue = classOfValue(1);
    Settings.RequestClass highValue = classOfValue(2);
    int[] unweighted =
        overload(
            new FakeGateway(FakeGateway.settings(Discovery.PUSHED, lowValue, highValue), 5),
            1_000,
            0.7);
    Settings objective =
        FakeGateway.withObjective(new Settings.Objective(.5, .2, .3, 0), lowValue, highValue);
    int[] weighted = overload(new FakeGateway(objective, 5), 1_000, 0.7);
    assertThat(unweighted[1]).isLessThan(20);
    assertThat(weighted[0]).isLessThan(unweighted[0] - 50);
    assertThat(weighted[1]).isGreaterThan(unweighted[1] + 50);
  }

  @Test
  void shedsLowValueClassFirst() {
    FakeGateway g =
        new FakeGateway(
            FakeGateway.settings(Discovery.PUSHED, classOfValue(1), classOfValue(9)), 5);
    int[] rejected = overload(g, 400, 0);
    assertThat(rejected[0]).isGreaterThan(100).isGreaterThan(rejected[1]);
    int served = 0;
    for (int i = 0; i < 2_000; i++) {
      g.now += 10;
      int before = g.sent.size();
      g.request(i % 2, 10);
      if (g.sent.size() > before) {
        g.outcome(g.lastSent(), Result.OK, 20, true);
        served += i >= 1_000 ? 1 : 0;
      }
    }
    assertThat(served).as("requests accepted once responses are in time again").isEqualTo(1_000);
  }

  @Test
  void limitsRetriesToBudget() {
    FakeGateway g = new FakeGateway(REPEATABLE, 5);
    g.addHosts(9);
    for (int i = 0; i < 100; i++) {
      g.now += 1_000;
      g.request(0, 10);
      int from = g.sent.size() - 1;
      while (from < g.sent.size()) {
        g.outcome(g.sent.get(from++), Result.REJECTED, 1, false);
      }
    }
    assertThat(g.sent.size()).isLessThan(120);
  }

  @Test
  void gatewaysAgreeOnHostOfKeyAndSpreadWithoutKeys() {
    Settings keyed =
        FakeGateway.settings(
            Discovery.PUSHED, true, FakeGateway.requestClass(Effect.REPEATABLE, DedupScope.ALL));
    Set<String> forKey = new HashSet<>();
    Set<String> without = new HashSet<>();
    for (int seed = 0; seed < 20; seed++) {
      FakeGateway g = new FakeGateway(keyed, seed);
      g.addHosts(10);
      g.balancer.onRequest(
          g.now, new RequestInfo("k", 0, 0, g.now + 1_000, 0, "invoice-8", false, false));
      forKey.add(g.lastSent().host());
      g.request(0, 0);
      without.add(g.lastSent().host());
    }
    assertThat(forKey).hasSize(1);
    assertThat(without).hasSizeGreaterThan(3);
  }

  @Test
  void callsDiscoveryOnceAndBacksOffAfterFailure() {
    FakeGateway g =
        new FakeGateway(
            FakeGateway.settings(
                Discovery.ON_REQUEST, FakeGateway.requestClass(Effect.REPEATABLE, DedupScope.ALL)),
            5);
    g.addHosts(2);
    assertThat(g.log).contains("timer 1").doesNotContain("watch true");
    g.balancer.onTimer(g.now, Membership.TIMER);
    g.balancer.onTimer(g.now, Membership.TIMER);
    assertThat(g.log.stream().filter("watch true"::equals)).hasSize(1);
    long timers = g.log.stream().filter("timer 1"::equals).count();
    g.updateMembers(Kind.FAILED);
    assertThat(g.log.stream().filter("timer 1"::equals)).hasSize((int) timers + 1);
    g.balancer.onTimer(g.now, Membership.TIMER);
    assertThat(g.log.stream().filter("watch true"::equals)).hasSize(2);
  }

  /** Time within which a change has to be received. */
  private static final double CHANGE_DEADLINE_MS = 6_000;

  /** Maximum time of a call in discovery's queue. */
  private static final double CALL_WAIT_MS = 2_000;

  /**
   * Changes missed by an unresponsive subscription have to be received 6 s after it stopped
   * responding, which is detected after 2.5 s, and a call may wait for 2 s. After other failures
   * the limit is 6 s after discovery becomes reachable: the call that fails then may have waited
   * for 2 s, and so may the next one. The next call has to be within the remaining time for any
   * settings and number of failures, and not too early, so that the calls of a fleet stay few and
   * spread out.
   */
  @ParameterizedTest
  @ValueSource(doubles = {500, 5_000, 10_000, 30_000, 120_000, 1_200_000})
  void callAfterFailureIsInTimeAndSpread(double maxPollIntervalMs) {
    Set<Double> delays = new HashSet<>();
    double minDelayMs = Math.min(0.04 * maxPollIntervalMs, 300);
    for (int seed = 0; seed < 50; seed++) {
      FakeGateway g = new FakeGateway(FakeGateway.withMaxPollInterval(maxPollIntervalMs), seed);
      g.addHosts(2);
      for (int repeat = 0; repeat < 6; repeat++) {
        g.updateMembers(Kind.SILENT);
        assertThat(g.timerDelayMs)
            .isBetween(minDelayMs, CHANGE_DEADLINE_MS - 2_500 - CALL_WAIT_MS - 500);
        delays.add(g.timerDelayMs);
        g.balancer.onTimer(g.now, Membership.TIMER);
      }
      for (int repeat = 0; repeat < 6; repeat++) {
        g.updateMembers(Kind.FAILED);
        assertThat(g.timerDelayMs)
            .isBetween(minDelayMs, CHANGE_DEADLINE_MS - 2 * CALL_WAIT_MS - 500);
        delays.add(g.timerDelayMs);
        g.balancer.onTimer(g.now, Membership.TIMER);
      }
      g.updateMembers(Kind.SILENT);
      assertThat(g.timerDelayMs)
          .isBetween(minDelayMs, CHANGE_DEADLINE_MS - 2_500 - CALL_WAIT_MS - 500);
    }
    assertThat(delays).hasSizeGreaterThan(500);
  }

  /** The first call is spread over minutes here; a failure before it must not wait for it. */
  @ParameterizedTest
  @ValueSource(strings = {"FAILED", "SILENT"})
  void callsInTimeAfterFailureBeforeFirstCall(Kind kind) {
    FakeGateway g = new FakeGateway(FakeGateway.withMaxPollInterval(1_200_000), 7);
    g.addHosts(2);
    assertThat(g.timerDelayMs).isGreaterThan(CHANGE_DEADLINE_MS);
    g.updateMembers(kind);
    assertThat(g.timerDelayMs).isLessThanOrEqualTo(CHANGE_DEADLINE_MS - 2 * CALL_WAIT_MS);
    g.balancer.onTimer(g.now, Membership.TIMER);
    assertThat(g.log.stream().filter("watch true"::equals)).hasSize(1);
    // The timer of the first call still expires, as timers cannot be cancelled, and has no effect.
    g.balancer.onTimer(g.now, Membership.TIMER);
    assertThat(g.log.stream().filter("watch true"::equals)).hasSize(1);
  }

  @Test
  void rejectsInfeasibleRequestAtOnce() {
    FakeGateway g = new FakeGateway(REPEATABLE, 5);
    g.addHosts(2);
    String id = g.request(0, 2_100);
    assertThat(g.log).contains("refuse " + id);
    assertThat(g.sentFor(g.request(0, 900))).hasSize(1);
  }

  @Test
  void closesIdleConnections() {
    FakeGateway g = new FakeGateway(REPEATABLE, 3);
    g.addHosts(4);
    g.request(0, 10);
    FakeGateway.Sent idle = g.lastSent();
    g.outcome(idle, Result.OK, 15, true);
    g.now += 500;
    g.request(0, 10);
    g.outcome(g.lastSent(), Result.OK, 15, true);
    assertThat(g.log).noneMatch(l -> l.startsWith("closeIdle"));
    g.now += 5_000;
    g.request(0, 10);
    FakeGateway.Sent busy = g.lastSent();
    assertThat(g.log).contains("closeIdle " + idle.host());
    g.log.clear();
    g.now += 1_500;
    g.request(0, 10);
    assertThat(g.log).doesNotContain("closeIdle " + busy.host());
  }

  /** Rejections among 400 requests of the second latency, after 200 requests of the first. */
  private static long rejectionsAtLatency(double usualMs, double thenMs) {
    FakeGateway g = new FakeGateway(REPEATABLE, 3);
    g.addHosts(4);
    for (int i = 0; i < 600; i++) {
      g.now += 20;
      int before = g.sent.size();
      g.request(0, 10);
      if (g.sent.size() > before) {
        g.outcome(g.lastSent(), Result.OK, i < 200 ? usualMs : thenMs, true);
      }
    }
    return g.rejections();
  }

  @Test
  void detectsQueuesWellBelowLatencyTarget() {
    assertThat(rejectionsAtLatency(50, 300)).isGreaterThan(100);
    assertThat(rejectionsAtLatency(260, 300)).isZero();
  }

  /** Rejections while seven responses in 25 are late, for clients that do or do not retry. */
  private static long rejectionsWithLateResponses(boolean clientsRetry) {
    Settings marked =
        FakeGateway.settings(
            Discovery.PUSHED,
            false,
            true,
            FakeGateway.requestClass(Effect.REPEATABLE, DedupScope.ALL));
    FakeGateway g = new FakeGateway(marked, 3);
    g.addHosts(4);
    for (int i = 0; i < 1200; i++) {
      g.now += 20;
      int before = g.sent.size();
      g.balancer.onRequest(
          g.now, new RequestInfo("c" + i, 0, 0, g.now + 2000, 10, null, false, clientsRetry));
      if (g.sent.size() > before) {
        boolean late = i >= 200 && i * 7 % 25 < 7;
        g.outcome(g.lastSent(), Result.OK, late ? 600 : 50, true);
      }
    }
    return g.rejections();
  }

  /** Rejections while all responses are late, with this much of it caused by the gateway. */
  private static long rejectionsWithGatewayDelay(double gatewayDelayMs) {
    FakeGateway g = new FakeGateway(REPEATABLE, 3);
    g.addHosts(4);
    for (int i = 0; i < 600; i++) {
      g.now += 20;
      int before = g.sent.size();
      g.request(0, 10);
      if (g.sent.size() > before) {
        FakeGateway.Sent s = g.lastSent();
        boolean late = i >= 200;
        g.balancer.onOutcome(
            g.now,
            new Outcome(
                s.request(),
                s.host(),
                s.attempt(),
                Result.OK,
                late ? 450 : 50,
                true,
                List.of(),
                late ? gatewayDelayMs : 0));
      }
    }
    return g.rejections();
  }

  @Test
  void gatewayDelayDoesNotIndicateQueuesAtHosts() {
    assertThat(rejectionsWithGatewayDelay(0)).isGreaterThan(100);
    assertThat(rejectionsWithGatewayDelay(200)).isGreaterThan(100);
    assertThat(rejectionsWithGatewayDelay(400)).isZero();
  }

  @Test
  void shedsLessWhereClientsDoNotRetry() {
    long withoutRetries = rejectionsWithLateResponses(false);
    assertThat(rejectionsWithLateResponses(true)).isGreaterThan(2 * withoutRetries + 20);
  }

  @Test
  void treatsRestartUnderSameIdAsCold() {
    FakeGateway g = new FakeGateway(REPEATABLE, 3);
    g.addHosts(4);
    serve(g, 400, 20);
    for (int restart = 0; restart < 2; restart++) {
      g.updateMembers(Kind.DELTA, FakeGateway.host("h3", 1, Availability.UP, g.now));
      assertThat(serve(g, 100, 20).getOrDefault("h3", 0)).isLessThanOrEqualTo(14);
      g.now += 20_000;
      assertThat(serve(g, 100, 20).get("h3")).isGreaterThan(14);
      serve(g, 300, 20);
    }
  }

  /** Incident L45fba6: the load of a removed fleet was attributed to its last hosts. */
  @Test
  void limitsLoadOnFleetThatReturnsAfterRemoval() {
    FakeGateway g = new FakeGateway(REPEATABLE, 3);
    g.addHosts(20);
    serve(g, 2_000, 5);
    for (int i = 0; i < 20; i++) {
      g.now += 300;
      g.request(0, 10);
      g.updateMembers(Kind.DELTA, FakeGateway.host("h" + i, i % 2, Availability.GONE, 0));
    }
    g.now += 1_000;
    g.updateMembers(
        Kind.DELTA,
        FakeGateway.host("n0", 0, Availability.UP, g.now),
        FakeGateway.host("n1", 1, Availability.UP, g.now));
    int before = g.sent.size();
    for (int i = 0; i < 400; i++) {
      g.now += 5;
      g.request(0, 10);
      g.balancer.onTimer(g.now, 2);
    }
    // A warm host served 10 requests/s; two cold ones for 2 s, at 1.05 x a fifth to two fifths.
    assertThat(g.sent.size() - before).isBetween(4, 20);
  }

  /** Serves requests one at a time until one goes to this host, and leaves that one in flight. */
  private static FakeGateway.Sent leaveRequestAt(FakeGateway g, String host) {
    for (int i = 0; i < 200; i++) {
      g.now += 5;
      g.request(0, 10);
      if (g.lastSent().host().equals(host)) {
        return g.lastSent();
      }
      g.outcome(g.lastSent(), Result.OK, 15, true);
    }
    throw new AssertionError(host + " receives no more requests");
  }

  @Test
  void hungHostKeepsLongFlagUntilTimeoutAndIsEjectedAfterTwo() {
    FakeGateway g = new FakeGateway(REPEATABLE, 5);
    g.addHosts(3);
    for (int i = 0; i < 128; i++) {
      g.now += 20;
      g.request(0, i % 30 == 0 ? 100 : 10);
      g.outcome(g.lastSent(), Result.OK, 15, true);
    }
    // An idle minute decays the statistics, as at a gateway of a large fleet.
    g.now += 60_000;
    g.request(0, 1_000);
    FakeGateway.Sent hung = g.lastSent();
    for (int i = 0; i < 5; i++) {
      g.now += 20;
      g.request(0, 1_000);
      assertThat(g.lastSent().host()).isNotEqualTo(hung.host());
      g.outcome(g.lastSent(), Result.OK, 15, true);
    }
    g.now += 1_500;
    g.outcome(hung, Result.TIMEOUT, 1_900, true);
    // One timeout may come from a long request: the host is used again, as its flag is clear.
    g.outcome(leaveRequestAt(g, hung.host()), Result.OK, 15, true);
    g.outcome(leaveRequestAt(g, hung.host()), Result.TIMEOUT, 1_900, true);
    assertThat(serve(g, 50, 20)).doesNotContainKey(hung.host());
    g.now += 20_000;
    assertThat(serve(g, 50, 20)).containsKey(hung.host());
  }

  @Test
  void limitsLoadOnZoneThatReturnsAtOnce() {
    FakeGateway g = new FakeGateway(REPEATABLE, 3);
    g.addHosts(6);
    serve(g, 600, 20);
    for (int i = 1; i < 6; i += 2) {
      g.updateMembers(Kind.DELTA, FakeGateway.host("h" + i, 1, Availability.GONE, 0));
    }
    assertThat(serve(g, 250, 20).keySet()).containsOnly("h0", "h2", "h4");
    for (int i = 1; i < 6; i += 2) {
      g.updateMembers(Kind.DELTA, FakeGateway.host("h" + i, 1, Availability.UP, g.now));
    }
    TreeMap<String, Integer> first = serve(g, 100, 20);
    // Warm hosts served a third of 50/s in between: at most 1.05 x 0.2 to 0.36 of it for 2 s.
    for (int i = 1; i < 6; i += 2) {
      assertThat(first.getOrDefault("h" + i, 0)).isLessThanOrEqualTo(12);
    }
    g.now += 20_000;
    assertThat(serve(g, 100, 20)).hasSize(6);
  }

  @Test
  void prefersSteadyHostsAlsoBetweenPauses() {
    FakeGateway g = new FakeGateway(REPEATABLE, 3);
    g.addHosts(4);
    int sentToPausingHost = 0;
    int sentToSteadyHosts = 0;
    for (int i = 0; i < 1_200; i++) {
      g.now += 20;
      g.request(0, 10);
      boolean isPausingHost = g.lastSent().host().equals("h1");
      // Every other second h1 takes 15 times as long; in between its low count would win ties.
      boolean isPaused = i / 50 % 2 == 1;
      g.outcome(g.lastSent(), Result.OK, isPausingHost && isPaused ? 225 : 15, true);
      sentToPausingHost += i >= 200 && !isPaused && isPausingHost ? 1 : 0;
      sentToSteadyHosts += i >= 200 && !isPaused && !isPausingHost ? 1 : 0;
    }
    assertThat(sentToPausingHost).isPositive().isLessThan(sentToSteadyHosts / 3 / 2);
  }

  @Test
  void skipsUnresponsiveHostBeforeAndAfterTimeouts() {
    FakeGateway g = new FakeGateway(REPEATABLE, 3);
    g.addHosts(2);
    g.request(0, 10);
    FakeGateway.Sent hung = g.lastSent();
    for (int i = 0; i < 40; i++) {
      g.now += 20;
      g.request(0, 10);
      g.request(0, 10);
      // By its count alone, the second would go to the hung host: both have one in flight then.
      FakeGateway.Sent[] two = {g.sent.get(g.sent.size() - 2), g.lastSent()};
      for (FakeGateway.Sent s : two) {
        if (i > 13) {
          assertThat(s.host()).isNotEqualTo(hung.host());
        }
        if (!s.host().equals(hung.host())) {
          g.outcome(s, Result.OK, 15, true);
        }
      }
    }
    g.outcome(hung, Result.TIMEOUT, 800, true);
    for (FakeGateway.Sent s : java.util.List.copyOf(g.sent)) {
      if (s.host().equals(hung.host())) {
        g.outcome(s, Result.TIMEOUT, 800, true);
      }
    }
    assertThat(serve(g, 20, 20)).doesNotContainKey(hung.host());
    // After the ejection it receives a single request until it responds.
    g.now += 3_000;
    int before = g.sent.size();
    for (int i = 0; i < 10; i++) {
      g.request(0, 10);
    }
    assertThat(g.sent.subList(before, g.sent.size()))
        .filteredOn(s -> s.host().equals(hung.host()))
        .hasSize(1);
  }

  @Test
  void expensiveRequestsDoNotIndicateOverload() {
    FakeGateway g = new FakeGateway(REPEATABLE, 3);
    g.addHosts(8);
    for (int i = 0; i < 600; i++) {
      g.now += 20;
      boolean expensive = i % 2 == 1;
      g.request(0, expensive ? 400 : 100);
      g.outcome(g.lastSent(), Result.OK, expensive ? 400 : 100, true);
    }
    assertThat(g.rejections()).isZero();
  }
}
