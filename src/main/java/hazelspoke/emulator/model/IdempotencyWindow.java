package hazelspoke.emulator.model;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The idempotency keys that the hosts of a group have executed within the window: a duplicate has
 * no second effect there. Bounded; the oldest keys are evicted first.
 */
public final class IdempotencyWindow {
  private static final int MAX_KEYS = 200_000;

  private final double windowMs;
  private final Map<String, Double> executedAtMs = new LinkedHashMap<>();

  public IdempotencyWindow(double windowMs) {
    this.windowMs = windowMs;
  }

  /**
   * Records an execution; returns false if the key was executed within the window, so that this
   * execution has no effect.
   */
  public boolean recordIfFirst(String key, double now) {
    Iterator<Double> oldest = executedAtMs.values().iterator();
    while (oldest.hasNext()) {
      if (now - oldest.next() <= windowMs && executedAtMs.size() <= MAX_KEYS) {
        break;
      }
      oldest.remove();
    }
    return executedAtMs.putIfAbsent(key, now) == null;
  }
}
