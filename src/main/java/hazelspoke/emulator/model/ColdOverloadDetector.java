package hazelspoke.emulator.model;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Watches what is sent to a cold host. It falls over once the work that reached it within the span
 * is more than the multiple of what it can do in such a span at its present capacity. Work counts
 * whether it was taken in or turned away.
 */
public final class ColdOverloadDetector {
  /** Chance is let pass: two bursts in a row are no push. */
  private static final double SLACK = 1.15;

  private final double multiple;
  private final double spanMs;
  private final Deque<double[]> sent = new ArrayDeque<>();
  private double sum;
  private double told;

  public ColdOverloadDetector(double multiple, double spanMs) {
    this.multiple = multiple;
    this.spanMs = spanMs;
  }

  /**
   * Notes work that reached the host.
   *
   * @param capacity what it can do now, in work a millisecond
   * @param knew whether the gateway that sent it had been told of the start
   * @return whether the host falls over
   */
  public boolean recordWork(double workMs, boolean knew, double capacity, double now) {
    sent.add(new double[] {now, workMs, knew ? workMs : 0});
    sum += workMs;
    told += knew ? workMs : 0;
    while (now - sent.peek()[0] > spanMs) {
      double[] old = sent.poll();
      sum -= old[1];
      told -= old[2];
    }
    return sum > SLACK * multiple * capacity * spanMs;
  }

  /** The share of what counts now that came from gateways that knew. */
  public double informedShare() {
    return sum > 0 ? told / sum : 0;
  }
}
