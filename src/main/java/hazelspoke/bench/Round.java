package hazelspoke.bench;

import java.util.Locale;

/** Results of one round of the gateway or the relay. CPU time and bytes are per request. */
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
  static Round of(LoadGenerator.Result result, double cpuS, GcLog.Summary gc) {
    long requests = Math.max(1, result.timesUs().getTotalCount());
    return new Round(
        requests,
        result.failed(),
        requests / result.seconds(),
        cpuS * 1e6 / requests,
        result.timesUs().getValueAtPercentile(50),
        result.timesUs().getValueAtPercentile(99),
        gc.collections(),
        gc.full(),
        gc.longestMs(),
        gc.allocatedBytes() / requests);
  }

  String summary() {
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
