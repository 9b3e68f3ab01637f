package ternscale.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ternscale.api.HostEntry.Availability;
import ternscale.api.MembersUpdate.Kind;
import ternscale.api.Outcome.Result;
import ternscale.api.Settings.DedupScope;
import ternscale.api.Settings.Discovery;
import ternscale.api.Settings.Effect;

class LcStarBalancerTest {
  private static FakeGateway gateway(Effect effect, DedupScope dedupScope) {
    return new FakeGateway(
        FakeGateway.settings(Discovery.PUSHED, FakeGateway.requestClass(effect, dedupScope)), 7);
  }

  @Test
  void sendsShortRequestsToHostWithFewestInFlight() {
    FakeGateway g = gateway(Effect.REPEATABLE, DedupScope.ALL);
    g.addHosts(5);
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 5; i++) {
      g.request(0, 0);
      used.add(g.lastSent().host());
    }
    assertThat(used).hasSize(5);
    FakeGateway.Sent third = g.sent.get(2);
    g.outcome(third, Result.OK, 20, true);
    g.request(0, 0);
    assertThat(g.lastSent().host()).isEqualTo(third.host());
  }

  @Test
  void longRequestSkipsHostsWithLongRequestInFlight() {
    FakeGateway g = gateway(Effect.REPEATABLE, DedupScope.ALL);
    g.addHosts(2);
    for (int i = 0; i < 64; i++) {
      g.request(0, i < 60 ? 1 : 50);
      g.outcome(g.lastSent(), Result.OK, 5, true);
    }
    g.request(0, 100);
    String first = g.lastSent().host();
    for (int i = 0; i < 4; i++) {
      g.request(0, 1);
    }
    g.request(0, 100);
    assertThat(g.lastSent().host()).isNotEqualTo(first);
    int before = g.sent.size();
    String waiting = g.request(0, 100);
    assertThat(g.sent).hasSize(before);
    g.now += 400;
    g.balancer.onTimer(g.now, 2);
    assertThat(g.sentFor(waiting)).hasSize(1);
  }

  @Test
  void sendsNothingToDrainingOrRemovedHosts() {
    FakeGateway g = gateway(Effect.REPEATABLE, DedupScope.ALL);
    g.addHosts(3);
    g.updateMembers(
        Kind.DELTA,
        FakeGateway.host("h0", 0, Availability.DRAINING, 0),
        FakeGateway.host("h1", 1, Availability.GONE, 0));
    for (int i = 0; i < 20; i++) {
      g.request(0, 0);
      assertThat(g.lastSent().host()).isEqualTo("h2");
    }
  }

  @Test
  void doesNotRetryUnrepeatableRequestThatMayHaveRun() {
    FakeGateway g = gateway(Effect.ONCE, DedupScope.ALL);
    g.addHosts(3);
    String id = g.request(0, 0);
    g.outcome(g.lastSent(), Result.ERROR, 20, false);
    assertThat(g.sentFor(id)).hasSize(1);
    assertThat(g.log).contains("fail " + id).doesNotContain("refuse " + id);
  }

  @Test
  void retriesUnrepeatableRequestThatNeverRan() {
    FakeGateway g = gateway(Effect.ONCE, DedupScope.ALL);
    g.addHosts(3);
    String id = g.request(0, 0);
    g.outcome(g.lastSent(), Result.REJECTED, 1, false);
    assertThat(g.sentFor(id)).hasSize(2);
    assertThat(g.sentFor(id).get(0).host()).isNotEqualTo(g.sentFor(id).get(1).host());
  }

  @Test
  void retriesKeyedRequestWithinItsDedupScope() {
    for (int seed = 0; seed < 20; seed++) {
      FakeGateway g =
          new FakeGateway(
              FakeGateway.settings(
                  Discovery.PUSHED, FakeGateway.requestClass(Effect.BY_KEY, DedupScope.ZONE)),
              seed);
      g.addHosts(8);
      String id = g.request(0, 0);
      int zone = Integer.parseInt(g.lastSent().host().substring(1)) % 2;
      g.outcome(g.lastSent(), Result.RESET, 20, false);
      assertThat(g.sentFor(id)).hasSize(2);
      assertThat(Integer.parseInt(g.lastSent().host().substring(1)) % 2).isEqualTo(zone);
    }
  }

  @Test
  void ignoresLateAndOvertakenEvents() {
    FakeGateway g = gateway(Effect.REPEATABLE, DedupScope.ALL);
    g.addHosts(2);
    String id = g.request(0, 0);
    g.balancer.onClientDisconnected(g.now, id);
    g.balancer.onClientDisconnected(g.now, id);
    g.outcome(g.sentFor(id).get(0), Result.CANCELLED, 3, true);
    g.outcome(g.sentFor(id).get(0), Result.TIMEOUT, 3, false);
    g.balancer.onTimer(g.now, 2);
    g.balancer.onTimer(g.now, 99);
    assertThat(g.sentFor(id)).hasSize(1);
    assertThat(g.log).doesNotContain("fail " + id, "refuse " + id);
  }

  @Test
  void rejectsRequestInTimeWhenNoHostIsReady() {
    FakeGateway g = gateway(Effect.REPEATABLE, DedupScope.ALL);
    String id = g.request(0, 0);
    g.now += 496;
    g.balancer.onTimer(g.now, 2);
    assertThat(g.log).contains("refuse " + id);
  }

  @Test
  void errorsNameInvalidValue() {
    FakeGateway g = gateway(Effect.REPEATABLE, DedupScope.ALL);
    g.addHosts(2);
    assertThatThrownBy(() -> g.request(5, 0)).hasMessageContaining("5");
    g.balancer.close();
    assertThatThrownBy(() -> g.request(0, 0)).hasMessageContaining("closed");
  }
}
