package ternscale.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import ternscale.api.Outcome.Result;
import ternscale.api.RequestInfo;
import ternscale.api.Settings;
import ternscale.api.Settings.DedupScope;
import ternscale.api.Settings.Effect;

/**
 * Simulates a fleet of balancers, each with little traffic, in front of the same hosts. Measures
 * how many requests need a handshake, how even the load of the hosts is, and how often a host has
 * recently served the key of a request.
 */
class ConnectionReuseTest {
  private static final int GATEWAYS = 60;
  private static final int HOSTS = 60;
  private static final int KEYS = 3_000;
  private static final double RATE_PER_MS = 0.6;
  private static final double LENGTH_MS = 20_000;
  private static final double KEY_MEMORY_MS = 6_000;

  private record PendingAttempt(
      double endsAt, int gateway, FakeGateway.Sent sent, double elapsedMs) {}

  private record Metrics(double handshakeShare, double maxRelativeLoad, double cacheHitShare) {}

  /**
   * Simulates the fleet.
   *
   * @param idleMs how long a connection is kept after its last use
   */
  private static Metrics simulate(double handshakeCost, double idleMs, long seed) {
    Settings settings =
        FakeGateway.withHandshakeCost(
            handshakeCost, FakeGateway.requestClass(Effect.BY_KEY, DedupScope.ALL));
    List<FakeGateway> fleet = new ArrayList<>();
    for (int i = 0; i < GATEWAYS; i++) {
      FakeGateway g = new FakeGateway(settings, seed * 1_000 + i);
      g.addHosts(HOSTS);
      fleet.add(g);
    }
    Random random = new Random(seed);
    double[] shares = new double[KEYS];
    for (int i = 0; i < KEYS; i++) {
      shares[i] = (i == 0 ? 0 : shares[i - 1]) + 1.0 / (i + 1);
    }
    PriorityQueue<PendingAttempt> inFlight =
        new PriorityQueue<>(Comparator.comparingDouble(PendingAttempt::endsAt));
    Map<String, Double> usedAt = new HashMap<>();
    Map<String, Double> keyAt = new HashMap<>();
    Map<String, Integer> load = new HashMap<>();
    double now = fleet.get(0).now;
    double end = now + LENGTH_MS;
    int requests = 0;
    int handshakes = 0;
    int cacheHits = 0;
    while (now < end) {
      now += -Math.log(1 - random.nextDouble()) / RATE_PER_MS;
      while (!inFlight.isEmpty() && inFlight.peek().endsAt() <= now) {
        PendingAttempt attempt = inFlight.poll();
        FakeGateway g = fleet.get(attempt.gateway());
        g.now = attempt.endsAt();
        g.outcome(attempt.sent(), Result.OK, attempt.elapsedMs(), true);
        usedAt.put(attempt.gateway() + attempt.sent().host(), attempt.endsAt());
      }
      int number = random.nextInt(GATEWAYS);
      FakeGateway g = fleet.get(number);
      g.now = now;
      double position = random.nextDouble() * shares[KEYS - 1];
      int key = 0;
      while (shares[key] < position) {
        key++;
      }
      int sent = g.sent.size();
      g.balancer.onRequest(
          now, new RequestInfo("r" + requests, 0, 0, now + 2_000, 100, "k" + key, false, false));
      assertThat(g.sent).as("LC* holds no request here").hasSizeGreaterThan(sent);
      String host = g.lastSent().host();
      requests++;
      Double lastUsedAt = usedAt.remove(number + host);
      handshakes += lastUsedAt == null || now - lastUsedAt > idleMs ? 1 : 0;
      Double keyUsedAt = keyAt.put(key + host, now);
      cacheHits += keyUsedAt != null && now - keyUsedAt < KEY_MEMORY_MS ? 1 : 0;
      load.merge(host, 1, Integer::sum);
      double elapsedMs = 60 + 100 * random.nextDouble();
      inFlight.add(new PendingAttempt(now + elapsedMs, number, g.lastSent(), elapsedMs));
    }
    double maxRequests = load.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    return new Metrics(
        (double) handshakes / requests,
        maxRequests * HOSTS / requests,
        (double) cacheHits / requests);
  }

  @Test
  void reusesConnectionsAtNearlyEvenLoadWhereHandshakesHaveCost() {
    for (long seed = 1; seed <= 2; seed++) {
      Metrics withoutCost = simulate(0, 1_000, seed);
      Metrics withLongerTimeout = simulate(0, 8_000, seed);
      Metrics withCost = simulate(0.08, 8_000, seed);
      assertThat(withCost.handshakeShare()).isLessThan(0.5 * withoutCost.handshakeShare());
      assertThat(withCost.handshakeShare()).isLessThan(0.7 * withLongerTimeout.handshakeShare());
      assertThat(withCost.maxRelativeLoad()).isLessThan(1.25 * withoutCost.maxRelativeLoad());
      assertThat(withCost.cacheHitShare()).isGreaterThan(0.7 * withoutCost.cacheHitShare());
    }
  }

  @Test
  void closesIdleConnectionsLaterWhereHandshakesHaveCost() {
    assertThat(isClosedAfter(0, 1_500)).isTrue();
    assertThat(isClosedAfter(0.08, 1_500)).isFalse();
    assertThat(isClosedAfter(0.08, 9_500)).isTrue();
  }

  private static boolean isClosedAfter(double handshakeCost, double idleMs) {
    FakeGateway g =
        new FakeGateway(
            FakeGateway.withHandshakeCost(
                handshakeCost, FakeGateway.requestClass(Effect.BY_KEY, DedupScope.ALL)),
            1);
    g.addHosts(2);
    g.request(0, 100);
    g.now += 100;
    FakeGateway.Sent first = g.lastSent();
    g.outcome(first, Result.OK, 100, true);
    g.now += idleMs;
    g.request(0, 100);
    return g.log.contains("closeIdle " + first.host());
  }
}
