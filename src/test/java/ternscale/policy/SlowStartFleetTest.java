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
 * The budget of a host in slow start binds the sum of what all gateways send it, though each knows
 * its own traffic only. Simulated to the millisecond, with a seed for each play: hosts of one
 * capacity at seven tenths of it, gateways with uneven parts of the traffic.
 */
class SlowStartFleetTest {
  private static final Settings SETTINGS =
      Gateway.settings(Settings.Discovery.PUSHED, Gateway.type(Effect.REPEATABLE, DedupScope.ALL));

  /** And as many as there are gateways, where those are more. */
  private static final int LEAST_HOSTS = 20;

  private static final double WORK_MS = 50;
  private static final double LATENCY_MS = 60;

  /** What a warm host with one core can serve, in requests a millisecond. */
  private static final double CAPACITY = 1 / WORK_MS;

  private static final double LOAD = 0.7;
  private static final double WARM_UP_MS = 20_000;
  private static final int SEEDS = 10;

  /** How the host comes to be cold. */
  enum Start {
    NEW_HOST,
    RESTART,
    /** And half of the gateways start anew while it is warming up. */
    GATEWAYS_RESTART_TOO
  }

  @ParameterizedTest
  @CsvSource({
    "NEW_HOST, 1", "NEW_HOST, 5", "NEW_HOST, 30", "NEW_HOST, 120",
    "RESTART, 1", "RESTART, 5", "RESTART, 30", "RESTART, 120",
    "GATEWAYS_RESTART_TOO, 5", "GATEWAYS_RESTART_TOO, 30", "GATEWAYS_RESTART_TOO, 120"
  })
  void allGatewaysTogetherKeepWithinTheBudgetOfAColdHost(Start start, int gateways) {
    for (int seed = 0; seed < SEEDS; seed++) {
      Fleet fleet = new Fleet(start, gateways, seed);
      fleet.play();
      assertThat(fleet.worstExcess())
          .as("calls beyond the budget, seed %d", seed)
          .isLessThanOrEqualTo(0);
      if (start != Start.GATEWAYS_RESTART_TOO) {
        assertThat(fleet.coldCalls).as("a cold host is used, seed %d", seed).isNotEmpty();
      }
    }
  }

  /** An answer on its way back to a gateway. */
  private record Answer(double at, int gateway, Gateway.Sent sent) {}

  private static final class Fleet {
    private final Start start;
    private final Random random;
    private final int hosts;
    private final List<Gateway> gateways = new ArrayList<>();
    private final double[] cumulativeShare;
    private final PriorityQueue<Answer> answers =
        new PriorityQueue<>(Comparator.comparingDouble(Answer::at));
    private final Deque<Double> coldCalls = new ArrayDeque<>();
    private final double coldAt;
    private double now;
    private boolean restarted;

    Fleet(Start start, int count, long seed) {
      this.start = start;
      random = new Random(seed);
      hosts = Math.max(LEAST_HOSTS, count);
      cumulativeShare = new double[count];
      double sum = 0;
      for (int i = 0; i < count; i++) {
        gateways.add(gateway(i, count, seed * 1_000 + i));
        // Some see several times the mean.
        sum += Math.exp(random.nextGaussian() * 0.7);
        cumulativeShare[i] = sum;
      }
      now = gateways.get(0).now;
      coldAt = now + WARM_UP_MS;
    }

    private Gateway gateway(int me, int count, long seed) {
      Gateway gateway = new Gateway(Gateway.oneOf(SETTINGS, me, count), seed);
      gateway.hosts(hosts);
      return gateway;
    }

    private HostEntry coldHost() {
      String name = start == Start.NEW_HOST ? "new" : "h0";
      return Gateway.host(name, 0, Availability.UP, coldAt);
    }

    void play() {
      double rate = LOAD * CAPACITY * hosts;
      double end = coldAt + SETTINGS.rules().slowStartMs();
      boolean told = false;
      while (now < end) {
        now -= Math.log(1 - random.nextDouble()) / rate;
        deliverAnswers();
        if (!told && now >= coldAt) {
          told = true;
          for (Gateway gateway : gateways) {
            tellOfColdHost(gateway);
          }
        }
        restartGatewaysInMidRamp();
        ask(pick());
      }
    }

    private void tellOfColdHost(Gateway gateway) {
      gateway.now = now;
      gateway.members(MembersUpdate.Kind.DELTA, coldHost());
    }

    private void restartGatewaysInMidRamp() {
      double middle = coldAt + SETTINGS.rules().slowStartMs() / 4;
      if (start != Start.GATEWAYS_RESTART_TOO || restarted || now < middle) {
        return;
      }
      restarted = true;
      for (int i = 0; i < gateways.size(); i += 2) {
        int index = i;
        answers.removeIf(answer -> answer.gateway() == index);
        Gateway anew = gateway(i, gateways.size(), random.nextLong());
        tellOfColdHost(anew);
        gateways.set(i, anew);
      }
    }

    private int pick() {
      double at = random.nextDouble() * cumulativeShare[cumulativeShare.length - 1];
      int i = 0;
      while (cumulativeShare[i] < at) {
        i++;
      }
      return i;
    }

    private void ask(int index) {
      Gateway gateway = gateways.get(index);
      gateway.now = now;
      int before = gateway.sent.size();
      gateway.request(0, WORK_MS);
      for (Gateway.Sent sent : gateway.sent.subList(before, gateway.sent.size())) {
        answers.add(new Answer(now + LATENCY_MS, index, sent));
        if (sent.host().equals(coldHost().host()) && now >= coldAt) {
          coldCalls.add(now);
        }
      }
    }

    private void deliverAnswers() {
      while (!answers.isEmpty() && answers.peek().at() <= now) {
        Answer answer = answers.poll();
        Gateway gateway = gateways.get(answer.gateway());
        gateway.now = answer.at();
        gateway.outcome(answer.sent(), Result.OK, LATENCY_MS, true);
      }
    }

    /** The most calls beyond what a window of the settings allows from its beginning on. */
    double worstExcess() {
      Settings.Rules rules = SETTINGS.rules();
      double worst = Double.NEGATIVE_INFINITY;
      for (double from : coldCalls) {
        double warmth =
            rules.initialCapacityShare()
                + (1 - rules.initialCapacityShare()) * (from - coldAt) / rules.slowStartMs();
        double allowed = rules.overloadMultiple() * warmth * CAPACITY * rules.overloadMs();
        double slack = allowed < 30 ? 3 * Math.sqrt(allowed) + 3 : 2 * Math.sqrt(allowed) + 2;
        long calls =
            coldCalls.stream().filter(at -> at >= from && at < from + rules.overloadMs()).count();
        worst = Math.max(worst, calls - allowed - slack);
      }
      return worst;
    }
  }
}
