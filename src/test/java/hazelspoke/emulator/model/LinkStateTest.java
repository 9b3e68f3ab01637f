package hazelspoke.emulator.model;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.emulator.model.LinkState.AcceptMode;
import hazelspoke.emulator.model.LinkState.Impairment;
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
      state.setHostAcceptMode(AcceptMode.OPEN);
      List<Impairment> on =
          new ArrayList<>(
              List.of(
                  Impairment.cut(),
                  Impairment.silence(true, false),
                  Impairment.silence(false, true),
                  Impairment.silence(false, true),
                  Impairment.delay(30),
                  Impairment.delay(30)));
      on.forEach(state::add);
      assertThat(state.delayMs()).isEqualTo(60);
      Collections.shuffle(on, new Random(seed));
      while (!on.isEmpty()) {
        Impairment over = on.remove(0);
        state.remove(over);
        state.remove(over);
        boolean there = on.stream().anyMatch(t -> holds(t, true));
        boolean back = on.stream().anyMatch(t -> holds(t, false));
        boolean cut = on.stream().anyMatch(LinkStateTest::refuses);
        assertThat(state.isBlocked(true)).isEqualTo(there);
        assertThat(state.isBlocked(false)).isEqualTo(back);
        assertThat(state.acceptMode())
            .isEqualTo(
                cut ? AcceptMode.REFUSING : there || back ? AcceptMode.SILENT : AcceptMode.OPEN);
      }
      assertThat(state.delayMs()).isZero();
      state.setHostAcceptMode(AcceptMode.SILENT);
      assertThat(state.acceptMode()).isEqualTo(AcceptMode.SILENT);
    }
  }

  private static boolean holds(Impairment trouble, boolean there) {
    LinkState alone = new LinkState();
    alone.add(trouble);
    return alone.isBlocked(there);
  }

  private static boolean refuses(Impairment trouble) {
    LinkState alone = new LinkState();
    alone.setHostAcceptMode(AcceptMode.OPEN);
    alone.add(trouble);
    return alone.acceptMode() == AcceptMode.REFUSING;
  }
}
