package hazelspoke.emulator.model;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Detects the overload of a cold host. The host fails once the work that reached it within the span
 * exceeds the multiple of what it can do in that span at its present capacity. Work counts whether
 * it was accepted or rejected.
 */
public final class ColdOverloadDetector {
  /** Tolerance for random variation: two bursts in a row are no overload. */
  private static final double OVERLOAD_TOLERANCE = 1.15;

  private final double multiple;
  private final double spanMs;
  private final Deque<double[]> receivedWork = new ArrayDeque<>();
  private double totalWork;
  private double informedWork;

  public ColdOverloadDetector(double multiple, double spanMs) {
    this.multiple = multiple;
    this.spanMs = spanMs;
  }

  /**
   * Records work that reached the host.
   *
   * @param capacity present capacity, in work per millisecond
   * @param senderInformed whether the gateway that receivedWork it had been informed of the host's
   *     start
   * @return whether the host fails from overload
   */
  public boolean recordWork(double workMs, boolean senderInformed, double capacity, double now) {
    receivedWork.add(new double[] {now, workMs, senderInformed ? workMs : 0});
    totalWork += workMs;
    informedWork += senderInformed ? workMs : 0;
    while (now - receivedWork.peek()[0] > spanMs) {
      double[] old = receivedWork.poll();
      totalWork -= old[1];
      informedWork -= old[2];
    }
    return totalWork > OVERLOAD_TOLERANCE * multiple * capacity * spanMs;
  }

  /** The share of the work within the span that came from gateways informed of the host's start. */
  public double informedShare() {
    return totalWork > 0 ? informedWork / totalWork : 0;
  }
}
