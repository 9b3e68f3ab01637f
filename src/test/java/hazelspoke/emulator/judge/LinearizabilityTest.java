package hazelspoke.emulator.judge;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.emulator.judge.Linearizability.Call;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests that the search accepts linearizable histories and rejects all others. */
class LinearizabilityTest {
  @Test
  void rejectsReadOlderThanCompletedWrite() {
    Call written = Call.write(0, 10, -1, "a", true, 5);
    assertThat(Linearizability.check(List.of(written, Call.read(5, 12, 0, null)))).isNull();
    assertThat(Linearizability.check(List.of(written, Call.read(11, 12, 5, "a")))).isNull();
    assertThat(Linearizability.check(List.of(written, Call.read(11, 12, 0, null))))
        .contains("no order");
  }

  @Test
  void rejectsSecondReadOlderThanFirst() {
    Call slow = Call.write(0, 100, -1, "a", true, 5);
    assertThat(
            Linearizability.check(
                List.of(slow, Call.read(10, 20, 5, "a"), Call.read(30, 40, 0, null))))
        .contains("no order");
  }

  @Test
  void acceptsWriteWithUnknownEndWithOrWithoutEffect() {
    Call lost = Call.withUnknownEnd(0, 0, "a");
    Call next = Call.write(20, 30, 0, "b", true, 7);
    assertThat(Linearizability.check(List.of(lost, next))).isNull();
    assertThat(Linearizability.check(List.of(lost, Call.read(10, 12, 4, "a")))).isNull();
    assertThat(Linearizability.check(List.of(lost, Call.read(10, 12, 4, "a"), next)))
        .as("a write that expects an empty register after a read of a value")
        .contains("no order");
    assertThat(Linearizability.check(List.of(lost, Call.write(20, 30, 0, "b", false, 4))))
        .as("rejected because of the write with an unknown end")
        .isNull();
  }

  @Test
  void rejectsWriteThatTakesEffectTwice() {
    Call lost = Call.write(0, 50, -1, "a", true, 3);
    Call other = Call.write(10, 20, -1, "b", true, 6);
    assertThat(
            Linearizability.check(
                List.of(lost, other, Call.read(22, 23, 6, "b"), Call.read(60, 61, 8, "a"))))
        .contains("no order");
  }

  /**
   * Histories of a correct register pass; with the version of one read changed they are rejected.
   */
  @Test
  void acceptsCorrectHistoriesAndRejectsAlteredOnes() {
    int rejected = 0;
    int altered = 0;
    for (int seed = 0; seed < 200; seed++) {
      List<Call> calls = history(new Random(seed));
      assertThat(Linearizability.check(calls)).as("seed %d", seed).isNull();
      Random random = new Random(~seed);
      int at = random.nextInt(calls.size());
      Call c = calls.get(at);
      boolean ofUnknownEnd =
          calls.stream()
              .anyMatch(w -> w.to() == Linearizability.UNKNOWN && w.value().equals(c.value()));
      // The version of a write with an unknown end is known only from its readers.
      if (!c.writes() && !ofUnknownEnd) {
        calls.set(at, Call.read(c.from(), c.to(), c.version() + 1, c.value()));
        altered++;
        rejected += Linearizability.check(calls) == null ? 0 : 1;
      }
    }
    assertThat(altered).isGreaterThan(50);
    assertThat(rejected).isEqualTo(altered);
  }

  private static List<Call> history(Random random) {
    List<Call> out = new ArrayList<>();
    long version = 0;
    String value = null;
    for (int i = 0; i < 60; i++) {
      long at = i * 10L;
      long from = at - random.nextInt(25);
      long to = at + 1 + random.nextInt(25);
      if (random.nextBoolean()) {
        out.add(Call.read(from, to, version, value));
      } else if (random.nextInt(3) == 0 && version > 0) {
        out.add(Call.write(from, to, version - 1, "x" + i, false, version));
      } else {
        version += 1 + random.nextInt(3);
        value = "v" + i;
        boolean unknownEnd = random.nextInt(6) == 0;
        out.add(
            unknownEnd
                ? Call.withUnknownEnd(from, -1, value)
                : Call.write(from, to, -1, value, true, version));
      }
    }
    return out;
  }
}
