package hazelspoke.node;

import io.netty.util.ResourceLeakDetector;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Keeps what Netty finds to have leaked, where it would only log it. The build names this class as
 * the detector of all tests, at the level that watches every buffer (pom.xml).
 */
public final class LeakLedger<T> extends ResourceLeakDetector<T> {
  static final List<String> LEAKS = new CopyOnWriteArrayList<>();

  /** What Netty looks for; the interval is that of a lower level. */
  public LeakLedger(Class<?> type, int samplingInterval) {
    super(type, samplingInterval);
  }

  /** As above. */
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
