package hazelspoke.emulator.judge;

import hazelspoke.emulator.judge.Ledger.Attempt;
import hazelspoke.emulator.judge.Ledger.Try;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What a fault of one host did, as hosts and clients saw it. Times are in milliseconds, NaN where
 * there is nothing to tell them by.
 *
 * @param caught requests that were sent to the host while it was at fault
 * @param served how many of those were served all the same
 * @param refused how many were refused
 * @param failed how many failed
 * @param passedOverMs how long the host went on getting its share: the number of requests caught,
 *     at its rate in the 5 s before. By number and not by the last one's time, as a process that
 *     stands still reads all of them at its end
 * @param takenBackMs from the end of the fault to the next request sent there
 */
public record Effect(
    String host,
    int caught,
    int served,
    int refused,
    int failed,
    double passedOverMs,
    double takenBackMs) {
  /** The rate before the fault is read off this long. */
  private static final double BEFORE_MS = 5_000;

  /**
   * What was read after a standstill may have been sent this long before the start, as it seems.
   */
  private static final double EDGE_MS = 20;

  /** Reads the ledger for one host and one fault. */
  public static Effect of(Ledger ledger, String host, double from, double to) {
    List<Attempt> at = new ArrayList<>();
    for (Try t : ledger.tries()) {
      for (Attempt a : ledger.attempts(t.txn)) {
        if (a.host.equals(host)) {
          at.add(a);
        }
      }
    }
    at.sort(Comparator.comparingDouble(a -> a.earliest));
    int caught = 0;
    int served = 0;
    int refused = 0;
    int failed = 0;
    int before = 0;
    double takenBack = Double.NaN;
    for (Attempt a : at) {
      if (a.earliest < from - EDGE_MS) {
        before += a.earliest >= from - BEFORE_MS ? 1 : 0;
      } else if (a.earliest < to) {
        Try t = ledger.find(a.txn);
        caught++;
        served += t.served() ? 1 : 0;
        refused += t.refused() ? 1 : 0;
        failed += t.served() || t.refused() ? 0 : 1;
      } else if (Double.isNaN(takenBack)) {
        takenBack = a.earliest - to;
      }
    }
    double perMs = before / Math.min(BEFORE_MS, Math.max(1, from));
    double passedOver = perMs > 0 ? caught / perMs : Double.NaN;
    return new Effect(
        host, caught, served, refused, failed, Math.min(passedOver, to - from), takenBack);
  }
}
