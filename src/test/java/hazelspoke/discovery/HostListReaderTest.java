package hazelspoke.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import hazelspoke.core.HostLimit;
import hazelspoke.core.HostList;
import hazelspoke.core.Names;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ternscale.adapter.WireException;

/** What a discovery service can make the gateway hold with one response. */
class HostListReaderTest {
  private static final int FIELD_NAMES = 300_000;

  /** Far less than that many field names take. */
  private static final long MAX_GROWTH_BYTES = 1 << 20;

  private HostListReader reader;

  @BeforeEach
  void createReader() throws IOException {
    reader =
        new HostListReader(new Names(List.of(), List.of(), List.of("a"), List.of("k"), List.of()));
  }

  @Test
  void readsAsManyHostsAsTheLimitAllowsAndRejectsMore() throws Exception {
    feed("{\"index\":1,\"snapshot\":true,\"endpoints\":[" + entry("h0"));
    for (int i = 1; i < HostLimit.MAX_HOSTS; i++) {
      feed("," + entry("h" + i));
    }
    String next = "," + entry("next");
    assertThatThrownBy(() -> feed(next))
        .isInstanceOf(IOException.class)
        .hasMessageContaining("more than " + HostLimit.MAX_HOSTS);
  }

  @Test
  void rejectsLongNamesAndStringsThatNeverEnd() throws Exception {
    String longName = entry("h".repeat(254));
    assertThatThrownBy(() -> feed("{\"endpoints\":[" + longName))
        .isInstanceOf(WireException.class)
        .hasMessageContaining("longer than 253 characters");
    createReader();
    feed("{\"index\":1,\"endpoints\":[{\"name\":\"");
    String piece = "n".repeat(1_000);
    assertThatThrownBy(
            () -> {
              for (int i = 0; i < 1_000; i++) {
                feed(piece);
              }
            })
        .isInstanceOf(IOException.class);
  }

  /** Guards against a table of field names that grows for as long as a watch lasts. */
  @Test
  void keepsNoFieldNames() throws Exception {
    feed("{\"index\":0}\n");
    long before = usedHeapBytes();
    for (int i = 0; i < FIELD_NAMES; i++) {
      feed("{\"a field that no list has, number " + i + "\":1}\n");
    }
    assertThat(usedHeapBytes() - before).isLessThan(MAX_GROWTH_BYTES);
    assertThat(feed("{\"index\":7,\"endpoints\":[]}\n")).extracting("version").containsExactly(7L);
  }

  private List<HostList.Update> feed(String text) throws IOException {
    return reader.feed(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static String entry(String name) {
    return "{\"name\":\"%s\",\"address\":\"10.0.0.1:1\",\"zone\":\"a\",\"status\":\"Ready\"}"
        .formatted(name);
  }

  private static long usedHeapBytes() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }
}
