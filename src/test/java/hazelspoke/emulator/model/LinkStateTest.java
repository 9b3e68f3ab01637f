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
  void combinesActiveFaultsAndRestoresTheInitialStateInAnyOrderOfRemoval() {
    for (int seed = 0; seed < 200; seed++) {
      LinkState state = new LinkState();
      state.setHostAcceptMode(AcceptMode.OPEN);
      List<Impairment> active =
          new ArrayList<>(
              List.of(
                  Impairment.cut(),
                  Impairment.silence(true, false),
                  Impairment.silence(false, true),
                  Impairment.silence(false, true),
                  Impairment.delay(30),
                  Impairment.delay(30)));
      active.forEach(state::add);
      assertThat(state.delayMs()).isEqualTo(60);
      Collections.shuffle(active, new Random(seed));
      while (!active.isEmpty()) {
        Impairment removed = active.remove(0);
        state.remove(removed);
        state.remove(removed);
        boolean forward = active.stream().anyMatch(t -> blocks(t, true));
        boolean reverse = active.stream().anyMatch(t -> blocks(t, false));
        boolean cut = active.stream().anyMatch(LinkStateTest::refuses);
        assertThat(state.isBlocked(true)).isEqualTo(forward);
        assertThat(state.isBlocked(false)).isEqualTo(reverse);
        assertThat(state.acceptMode())
            .isEqualTo(
                cut
                    ? AcceptMode.REFUSING
                    : forward || reverse ? AcceptMode.SILENT : AcceptMode.OPEN);
      }
      assertThat(state.delayMs()).isZero();
      state.setHostAcceptMode(AcceptMode.SILENT);
      assertThat(state.acceptMode()).isEqualTo(AcceptMode.SILENT);
    }
  }

  private static boolean blocks(Impairment impairment, boolean forward) {
    LinkState single = new LinkState();
    single.add(impairment);
    return single.isBlocked(forward);
  }

  private static boolean refuses(Impairment impairment) {
    LinkState single = new LinkState();
    single.setHostAcceptMode(AcceptMode.OPEN);
    single.add(impairment);
    return single.acceptMode() == AcceptMode.REFUSING;
  }
}
