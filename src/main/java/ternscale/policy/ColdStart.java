package ternscale.policy;

import java.util.List;
import java.util.Random;
import ternscale.api.Settings.Rules;

/**
 * Slow start. Every gateway keeps its own part of a cold host's budget: what it sees a host serve,
 * times the share of its capacity a host is sure to have by now. The sum over the gateways then
 * stays near the load of a warm host, scaled down, which is below the permitted multiple.
 */
final class ColdStart {
  /** Memory of the own served rate: long against a request, short against a change of traffic. */
  private static final double RATE_MEMORY_MS = 8_000;

  /** Memory of the peak: as long as a deploy may last. */
  private static final double PEAK_MEMORY_MS = 60_000;

  /** The rate is read off only while at least this part of the hosts is warm. */
  private static final double WARM_SHARE = 0.5;

  /** Part of the multiple used: hosts may be slow, gateways' parts uneven, and bursts come. */
  private static final double PART_OF_MULTIPLE = 0.35;

  /** Credit that may be saved up, in mean requests; little, as all gateways save at once. */
  private static final double BURST = 0.25;

  private final Rules rules;
  private final Random random;
  private final double startedAt;
  private double workPerHost;
  private double meanWork;
  private double peak;
  private double peakAt;
  private int listed;
  private int warm;

  /** From when on no host that is up is cold. */
  double coldUntil;

  private double at;

  ColdStart(Rules rules, Random random, double now) {
    this.rules = rules;
    this.random = random;
    this.startedAt = now;
    this.at = now;
    this.peakAt = now;
  }

  boolean isCold(Host h, double now) {
    return h.startedAt > 0 && now - h.startedAt < rules.slowStartMs();
  }

  /**
   * When a host is taken to have started whose start is news. Clocks may differ by any amount: one
   * that would start only in the future has started by now, and a start that is told as a change
   * was not over before it was told, however long ago it is said to be.
   */
  double believedStart(double listed, boolean isChange, double now) {
    boolean past = listed > 0 && now - listed >= rules.slowStartMs();
    return listed > now || (isChange && past) ? now : listed;
  }

  /** The share of its capacity the host has for sure: grown evenly from its stated start. */
  private double warmth(Host h, double now) {
    double grown = Math.max(0, now - h.startedAt) / rules.slowStartMs();
    return Math.min(1, rules.initialCapacityShare() + (1 - rules.initialCapacityShare()) * grown);
  }

  /** Starts a budget at random: full credit at all gateways would push the host over at once. */
  void begin(Host h, double now) {
    h.coldLevel = -random.nextDouble() * meanWork();
    h.coldLevelAt = now;
  }

  /** Rule 4: whether this gateway's part of the budget has room now. */
  boolean admits(Host h, double now) {
    if (!isCold(h, now)) {
      return true;
    }
    double rate = PART_OF_MULTIPLE * rules.overloadMultiple() * warmth(h, now) * bornePerHost(now);
    h.coldLevel = Math.min(BURST * meanWork(), h.coldLevel + rate * (now - h.coldLevelAt));
    h.coldLevelAt = now;
    return h.coldLevel >= 0;
  }

  /** Notes work that a host did in time: what hosts are seen to bear. */
  void onServed(Host h, double work, double now) {
    age(now);
    meanWork += (work - meanWork) * (meanWork == 0 ? 1 : 0.02);
    if (!isCold(h, now)) {
      // Over the hosts of this moment: with those left of a fleet since gone, a few last hosts
      // seemed to bear what all had borne, and its return was pushed over (incident L45fba6).
      workPerHost += work / Math.max(1, warm);
    }
  }

  void onSend(Host h, double work, double now) {
    if (isCold(h, now)) {
      h.coldLevel -= Math.max(work, meanWork());
    }
  }

  /** What a warm host bears from here: a fading peak, as a deploy cuts the rate of the moment. */
  private double bornePerHost(double now) {
    double keep = Math.exp((peakAt - now) / PEAK_MEMORY_MS);
    peakAt = now;
    peak *= keep;
    if (warm >= WARM_SHARE * listed) {
      age(now);
      double seen = RATE_MEMORY_MS * (1 - Math.exp((startedAt - now) / RATE_MEMORY_MS));
      peak = Math.max(peak, workPerHost / Math.max(seen, RATE_MEMORY_MS / 2));
    }
    return peak;
  }

  /** Counts the hosts that are up and those of them that are warm. */
  void census(List<Host> up, double now) {
    listed = up.size();
    warm = (int) up.stream().filter(h -> !isCold(h, now)).count();
    coldUntil = up.stream().mapToDouble(h -> h.startedAt).max().orElse(0) + rules.slowStartMs() + 1;
    bornePerHost(now);
  }

  double meanWork() {
    return meanWork > 0 ? meanWork : 1;
  }

  private void age(double now) {
    double keep = Math.exp((at - now) / RATE_MEMORY_MS);
    workPerHost *= keep;
    at = now;
  }
}
