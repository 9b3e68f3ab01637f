package ternscale.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ternscale.api.HostEntry;
import ternscale.api.HostEntry.Availability;
import ternscale.api.MembersUpdate;
import ternscale.api.Outcome.Result;
import ternscale.api.Settings;
import ternscale.api.Settings.DedupScope;
import ternscale.api.Settings.Effect;

/**
 * The budget of a host in slow start limits the sum of the requests from all gateways, although
 * each gateway knows only its own traffic. Simulates individual requests, with a seed per run, to
 * hosts of equal capacity at 0.7 of it, from gateways with uneven shares of the traffic.
 */
class SlowStartFleetTest {
  private static final Settings SETTINGS =
      FakeGateway.settings(
          Settings.Discovery.PUSHED, FakeGateway.requestClass(Effect.REPEATABLE, DedupScope.ALL));

  /** The number of hosts is this or the number of gateways, whichever is larger. */
  private static final int MIN_HOSTS = 20;

  private static final double WORK_MS = 50;
  private static final double LATENCY_MS = 60;

  /** Capacity of a warm host with one core, in requests per millisecond. */
  private static final double CAPACITY = 1 / WORK_MS;

  private static final double LOAD = 0.7;
  private static final double COLD_START_AFTER_MS = 20_000;
  private static final int SEEDS = 10;

  /** Why the host is cold. */
  enum Start {
    NEW_HOST,
    RESTART,
    /** The host restarts, and half of the gateways restart during its slow start. */
    GATEWAYS_RESTART_TOO
  }

  @ParameterizedTest
  @CsvSource({
    "NEW_HOST, 1", "NEW_HOST, 5", "NEW_HOST, 30", "NEW_HOST, 120",
    "RESTART, 1", "RESTART, 5", "RESTART, 30", "RESTART, 120",
    "GATEWAYS_RESTART_TOO, 5", "GATEWAYS_RESTART_TOO, 30", "GATEWAYS_RESTART_TOO, 120"
  })
  void gatewaysTogetherStayWithinBudgetOfColdHost(Start start, int gateways) {
    for (int seed = 0; seed < SEEDS; seed++) {
      Fleet fleet = new Fleet(start, gateways, seed);
      fleet.simulate();
      assertThat(fleet.maxExcess())
          .as("calls over the budget, seed %d", seed)
          .isLessThanOrEqualTo(0);
      if (start != Start.GATEWAYS_RESTART_TOO) {
        assertThat(fleet.coldCalls).as("a cold host is used, seed %d", seed).isNotEmpty();
      }
    }
  }

  /** A response that is on its way to a gateway. */
  private record Response(double at, int gateway, FakeGateway.Sent sent) {}

  private static final class Fleet {
    private final Start start;
    private final Random random;
    private final int hosts;
    private final List<FakeGateway> gateways = new ArrayList<>();
    private final double[] cumulativeShare;
    private final PriorityQueue<Response> responses =
        new PriorityQueue<>(Comparator.comparingDouble(Response::at));
    private final Deque<Double> coldCalls = new ArrayDeque<>();
    private final double coldAt;
    private double now;
    private boolean restarted;

    Fleet(Start start, int count, long seed) {
      this.start = start;
      random = new Random(seed);
      hosts = Math.max(MIN_HOSTS, count);
      cumulativeShare = new double[count];
      double sum = 0;
      for (int i = 0; i < count; i++) {
        gateways.add(gateway(i, count, seed * 1_000 + i));
        // Log-normal shares: some gateways receive several times the mean traffic.
        sum += Math.exp(random.nextGaussian() * 0.7);
        cumulativeShare[i] = sum;
      }
      now = gateways.get(0).now;
      coldAt = now + COLD_START_AFTER_MS;
    }

    private FakeGateway gateway(int index, int count, long seed) {
      FakeGateway gateway = new FakeGateway(FakeGateway.withInstance(SETTINGS, index, count), seed);
      gateway.addHosts(hosts);
      return gateway;
    }

    private HostEntry coldHost() {
      String name = start == Start.NEW_HOST ? "new" : "h0";
      return FakeGateway.host(name, 0, Availability.UP, coldAt);
    }

    void simulate() {
      double rate = LOAD * CAPACITY * hosts;
      double end = coldAt + SETTINGS.rules().slowStartMs();
      boolean announced = false;
      while (now < end) {
        now -= Math.log(1 - random.nextDouble()) / rate;
        deliverResponses();
        if (!announced && now >= coldAt) {
          announced = true;
          for (FakeGateway gateway : gateways) {
            announceColdHost(gateway);
          }
        }
        restartGatewaysDuringSlowStart();
        sendRequest(pickGateway());
      }
    }

    private void announceColdHost(FakeGateway gateway) {
      gateway.now = now;
      gateway.updateMembers(MembersUpdate.Kind.DELTA, coldHost());
    }

    private void restartGatewaysDuringSlowStart() {
      double restartAt = coldAt + SETTINGS.rules().slowStartMs() / 4;
      if (start != Start.GATEWAYS_RESTART_TOO || restarted || now < restartAt) {
        return;
      }
      restarted = true;
      for (int i = 0; i < gateways.size(); i += 2) {
        int index = i;
        responses.removeIf(response -> response.gateway() == index);
        FakeGateway restartedGateway = gateway(i, gateways.size(), random.nextLong());
        announceColdHost(restartedGateway);
        gateways.set(i, restartedGateway);
      }
    }

    private int pickGateway() {
      double position = random.nextDouble() * cumulativeShare[cumulativeShare.length - 1];
      int i = 0;
      while (cumulativeShare[i] < position) {
        i++;
      }
      return i;
    }

    private void sendRequest(int index) {
      FakeGateway gateway = gateways.get(index);
      gateway.now = now;
      int before = gateway.sent.size();
      gateway.request(0, WORK_MS);
      for (FakeGateway.Sent sent : gateway.sent.subList(before, gateway.sent.size())) {
        responses.add(new Response(now + LATENCY_MS, index, sent));
        if (sent.host().equals(coldHost().host()) && now >= coldAt) {
          coldCalls.add(now);
        }
      }
    }

    private void deliverResponses() {
      while (!responses.isEmpty() && responses.peek().at() <= now) {
        Response response = responses.poll();
        FakeGateway gateway = gateways.get(response.gateway());
        gateway.now = response.at();
        gateway.outcome(response.sent(), Result.OK, LATENCY_MS, true);
      }
    }

    /** The maximum excess of calls over the allowed number, over windows that start at a call. */
    double maxExcess() {
      Settings.Rules rules = SETTINGS.rules();
      double maxExcess = Double.NEGATIVE_INFINITY;
      for (double from : coldCalls) {
        double capacityShare =
            rules.initialCapacityShare()
                + (1 - rules.initialCapacityShare()) * (from - coldAt) / rules.slowStartMs();
        double allowed = rules.overloadMultiple() * capacityShare * CAPACITY * rules.overloadMs();
        double slack = allowed < 30 ? 3 * Math.sqrt(allowed) + 3 : 2 * Math.sqrt(allowed) + 2;
        long calls =
            coldCalls.stream().filter(at -> at >= from && at < from + rules.overloadMs()).count();
        maxExcess = Math.max(maxExcess, calls - allowed - slack);
      }
      return maxExcess;
    }
  }
}
