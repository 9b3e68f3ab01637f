package hazelspoke.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class GcLogTest {
  @Test
  void reportsHeapGrowthBetweenCollectionsAndLongestPause() {
    GcLog.Summary summary =
        GcLog.read(
            List.of(
                "[1.1s][info][gc] GC(0) Pause Young (Allocation Failure) 22M->3M(53M) 2.500ms",
                "[1.2s][info][gc] GC(1) Pause Young (Allocation Failure) 23M->13M(53M) 4.000ms",
                "[1.3s][info][gc] GC(2) Pause Full (Allocation Failure) 33M->5M(53M) 71.250ms",
                "[1.4s][info][safepoint] no collection"));
    assertThat(summary.collections()).isEqualTo(3);
    assertThat(summary.full()).isEqualTo(1);
    assertThat(summary.longestMs()).isEqualTo(71.25);
    assertThat(summary.allocatedBytes()).isEqualTo((20 + 20) * 1024 * 1024.0);
  }

  @Test
  void reportsZerosWithoutCollections() {
    assertThat(GcLog.read(List.of())).isEqualTo(new GcLog.Summary(0, 0, 0, 0));
  }
}
