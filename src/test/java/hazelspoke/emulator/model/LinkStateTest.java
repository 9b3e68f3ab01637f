package hazelspoke.emulator.model;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.emulator.model.LinkState.Door;
import hazelspoke.emulator.model.LinkState.Trouble;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class LinkStateTest {
  @Test
  void theWorstHoldsAndWhateverTheOrderOfEndsAllIsAsBefore() {
    for (int seed = 0; seed < 200; seed++) {
      LinkState state = new LinkState();
      state.host(Door.OPEN);
      List<Trouble> on =
          new ArrayList<>(
              List.of(
                  Trouble.cut(),
                  Trouble.silence(true, false),
                  Trouble.silence(false, true),
                  Trouble.silence(false, true),
                  Trouble.delay(30),
                  Trouble.delay(30)));
      on.forEach(state::add);
      assertThat(state.delayMs()).isEqualTo(60);
      Collections.shuffle(on, new Random(seed));
      while (!on.isEmpty()) {
        Trouble over = on.remove(0);
        state.remove(over);
        state.remove(over);
        boolean there = on.stream().anyMatch(t -> holds(t, true));
        boolean back = on.stream().anyMatch(t -> holds(t, false));
        boolean cut = on.stream().anyMatch(LinkStateTest::refuses);
        assertThat(state.holds(true)).isEqualTo(there);
        assertThat(state.holds(false)).isEqualTo(back);
        assertThat(state.door())
            .isEqualTo(cut ? Door.REFUSING : there || back ? Door.SILENT : Door.OPEN);
      }
      assertThat(state.delayMs()).isZero();
      state.host(Door.SILENT);
      assertThat(state.door()).isEqualTo(Door.SILENT);
    }
  }

  private static boolean holds(Trouble trouble, boolean there) {
    LinkState alone = new LinkState();
    alone.add(trouble);
    return alone.holds(there);
  }

  private static boolean refuses(Trouble trouble) {
    LinkState alone = new LinkState();
    alone.host(Door.OPEN);
    alone.add(trouble);
    return alone.door() == Door.REFUSING;
  }
}
