package ternscale.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ternscale.api.HostEntry;
import ternscale.api.MembersUpdate;
import ternscale.api.Outcome.Result;
import ternscale.api.RequestInfo;
import ternscale.api.Settings.DedupScope;
import ternscale.api.Settings.Discovery;
import ternscale.api.Settings.Effect;

/** A gateway whose zone is cut off from the others: most hosts are silent, its own answer. */
class SilenceTest {
  private static final int HOSTS = 20;
  private static final double CUT_MS = 2_000;
  private static final double END_MS = 10_000;

  private record Call(double end, Gateway.Sent sent, Result result, double took) {}

  /** The part of the requests that went to silent hosts once 2 s of silence had passed. */
  private static double lost(int answering, Result ofTheSilent, double afterMs) {
    Gateway g =
        new Gateway(
            Gateway.settings(
                Discovery.PUSHED, true, Gateway.type(Effect.REPEATABLE, DedupScope.ALL)),
            3);
    HostEntry[] hosts = new HostEntry[HOSTS];
    for (int i = 0; i < HOSTS; i++) {
      hosts[i] = Gateway.host("h" + i, i < answering ? 0 : 1, HostEntry.Availability.UP, 0);
    }
    g.members(MembersUpdate.Kind.FULL, hosts);
    PriorityQueue<Call> out = new PriorityQueue<>(Comparator.comparingDouble(Call::end));
    double start = g.now;
    int asked = 0;
    int lost = 0;
    for (double now = start; now < start + END_MS; now += 40) {
      while (!out.isEmpty() && out.peek().end() <= now) {
        Call call = out.poll();
        g.now = call.end();
        g.outcome(call.sent(), call.result(), call.took(), true);
      }
      g.now = now;
      int before = g.sent.size();
      String id = "r" + now;
      g.balancer.onRequest(now, new RequestInfo(id, 0, 0, now + 2_000, 100, id, false, false));
      if (g.sent.size() == before) {
        continue;
      }
      Gateway.Sent s = g.lastSent();
      boolean cut = now > start + CUT_MS && Integer.parseInt(s.host().substring(1)) >= answering;
      double took = cut ? afterMs : 50;
      out.add(new Call(now + took, s, cut ? ofTheSilent : Result.OK, took));
      asked += now > start + 2 * CUT_MS ? 1 : 0;
      lost += cut && now > start + 2 * CUT_MS ? 1 : 0;
    }
    return (double) lost / asked;
  }

  /** With no more than two in five passed over, half of the requests went on being lost. */
  @ParameterizedTest
  @CsvSource({"CONNECT_FAILED, 250", "TIMEOUT, 1500"})
  void aZoneThatIsSilentIsPassedOverEvenIfItIsMostOfTheHosts(Result result, double afterMs) {
    assertThat(lost(5, result, afterMs)).isLessThan(0.18);
  }
}
