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

/** A gateway whose zone is partitioned from the others: most hosts are unresponsive. */
class UnresponsiveZoneTest {
  private static final int HOSTS = 20;
  private static final double PARTITION_MS = 2_000;
  private static final double END_MS = 10_000;

  private record PendingAttempt(
      double endsAt, FakeGateway.Sent sent, Result result, double elapsedMs) {}

  /** Share of requests sent to unresponsive hosts from 2 s after the partition on. */
  private static double lostShare(int respondingHosts, Result unresponsiveResult, double afterMs) {
    FakeGateway g =
        new FakeGateway(
            FakeGateway.settings(
                Discovery.PUSHED,
                true,
                FakeGateway.requestClass(Effect.REPEATABLE, DedupScope.ALL)),
            3);
    HostEntry[] hosts = new HostEntry[HOSTS];
    for (int i = 0; i < HOSTS; i++) {
      hosts[i] =
          FakeGateway.host("h" + i, i < respondingHosts ? 0 : 1, HostEntry.Availability.UP, 0);
    }
    g.updateMembers(MembersUpdate.Kind.FULL, hosts);
    PriorityQueue<PendingAttempt> inFlight =
        new PriorityQueue<>(Comparator.comparingDouble(PendingAttempt::endsAt));
    double start = g.now;
    int requests = 0;
    int lost = 0;
    for (double now = start; now < start + END_MS; now += 40) {
      while (!inFlight.isEmpty() && inFlight.peek().endsAt() <= now) {
        PendingAttempt attempt = inFlight.poll();
        g.now = attempt.endsAt();
        g.outcome(attempt.sent(), attempt.result(), attempt.elapsedMs(), true);
      }
      g.now = now;
      int before = g.sent.size();
      String id = "r" + now;
      g.balancer.onRequest(now, new RequestInfo(id, 0, 0, now + 2_000, 100, id, false, false));
      if (g.sent.size() == before) {
        continue;
      }
      FakeGateway.Sent s = g.lastSent();
      boolean partitioned =
          now > start + PARTITION_MS && Integer.parseInt(s.host().substring(1)) >= respondingHosts;
      double elapsedMs = partitioned ? afterMs : 50;
      inFlight.add(
          new PendingAttempt(
              now + elapsedMs, s, partitioned ? unresponsiveResult : Result.OK, elapsedMs));
      requests += now > start + 2 * PARTITION_MS ? 1 : 0;
      lost += partitioned && now > start + 2 * PARTITION_MS ? 1 : 0;
    }
    return (double) lost / requests;
  }

  /**
   * With at most two in five hosts ejected, half of the requests were still sent to unresponsive
   * hosts.
   */
  @ParameterizedTest
  @CsvSource({"CONNECT_FAILED, 250", "TIMEOUT, 1500"})
  void skipsUnresponsiveZoneThatHoldsMostHosts(Result result, double afterMs) {
    assertThat(lostShare(5, result, afterMs)).isLessThan(0.18);
  }
}
