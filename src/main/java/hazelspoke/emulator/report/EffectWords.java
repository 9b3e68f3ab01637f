package hazelspoke.emulator.report;

import hazelspoke.emulator.judge.Effect;
import java.util.List;
import java.util.Locale;

/** What a fault did, in a few words. */
final class EffectWords {
  private static final double MS = 1_000;
  private static final int MOST = 4;

  private EffectWords() {}

  /** All hosts together where they are many. */
  static String of(List<Effect> effects) {
    if (effects.isEmpty()) {
      return "";
    }
    StringBuilder out = new StringBuilder();
    if (effects.size() <= MOST) {
      for (Effect e : effects) {
        out.append(out.isEmpty() ? "" : "; ").append(e.host()).append(' ');
        out.append(
            String.format(
                Locale.ROOT,
                "caught %d requests (%d served all the same, %d refused, %d failed), passed over"
                    + " after %s, taken back after %s",
                e.caught(),
                e.served(),
                e.refused(),
                e.failed(),
                seconds(e.passedOverMs()),
                seconds(e.takenBackMs())));
      }
      return out.toString();
    }
    return String.format(
        Locale.ROOT,
        "%d hosts caught %d requests (%d served all the same, %d refused, %d failed)",
        effects.size(),
        effects.stream().mapToInt(Effect::caught).sum(),
        effects.stream().mapToInt(Effect::served).sum(),
        effects.stream().mapToInt(Effect::refused).sum(),
        effects.stream().mapToInt(Effect::failed).sum());
  }

  static String seconds(double ms) {
    return Double.isNaN(ms) ? "-" : String.format(Locale.ROOT, "%.2f s", ms / MS);
  }
}
