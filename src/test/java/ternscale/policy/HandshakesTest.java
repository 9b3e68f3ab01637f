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
 * A whole fleet of modules, each with little traffic of its own, before the same hosts: how many
 * requests find a connection at rest, how even the hosts' load is, and how often a host has seen a
 * request's key lately.
 */
class HandshakesTest {
  private static final int GATEWAYS = 60;
  private static final int HOSTS = 60;
  private static final int KEYS = 3_000;
  private static final double RATE_PER_MS = 0.6;
  private static final double LENGTH_MS = 20_000;
  private static final double KEY_MEMORY_MS = 6_000;

  private record Call(double end, int gateway, Gateway.Sent sent, double took) {}

  private record Seen(double handshakes, double mostLoad, double warm) {}

  /** {@code restMs}: how long a connection is kept after it was last used. */
  private static Seen play(double price, double restMs, long seed) {
    Settings settings = Gateway.handshake(price, Gateway.type(Effect.BY_KEY, DedupScope.ALL));
    List<Gateway> fleet = new ArrayList<>();
    for (int i = 0; i < GATEWAYS; i++) {
      Gateway g = new Gateway(settings, seed * 1_000 + i);
      g.hosts(HOSTS);
      fleet.add(g);
    }
    Random random = new Random(seed);
    double[] shares = new double[KEYS];
    for (int i = 0; i < KEYS; i++) {
      shares[i] = (i == 0 ? 0 : shares[i - 1]) + 1.0 / (i + 1);
    }
    PriorityQueue<Call> out = new PriorityQueue<>(Comparator.comparingDouble(Call::end));
    Map<String, Double> usedAt = new HashMap<>();
    Map<String, Double> keyAt = new HashMap<>();
    Map<String, Integer> load = new HashMap<>();
    double now = fleet.get(0).now;
    double end = now + LENGTH_MS;
    int requests = 0;
    int fresh = 0;
    int warm = 0;
    while (now < end) {
      now += -Math.log(1 - random.nextDouble()) / RATE_PER_MS;
      while (!out.isEmpty() && out.peek().end() <= now) {
        Call call = out.poll();
        Gateway g = fleet.get(call.gateway());
        g.now = call.end();
        g.outcome(call.sent(), Result.OK, call.took(), true);
        usedAt.put(call.gateway() + call.sent().host(), call.end());
      }
      int number = random.nextInt(GATEWAYS);
      Gateway g = fleet.get(number);
      g.now = now;
      double at = random.nextDouble() * shares[KEYS - 1];
      int key = 0;
      while (shares[key] < at) {
        key++;
      }
      int sent = g.sent.size();
      g.balancer.onRequest(
          now, new RequestInfo("r" + requests, 0, 0, now + 2_000, 100, "k" + key, false, false));
      assertThat(g.sent).as("LC* holds nothing here").hasSizeGreaterThan(sent);
      String host = g.lastSent().host();
      requests++;
      Double last = usedAt.remove(number + host);
      fresh += last == null || now - last > restMs ? 1 : 0;
      Double met = keyAt.put(key + host, now);
      warm += met != null && now - met < KEY_MEMORY_MS ? 1 : 0;
      load.merge(host, 1, Integer::sum);
      double took = 60 + 100 * random.nextDouble();
      out.add(new Call(now + took, number, g.lastSent(), took));
    }
    double most = load.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    return new Seen((double) fresh / requests, most * HOSTS / requests, (double) warm / requests);
  }

  @Test
  void whereTheyArePricedConnectionsAreUsedAgainAndTheLoadStaysNearlyAsEven() {
    for (long seed = 1; seed <= 2; seed++) {
      Seen free = play(0, 1_000, seed);
      Seen kept = play(0, 8_000, seed);
      Seen priced = play(0.08, 8_000, seed);
      assertThat(priced.handshakes()).isLessThan(0.5 * free.handshakes());
      assertThat(priced.handshakes()).isLessThan(0.7 * kept.handshakes());
      assertThat(priced.mostLoad()).isLessThan(1.25 * free.mostLoad());
      assertThat(priced.warm()).isGreaterThan(0.7 * free.warm());
    }
  }

  @Test
  void whatRestsIsClosedAfterASecondWithoutAPriceAndLaterWithOne() {
    assertThat(closedAfter(0, 1_500)).isTrue();
    assertThat(closedAfter(0.08, 1_500)).isFalse();
    assertThat(closedAfter(0.08, 9_500)).isTrue();
  }

  private static boolean closedAfter(double price, double restMs) {
    Gateway g =
        new Gateway(Gateway.handshake(price, Gateway.type(Effect.BY_KEY, DedupScope.ALL)), 1);
    g.hosts(2);
    g.request(0, 100);
    g.now += 100;
    Gateway.Sent first = g.lastSent();
    g.outcome(first, Result.OK, 100, true);
    g.now += restMs;
    g.request(0, 100);
    return g.log.contains("closeIdle " + first.host());
  }
}
