package hazelspoke.emulator.model;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The idempotency keys that the hosts of a group have run within the window: a repeat has no second
 * effect there. Bounded; the oldest go first.
 */
public final class IdempotencyWindow {
  private static final int MOST = 200_000;

  private final double windowMs;
  private final Map<String, Double> ranAt = new LinkedHashMap<>();

  public IdempotencyWindow(double windowMs) {
    this.windowMs = windowMs;
  }

  /** Notes a run; returns false where the key has run within the window: this one has no effect. */
  public boolean recordIfFirst(String key, double now) {
    Iterator<Double> oldest = ranAt.values().iterator();
    while (oldest.hasNext()) {
      if (now - oldest.next() <= windowMs && ranAt.size() <= MOST) {
        break;
      }
      oldest.remove();
    }
    return ranAt.putIfAbsent(key, now) == null;
  }
}
