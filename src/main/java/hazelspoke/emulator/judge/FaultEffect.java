package hazelspoke.emulator.judge;

import hazelspoke.emulator.judge.EventLog.Attempt;
import hazelspoke.emulator.judge.EventLog.ClientAttempt;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What a fault of one host did, as hosts and clients saw it. Times are in milliseconds, NaN where
 * there is nothing to tell them by.
 *
 * @param affectedRequests requests that were sent to the host while it was at fault
 * @param served how many of those were served all the same
 * @param refused how many were refused
 * @param failed how many failed
 * @param timeToSkipMs how long the host went on getting its share: the number of requests caught,
 *     at its rate in the 5 s before. By number and not by the last one's time, as a process that
 *     stands still reads all of them at its end
 * @param timeToRestoreMs from the end of the fault to the next request sent there
 */
public record FaultEffect(
    String host,
    int affectedRequests,
    int served,
    int refused,
    int failed,
    double timeToSkipMs,
    double timeToRestoreMs) {
  /** The rate before the fault is read off this long. */
  private static final double BEFORE_MS = 5_000;

  /**
   * What was read after a standstill may have been sent this long before the start, as it seems.
   */
  private static final double EDGE_MS = 20;

  /** Reads the ledger for one host and one fault. */
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
