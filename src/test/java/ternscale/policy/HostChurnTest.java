package ternscale.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import ternscale.api.HostEntry.Availability;
import ternscale.api.MembersUpdate;
import ternscale.api.MembersUpdate.Kind;
import ternscale.api.Outcome.Result;
import ternscale.api.Settings;
import ternscale.api.Settings.DedupScope;
import ternscale.api.Settings.Discovery;
import ternscale.api.Settings.Effect;

/** Hosts that are replaced under new ids. */
class HostChurnTest {
  private static final Settings SETTINGS =
      FakeGateway.settings(
          Discovery.PUSHED, FakeGateway.requestClass(Effect.BY_KEY, DedupScope.ALL));

  @Test
  void forgetsRemovedHosts() {
    ColdStart coldStart = new ColdStart(SETTINGS.rules(), new Random(1), 0);
    HostTable table = new HostTable(SETTINGS, coldStart);
    for (int i = 0; i < 1_000; i++) {
      table.apply(
          new MembersUpdate(
              i % 2 == 0 ? Kind.FULL : Kind.DELTA,
              i,
              List.of(
                  FakeGateway.host("h" + (i - 1), 0, Availability.GONE, 0),
                  FakeGateway.host("h" + i, 0, Availability.UP, i))),
          i);
    }
    assertThat(table.all).extracting(h -> h.id).containsExactly("h999");
  }

  @Test
  void retriesAfterLateOutcomeOfRemovedHost() {
    FakeGateway g = new FakeGateway(SETTINGS, 3);
    g.addHosts(1);
    g.request(0, 10);
    g.updateMembers(Kind.FULL);
    g.updateMembers(Kind.FULL);
    g.updateMembers(Kind.DELTA, FakeGateway.host("other", 0, Availability.UP, 0));
    g.outcome(g.sent.get(0), Result.RESET, 15, false);
    // The request is retried on the other host, although the first one is no longer listed.
    assertThat(g.lastSent().host()).isEqualTo("other");
  }
}
