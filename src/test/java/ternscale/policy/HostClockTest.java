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

/** The clock of the host list differs by an hour from the gateway's, in either direction. */
class HostClockTest {
  private static final double NOW = 100 * 3_600_000.0;

  private final Settings settings =
      FakeGateway.settings(
          Settings.Discovery.PUSHED, FakeGateway.requestClass(Effect.REPEATABLE, DedupScope.ALL));
  private final ColdStart coldStart = new ColdStart(settings.rules(), new Random(1), NOW);
  private final HostTable hosts = new HostTable(settings, coldStart);

  private void updateHost(MembersUpdate.Kind kind, String host, double startedAt, double now) {
    HostEntry entry = new HostEntry(host, 1, 0, 0, 0, Availability.UP, startedAt);
    hosts.apply(new MembersUpdate(kind, 1, List.of(entry)), now);
  }

  private Host host(String name) {
    return hosts.ring.stream().filter(h -> h.id.equals(name)).findFirst().orElseThrow();
  }

  @ParameterizedTest
  @ValueSource(doubles = {-3_600_000, 3_600_000})
  void hostIsColdForSlowStartTimeDespiteClockOffset(double offsetMs) {
    updateHost(MembersUpdate.Kind.FULL, "old", 0, NOW);
    updateHost(MembersUpdate.Kind.DELTA, "new", NOW + offsetMs, NOW);
    assertThat(coldStart.isCold(host("new"), NOW)).isTrue();
    // An update that repeats the same start time does not restart the slow start.
    double later = NOW + settings.rules().slowStartMs() / 2;
    updateHost(MembersUpdate.Kind.DELTA, "new", NOW + offsetMs, later);
    assertThat(coldStart.isCold(host("new"), NOW + settings.rules().slowStartMs())).isFalse();
    assertThat(coldStart.isCold(host("old"), NOW)).isFalse();
  }

  /** The first list contains hosts that started at any time in the past. */
  @ParameterizedTest
  @ValueSource(strings = {"FULL", "DELTA"})
  void acceptsOldStartTimesOfFirstList(MembersUpdate.Kind kind) {
    updateHost(MembersUpdate.Kind.CACHED, "old", 0, NOW);
    updateHost(kind, "new", NOW - 3_600_000, NOW);
    assertThat(coldStart.isCold(host("new"), NOW)).isFalse();
  }
}
