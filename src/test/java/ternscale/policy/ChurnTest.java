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

/** Hosts under ever new ids. */
class ChurnTest {
  private static final Settings SETTINGS =
      Gateway.settings(Discovery.PUSHED, Gateway.type(Effect.BY_KEY, DedupScope.ALL));

  @Test
  void hostsThatHaveGoneAreForgotten() {
    ColdStart coldStart = new ColdStart(SETTINGS.rules(), new Random(1), 0);
    HostTable table = new HostTable(SETTINGS, coldStart);
    for (int i = 0; i < 1_000; i++) {
      table.apply(
          new MembersUpdate(
              i % 2 == 0 ? Kind.FULL : Kind.DELTA,
              i,
              List.of(
                  Gateway.host("h" + (i - 1), 0, Availability.GONE, 0),
                  Gateway.host("h" + i, 0, Availability.UP, i))),
          i);
    }
    assertThat(table.all).extracting(h -> h.id).containsExactly("h999");
  }

  @Test
  void aLateOutcomeOfAHostThatHasGoneIsTakenNote() {
    Gateway g = new Gateway(SETTINGS, 3);
    g.hosts(1);
    g.request(0, 10);
    g.members(Kind.FULL);
    g.members(Kind.FULL);
    g.members(Kind.DELTA, Gateway.host("other", 0, Availability.UP, 0));
    g.outcome(g.sent.get(0), Result.RESET, 15, false);
    // The other one is tried: what the first left behind is no obstacle.
    assertThat(g.lastSent().host()).isEqualTo("other");
  }
}
