package hazelspoke.node;

import io.netty.util.ResourceLeakDetector;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Collects the leaks that Netty detects, which it would only log otherwise. The build sets this
 * class as the leak detector of all tests, at the level that tracks every buffer (pom.xml).
 */
public final class LeakLedger<T> extends ResourceLeakDetector<T> {
  static final List<String> LEAKS = new CopyOnWriteArrayList<>();

  /** Constructor that Netty calls by reflection; the interval applies to lower levels only. */
  public LeakLedger(Class<?> type, int samplingInterval) {
    super(type, samplingInterval);
  }

  /** Constructor that Netty calls by reflection. */
  public LeakLedger(Class<?> type, int samplingInterval, long maxActive) {
    super(type, samplingInterval);
  }

  @Override
  protected boolean needReport() {
    return true;
  }

  @Override
  protected void reportTracedLeak(String resourceType, String records) {
    LEAKS.add(resourceType + records);
  }

  @Override
  protected void reportUntracedLeak(String resourceType) {
    LEAKS.add(resourceType);
  }
}
