package hazelspoke.bench;

import java.util.Locale;

/**
 * What one round of one of the two cost. Times are in microseconds, but for a pause of the
 * collector's in milliseconds.
 */
record Round(
    long requests,
    long failed,
    double perSecond,
    double cpuUs,
    double p50Us,
    double p99Us,
    int collections,
    int fullCollections,
    double longestPauseMs,
    double allocatedBytes) {
  static Round of(Load.Seen seen, double cpuS, GcLog.Part gc) {
    long requests = Math.max(1, seen.timesUs().getTotalCount());
    return new Round(
        requests,
        seen.failed(),
        requests / seen.seconds(),
        cpuS * 1e6 / requests,
        seen.timesUs().getValueAtPercentile(50),
        seen.timesUs().getValueAtPercentile(99),
        gc.collections(),
        gc.full(),
        gc.longestMs(),
        gc.allocatedBytes() / requests);
  }

  String words() {
    return String.format(
        Locale.ROOT,
        "%.1f us a request, %.0f/s, p50 %.2f ms, p99 %.2f ms, %d failed",
        cpuUs,
        perSecond,
        p50Us / 1e3,
        p99Us / 1e3,
        failed);
  }
}
