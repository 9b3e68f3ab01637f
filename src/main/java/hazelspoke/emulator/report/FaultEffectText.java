package hazelspoke.emulator.report;

import hazelspoke.emulator.judge.FaultEffect;
import java.util.List;
import java.util.Locale;

/** Formats the effects of a fault as text. */
final class FaultEffectText {
  private static final double MS = 1_000;
  private static final int MAX_LISTED_HOSTS = 4;

  private FaultEffectText() {}

  /** Lists each host, or only the sums if there are many hosts. */
  static String of(List<FaultEffect> effects) {
    if (effects.isEmpty()) {
      return "";
    }
    StringBuilder out = new StringBuilder();
    if (effects.size() <= MAX_LISTED_HOSTS) {
      for (FaultEffect e : effects) {
        out.append(out.isEmpty() ? "" : "; ").append(e.host()).append(' ');
        out.append(
            String.format(
                Locale.ROOT,
                "caught %d requests (%d served all the same, %d refused, %d failed), passed over"
                    + " after %s, taken back after %s",
                e.affectedRequests(),
                e.served(),
                e.refused(),
                e.failed(),
                seconds(e.timeToSkipMs()),
                seconds(e.timeToRestoreMs())));
      }
      return out.toString();
    }
    return String.format(
        Locale.ROOT,
        "%d hosts caught %d requests (%d served all the same, %d refused, %d failed)",
        effects.size(),
        effects.stream().mapToInt(FaultEffect::affectedRequests).sum(),
        effects.stream().mapToInt(FaultEffect::served).sum(),
        effects.stream().mapToInt(FaultEffect::refused).sum(),
        effects.stream().mapToInt(FaultEffect::failed).sum());
  }

  static String seconds(double ms) {
    return Double.isNaN(ms) ? "-" : String.format(Locale.ROOT, "%.2f s", ms / MS);
  }
}
