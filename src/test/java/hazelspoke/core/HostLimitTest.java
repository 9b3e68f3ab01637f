package hazelspoke.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import ternscale.api.HostEntry;
import ternscale.api.HostEntry.Availability;
import ternscale.api.MembersUpdate.Kind;

/** Which hosts are kept when discovery lists too many. */
class HostLimitTest {
  private final HostLimit limit = new HostLimit();

  @Test
  void changesAddNoMoreHostsThanTheLimit() {
    for (int i = 0; i < HostLimit.MAX_HOSTS; i++) {
      assertThat(admit(Kind.DELTA, host("h" + i, Availability.UP))).hasSize(1);
    }
    assertThat(admit(Kind.DELTA, host("next", Availability.UP))).isEmpty();
    assertThat(admit(Kind.DELTA, host("next", Availability.DRAINING))).isEmpty();
    // Known hosts change as before, and one that is gone makes room.
    assertThat(admit(Kind.DELTA, host("h5", Availability.DRAINING))).hasSize(1);
    assertThat(admit(Kind.DELTA, host("h5", Availability.GONE))).hasSize(1);
    assertThat(admit(Kind.DELTA, host("next", Availability.UP))).hasSize(1);
    assertThat(admit(Kind.DELTA, host("after", Availability.UP))).isEmpty();
  }

  @Test
  void completeListReplacesThoseKept() {
    List<HostList.Listed> list = new ArrayList<>();
    for (int i = 0; i <= HostLimit.MAX_HOSTS; i++) {
      list.add(host("h" + i, Availability.UP));
    }
    assertThat(limit.admit(Kind.FULL, list)).isEqualTo(list.subList(0, HostLimit.MAX_HOSTS));
    assertThat(admit(Kind.FULL, host("only", Availability.UP))).hasSize(1);
    assertThat(admit(Kind.DELTA, host("another", Availability.UP))).hasSize(1);
  }

  private List<HostList.Listed> admit(Kind kind, HostList.Listed host) {
    return limit.admit(kind, List.of(host));
  }

  private static HostList.Listed host(String name, Availability availability) {
    return new HostList.Listed(new HostEntry(name, 1, 0, 0, 0, availability, 0), null);
  }
}
