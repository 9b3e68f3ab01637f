package hazelspoke.emulator.judge;

import hazelspoke.emulator.judge.EventLog.Attempt;
import hazelspoke.emulator.judge.EventLog.ClientAttempt;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The effect of a fault on one host, as observed by hosts and clients. Times are in milliseconds,
 * NaN if there is no observation to derive them from.
 *
 * @param affectedRequests requests that were sent to the host during the fault
 * @param served how many of those were served nevertheless
 * @param refused how many of those were refused
 * @param failed how many of those failed
 * @param timeToSkipMs how long the host kept receiving its share of requests: the number of
 *     affected requests divided by its request rate in the 5 s before the fault. This uses the
 *     number of requests rather than the time of the last one, because a stalled process reads all
 *     of them when it resumes
 * @param timeToRestoreMs time from the end of the fault to the next request sent to the host
 */
public record FaultEffect(
    String host,
    int affectedRequests,
    int served,
    int refused,
    int failed,
    double timeToSkipMs,
    double timeToRestoreMs) {
  /** Length of the interval before the fault over which the request rate is measured. */
  private static final double BEFORE_MS = 5_000;

  /** A request read after a stall can appear to have been sent this long before the fault began. */
  private static final double EDGE_MS = 20;

  /** Computes the effect of one fault on one host from the event log. */
  public static FaultEffect of(EventLog eventLog, String host, double from, double to) {
    List<Attempt> at = new ArrayList<>();
    for (ClientAttempt t : eventLog.clientAttempts()) {
      for (Attempt a : eventLog.attempts(t.txn)) {
        if (a.host.equals(host)) {
          at.add(a);
        }
      }
    }
    at.sort(Comparator.comparingDouble(a -> a.earliest));
    int affectedRequests = 0;
    int served = 0;
    int refused = 0;
    int failed = 0;
    int before = 0;
    double timeToRestore = Double.NaN;
    for (Attempt a : at) {
      if (a.earliest < from - EDGE_MS) {
        before += a.earliest >= from - BEFORE_MS ? 1 : 0;
      } else if (a.earliest < to) {
        ClientAttempt t = eventLog.find(a.txn);
        affectedRequests++;
        served += t.served() ? 1 : 0;
        refused += t.refused() ? 1 : 0;
        failed += t.served() || t.refused() ? 0 : 1;
      } else if (Double.isNaN(timeToRestore)) {
        timeToRestore = a.earliest - to;
      }
    }
    double perMs = before / Math.min(BEFORE_MS, Math.max(1, from));
    double timeToSkip = perMs > 0 ? affectedRequests / perMs : Double.NaN;
    return new FaultEffect(
        host,
        affectedRequests,
        served,
        refused,
        failed,
        Math.min(timeToSkip, to - from),
        timeToRestore);
  }
}
