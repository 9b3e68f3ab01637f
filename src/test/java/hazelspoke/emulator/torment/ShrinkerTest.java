package hazelspoke.emulator.torment;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class ShrinkerTest {
  @Property(seed = "1")
  void findsExactlyTheNecessaryCauses(
      @ForAll @IntRange(min = 1, max = 40) int count,
      @ForAll @Size(min = 1, max = 5) Set<@IntRange(min = 0, max = 39) Integer> wanted)
      throws Exception {
    List<Integer> all = IntStream.range(0, count).boxed().toList();
    Set<Integer> needed = new HashSet<>(wanted);
    needed.removeIf(n -> n >= count);
    if (needed.isEmpty()) {
      needed.add(0);
    }
    Shrinker.Found<Integer> found =
        new Shrinker<Integer>(causes -> causes.containsAll(needed), 10_000).shrink(all);
    assertThat(found.causes()).containsExactlyElementsOf(needed.stream().sorted().toList());
    assertThat(found.minimal()).isTrue();
  }

  /** Covers failures with several independent causes and failures that depend on a count. */
  @Property(seed = "2")
  void foundCausesFailAndAreMinimalForAnyTrial(
      @ForAll @IntRange(min = 1, max = 24) int count, @ForAll @IntRange(min = 1, max = 6) int mod)
      throws Exception {
    List<Integer> all = IntStream.range(0, count).boxed().toList();
    Shrinker.Trial<Integer> trial =
        causes -> causes.size() == count || (causes.size() % mod == 0 && causes.contains(0));
    Shrinker.Found<Integer> found = new Shrinker<>(trial, 10_000).shrink(all);
    assertThat(trial.fails(found.causes())).isTrue();
    for (int i = 0; i < found.causes().size() && found.causes().size() > 1; i++) {
      List<Integer> less = new ArrayList<>(found.causes());
      less.remove(i);
      assertThat(trial.fails(less)).as("without %s", found.causes().get(i)).isFalse();
    }
  }

  @Test
  void respectsTrialLimitAndReturnsFailingCauses() throws Exception {
    List<Integer> all = IntStream.range(0, 64).boxed().toList();
    for (int maxTries = 0; maxTries < 40; maxTries++) {
      int[] tries = new int[1];
      Shrinker.Trial<Integer> trial =
          causes -> {
            tries[0]++;
            return causes.containsAll(List.of(3, 40));
          };
      Shrinker.Found<Integer> found = new Shrinker<>(trial, maxTries).shrink(all);
      assertThat(tries[0]).isLessThanOrEqualTo(maxTries);
      assertThat(found.causes()).contains(3, 40);
      assertThat(found.minimal()).isEqualTo(found.causes().size() == 2);
    }
  }
}
