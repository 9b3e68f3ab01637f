package ternscale.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ternscale.api.HostEntry;
import ternscale.api.HostEntry.Availability;
import ternscale.api.MembersUpdate;
import ternscale.api.Settings;
import ternscale.api.Settings.DedupScope;
import ternscale.api.Settings.Effect;

/** The clock of whoever lists the hosts is off by an hour against the gateway's, either way. */
class HostClockTest {
  private static final double NOW = 100 * 3_600_000.0;

  private final Settings settings =
      Gateway.settings(Settings.Discovery.PUSHED, Gateway.type(Effect.REPEATABLE, DedupScope.ALL));
  private final ColdStart coldStart = new ColdStart(settings.rules(), new Random(1), NOW);
  private final HostTable hosts = new HostTable(settings, coldStart);

  private void tell(MembersUpdate.Kind kind, String host, double startedAt, double now) {
    HostEntry entry = new HostEntry(host, 1, 0, 0, 0, Availability.UP, startedAt);
    hosts.apply(new MembersUpdate(kind, 1, List.of(entry)), now);
  }

  private Host host(String name) {
    return hosts.ring.stream().filter(h -> h.id.equals(name)).findFirst().orElseThrow();
  }

  @ParameterizedTest
  @ValueSource(doubles = {-3_600_000, 3_600_000})
  void aHostThatJustStartedIsColdForAsLongAsTheSettingsSay(double offMs) {
    tell(MembersUpdate.Kind.FULL, "old", 0, NOW);
    tell(MembersUpdate.Kind.DELTA, "new", NOW + offMs, NOW);
    assertThat(coldStart.isCold(host("new"), NOW)).isTrue();
    // Told again, as another list comes, it does not start anew.
    double later = NOW + settings.rules().slowStartMs() / 2;
    tell(MembersUpdate.Kind.DELTA, "new", NOW + offMs, later);
    assertThat(coldStart.isCold(host("new"), NOW + settings.rules().slowStartMs())).isFalse();
    assertThat(coldStart.isCold(host("old"), NOW)).isFalse();
  }

  /** The first list tells of starts of all times. */
  @ParameterizedTest
  @ValueSource(strings = {"FULL", "DELTA"})
  void whatTheFirstListTellsOfOldStartsHolds(MembersUpdate.Kind kind) {
    tell(MembersUpdate.Kind.CACHED, "old", 0, NOW);
    tell(kind, "new", NOW - 3_600_000, NOW);
    assertThat(coldStart.isCold(host("new"), NOW)).isFalse();
  }
}
