package ternscale.policy;

import ternscale.api.HostEntry;
import ternscale.api.HostEntry.Availability;

/** One host as this gateway alone knows it: what is listed, held of ours, and learned. */
final class Host {
  final String id;
  int zone;
  int cell;
  int kind;
  double weight = 1;

  /** When it started, as this gateway goes by it: see {@link ColdStart#believedStart}. */
  double startedAt;

  /** The same as it is listed, by the clock of whoever wrote the list. */
  private double listedStart;

  Availability availability = Availability.REMOVED;

  /** Own requests in flight: the count that LC* compares. */
  int inFlight;

  /** Own long requests in flight: the flag of LC*, as a count. */
  int longs;

  /** When it last answered anything, and since when something is out; see {@link HostTable}. */
  double heardAt;

  double busySince;

  /** Outlier ejection: sent nothing before this time. */
  double ejectedUntil;

  /** Answers errors: still good for what may be repeated; ejecting it would lose capacity. */
  double erringUntil;

  int ejections;

  /** Rejections since it last served one of ours. */
  int rejections;

  /** Decayed evidence: failures, and attempts that ended at all. */
  double failures;

  double attempts;

  /** Decayed sum and count of log slowness against the mean of its kind. */
  double slowSum;

  double slowCount;
  double learnedAt;

  /** When a request last went out or came back, while connections may be open; else 0. */
  double connectedAt;

  /** Slow start: work this gateway may still send to the cold host; see {@link ColdStart}. */
  double coldLevel;

  double coldLevelAt;

  /** Selection: see {@link Selector}. */
  final long hash;

  double drawWeight = 1;
  boolean inSubset;

  Host(String id) {
    this.id = id;
    hash = Selector.mix(0x9e3779b97f4a7c15L ^ Selector.mix(id.hashCode()));
  }

  /** Takes over the listed facts; a new start time means a new process that we know nothing of. */
  boolean apply(HostEntry e) {
    boolean restarted = e.startedAt() != listedStart && e.availability() != Availability.REMOVED;
    zone = e.zone();
    cell = e.cell();
    kind = e.hardwareType();
    weight = e.weight() > 0 ? e.weight() : 1;
    availability = e.availability();
    listedStart = e.startedAt();
    if (restarted) {
      startedAt = listedStart;
      forget();
    }
    return restarted;
  }

  private void forget() {
    ejectedUntil = 0;
    erringUntil = 0;
    ejections = 0;
    rejections = 0;
    failures = 0;
    attempts = 0;
    slowSum = 0;
    slowCount = 0;
  }

  /** Ages what was learned, so that old evidence stops counting. */
  void age(double now, double memoryMs) {
    double keep = Math.exp((learnedAt - now) / memoryMs);
    learnedAt = now;
    failures *= keep;
    attempts *= keep;
    slowSum *= keep;
    slowCount *= keep;
  }
}
