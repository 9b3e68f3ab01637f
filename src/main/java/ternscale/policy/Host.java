package ternscale.policy;

import ternscale.api.HostEntry;
import ternscale.api.HostEntry.Availability;

/** One host as seen by this gateway: its list entry, requests in flight and learned statistics. */
final class Host {
  final String id;
  int zone;
  int cell;
  int hardwareType;
  double weight = 1;

  /** Start time in use, which may differ from the listed one: {@link ColdStart#effectiveStart}. */
  double startedAt;

  /** Start time as listed, by the clock of the list's writer. */
  private double listedStartedAt;

  Availability availability = Availability.GONE;

  /** This gateway's requests in flight: the count that LC* compares. */
  int inFlight;

  /** This gateway's long requests in flight: the LC* flag, kept as a count. */
  int longInFlight;

  /** Time of its last response; with {@link #busySince}, shows when it is unresponsive. */
  double lastResponseAt;

  /** Start of the current period with requests in flight. */
  double busySince;

  /** Outlier ejection: receives no requests before this time. */
  double ejectedUntil;

  /**
   * Returns errors until this time: it receives only repeatable requests, as ejecting it would lose
   * capacity.
   */
  double erringUntil;

  int ejections;

  /** Rejections since it last served a request of this gateway. */
  int rejections;

  /** Decayed counts of failures and of all finished attempts. */
  double failures;

  double attempts;

  /** Decayed sum and count of log slowness relative to the mean of its hardware type. */
  double logSlownessSum;

  double slownessCount;
  double decayedAt;

  /** When a request was last sent or finished, while connections may be open; 0 otherwise. */
  double lastUsedAt;

  /** Slow start: work that this gateway may still send to the cold host; {@link ColdStart}. */
  double coldCredit;

  double coldCreditAt;

  /** Position in the ring of hosts; see {@link Selector}. */
  final long hash;

  double drawWeight = 1;
  boolean inSubset;

  Host(String id) {
    this.id = id;
    hash = Selector.mix(0x9e3779b97f4a7c15L ^ Selector.mix(id.hashCode()));
  }

  /**
   * Applies a list entry. A new start time means a new process, so learned statistics are reset.
   *
   * @return whether the host has restarted
   */
  boolean apply(HostEntry entry) {
    boolean restarted =
        entry.startedAt() != listedStartedAt && entry.availability() != Availability.GONE;
    zone = entry.zone();
    cell = entry.cell();
    hardwareType = entry.hardwareType();
    weight = entry.weight() > 0 ? entry.weight() : 1;
    availability = entry.availability();
    listedStartedAt = entry.startedAt();
    if (restarted) {
      startedAt = listedStartedAt;
      resetLearned();
    }
    return restarted;
  }

  private void resetLearned() {
    ejectedUntil = 0;
    erringUntil = 0;
    ejections = 0;
    rejections = 0;
    failures = 0;
    attempts = 0;
    logSlownessSum = 0;
    slownessCount = 0;
  }

  /** Decays the learned statistics, so that old outcomes lose weight. */
  void decay(double now, double memoryMs) {
    double decayFactor = Math.exp((decayedAt - now) / memoryMs);
    decayedAt = now;
    failures *= decayFactor;
    attempts *= decayFactor;
    logSlownessSum *= decayFactor;
    slownessCount *= decayFactor;
  }
}
