package hazelspoke.agreement.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Decoding of valid, malformed and oversized messages. */
class CborTest {
  @Test
  void readsWrittenFieldsAndIgnoresUnknownOnes() throws Exception {
    Fields in =
        Cbor.read(
            Cbor.write(
                Map.of(
                    "n",
                    Long.MIN_VALUE,
                    "t",
                    "é",
                    "b",
                    new byte[] {1, 2},
                    "l",
                    List.of(Map.of("x", 1)),
                    "s",
                    List.of("a", "b"),
                    "later",
                    Map.of("y", List.of(true, "z")))));
    assertThat(in.number("n")).isEqualTo(Long.MIN_VALUE);
    assertThat(in.text("t")).isEqualTo("é");
    assertThat(in.bytes("b")).containsExactly(1, 2);
    assertThat(in.list("l").get(0).nonNegativeInt("x")).isEqualTo(1);
    assertThat(in.texts("s")).containsExactly("a", "b");
    assertThatThrownBy(() -> in.text("n")).isInstanceOf(MalformedException.class);
    assertThatThrownBy(() -> in.number("absent")).isInstanceOf(MalformedException.class);
  }

  @Test
  void decodesOrRejectsMutatedBytes() {
    Random random = new Random(7);
    byte[] valid = Cbor.write(Map.of("kind", "raft", "list", List.of(Map.of("a", 1), Map.of())));
    int rejected = 0;
    for (int i = 0; i < 20_000; i++) {
      byte[] bytes = valid.clone();
      for (int j = 0; j <= random.nextInt(4); j++) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
      }
      try {
        Cbor.read(bytes);
      } catch (MalformedException e) {
        rejected++;
      }
    }
    assertThat(rejected).isBetween(1, 19_999);
  }

  @Test
  void rejectsTooManyValuesAndTooDeepNesting() {
    ByteArrayOutputStream manyValues = new ByteArrayOutputStream();
    manyValues.writeBytes(new byte[] {(byte) 0xBF, 0x61, 'a', (byte) 0x9F});
    manyValues.writeBytes(new byte[Cbor.MAX_VALUES + 1]);
    assertThatThrownBy(() -> Cbor.read(manyValues.toByteArray()))
        .isInstanceOf(MalformedException.class)
        .hasMessageContaining("values");
    ByteArrayOutputStream deeplyNested = new ByteArrayOutputStream();
    for (int i = 0; i < 5_000; i++) {
      deeplyNested.writeBytes(new byte[] {(byte) 0xA1, 0x61, 'a'});
    }
    assertThatThrownBy(() -> Cbor.read(deeplyNested.toByteArray()))
        .isInstanceOf(MalformedException.class);
  }
}
