package ternscale.policy;

import java.util.List;
import java.util.Random;
import ternscale.api.Settings.Rules;

/**
 * Slow start. Each gateway limits what it sends to a cold host to the rate it observes per warm
 * host, times the share of its capacity that the cold host is certain to have. The sum over all
 * gateways then stays near the load of a warm host, scaled down, which is below the permitted
 * multiple.
 */
final class ColdStart {
  /**
   * Time constant of this gateway's served rate: long compared with a request, short compared with
   * changes in traffic.
   */
  private static final double RATE_MEMORY_MS = 8_000;

  /** Time constant of the peak rate: as long as a deployment may last. */
  private static final double PEAK_MEMORY_MS = 60_000;

  /** The rate is sampled only while at least this share of the hosts is warm. */
  private static final double MIN_WARM_SHARE = 0.5;

  /** Fraction of the permitted multiple: covers slow hosts, uneven gateway shares and bursts. */
  private static final double MULTIPLE_FRACTION = 0.35;

  /** Maximum unused credit, in mean requests; small, as all gateways accumulate it at once. */
  private static final double MAX_CREDIT_REQUESTS = 0.25;

  private final Rules rules;
  private final Random random;
  private final double startedAt;
  private double servedWorkPerHost;
  private double meanWork;
  private double peakRate;
  private double peakUpdatedAt;
  private int listedCount;
  private int warmCount;

  /** Time from which no listed host is cold. */
  double coldUntil;

  private double decayedAt;

  ColdStart(Rules rules, Random random, double now) {
    this.rules = rules;
    this.random = random;
    this.startedAt = now;
    this.decayedAt = now;
    this.peakUpdatedAt = now;
  }

  boolean isCold(Host h, double now) {
    return h.startedAt > 0 && now - h.startedAt < rules.slowStartMs();
  }

  /**
   * The start time to use for a host whose listed start time is new. The clock of the list may be
   * off by any amount: a start in the future counts as now, and so does a start that is reported as
   * a change but appears to lie a whole slow start or more in the past.
   */
  double effectiveStart(double listed, boolean isChange, double now) {
    boolean isWarm = listed > 0 && now - listed >= rules.slowStartMs();
    return listed > now || (isChange && isWarm) ? now : listed;
  }

  /** The share of its capacity that the host certainly has: grows linearly from its start. */
  private double capacityShare(Host h, double now) {
    double elapsedShare = Math.max(0, now - h.startedAt) / rules.slowStartMs();
    return Math.min(
        1, rules.initialCapacityShare() + (1 - rules.initialCapacityShare()) * elapsedShare);
  }

  /** Starts at a random debt: full credit at all gateways at once would overload the host. */
  void startBudget(Host h, double now) {
    h.coldCredit = -random.nextDouble() * meanWork();
    h.coldCreditAt = now;
  }

  /** Rule 4 (no overload of a cold host): whether this gateway has credit for the host. */
  boolean admits(Host h, double now) {
    if (!isCold(h, now)) {
      return true;
    }
    double rate =
        MULTIPLE_FRACTION * rules.overloadMultiple() * capacityShare(h, now) * peakRatePerHost(now);
    h.coldCredit =
        Math.min(MAX_CREDIT_REQUESTS * meanWork(), h.coldCredit + rate * (now - h.coldCreditAt));
    h.coldCreditAt = now;
    return h.coldCredit >= 0;
  }

  /** Records work that a host completed: the basis for the rate that a warm host can serve. */
  void onServed(Host h, double work, double now) {
    decay(now);
    meanWork += (work - meanWork) * (meanWork == 0 ? 1 : 0.02);
    if (!isCold(h, now)) {
      // Divides by the current number of hosts. Dividing later, after most of a fleet had been
      // removed, attributed the fleet's load to the last few hosts, and the returning fleet was
      // overloaded (incident L45fba6).
      servedWorkPerHost += work / Math.max(1, warmCount);
    }
  }

  void onSend(Host h, double work, double now) {
    if (isCold(h, now)) {
      h.coldCredit -= Math.max(work, meanWork());
    }
  }

  /**
   * The rate at which this gateway loads a warm host: a decaying peak, as the current rate drops
   * during a deployment.
   */
  private double peakRatePerHost(double now) {
    double decayFactor = Math.exp((peakUpdatedAt - now) / PEAK_MEMORY_MS);
    peakUpdatedAt = now;
    peakRate *= decayFactor;
    if (warmCount >= MIN_WARM_SHARE * listedCount) {
      decay(now);
      double observedMs = RATE_MEMORY_MS * (1 - Math.exp((startedAt - now) / RATE_MEMORY_MS));
      peakRate = Math.max(peakRate, servedWorkPerHost / Math.max(observedMs, RATE_MEMORY_MS / 2));
    }
    return peakRate;
  }

  /** Updates the number of listed hosts, and of warm ones among them. */
  void updateHostCounts(List<Host> up, double now) {
    listedCount = up.size();
    warmCount = (int) up.stream().filter(h -> !isCold(h, now)).count();
    coldUntil = up.stream().mapToDouble(h -> h.startedAt).max().orElse(0) + rules.slowStartMs() + 1;
    peakRatePerHost(now);
  }

  double meanWork() {
    return meanWork > 0 ? meanWork : 1;
  }

  private void decay(double now) {
    double decayFactor = Math.exp((decayedAt - now) / RATE_MEMORY_MS);
    servedWorkPerHost *= decayFactor;
    decayedAt = now;
  }
}
