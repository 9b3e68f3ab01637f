package ternscale.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ternscale.api.HostEntry;
import ternscale.api.HostEntry.Availability;
import ternscale.api.MembersUpdate;
import ternscale.api.Outcome.Result;
import ternscale.api.Settings;

/** The hosts, what this gateway learned of each from its own outcomes, and outlier ejection. */
final class HostTable {
  /** How long an outcome counts: a few times the gap between outcomes of a sparse pair. */
  private static final double MEMORY_MS = 10_000;

  /** Evidence of the kind a host starts with, in outcomes: few outcomes say little of a host. */
  private static final double PRIOR_OUTCOMES = 3;

  /** Weight of an outcome in its zone's slowness: single ones differ more; few come from afar. */
  private static final double ZONE_STEP = 0.01;

  private static final double FAR_STEP = 0.1;

  /** How long an erring host is spared requests that cannot be repeated. */
  private static final double ERRING_MS = 5_000;

  /** Shortest ejection; it doubles while the host fails again. */
  private static final double EJECT_MS = 2_000;

  private static final int EJECT_DOUBLINGS = 3;

  /** Never eject more than this part of the listed hosts. */
  private static final double EJECT_SHARE = 0.4;

  /** Unless a zone is silent and others speak: a gateway that is cut off hears its own alone. */
  private static final double SILENT_SHARE = 0.8;

  /** One error is evidence enough where errors are rare: gateways see few outcomes of a host. */
  private static final double EJECT_FAILURES = 0.9;

  /** Errors below this part of the attempts are no reason: the service may err everywhere. */
  private static final double EJECT_RATE = 1.0 / 6;

  /** Rejections in a row: a full host lets some in, a broken one none (incident i4d927b). */
  static final int EJECT_REJECTIONS = 4;

  /** And no more than this part of the hosts for it: in a jam many are full (bc's small fleets). */
  private static final double FULL_SHARE = 0.1;

  /** A time-out may be a long request or a jam; it takes two to eject. */
  private static final double TIMEOUT_EVIDENCE = 0.5;

  /** With short ones out, a host that has said nothing for this part of the aim hangs or pauses. */
  private static final double QUIET_PART = 0.5;

  /** Connections idle for this long are closed: they fill the hosts' tables (incident i59fa1d). */
  private static final double LINGER_MS = 1_000;

  /** Where new ones are priced, for this part of the time after which their host closes them. */
  private static final double PRICED_LINGER_PART = 0.8;

  double lingerMs;
  private final Map<String, Host> byId = new LinkedHashMap<>();
  Host[] all = new Host[0];
  final ColdStart coldStart;
  private double[] classLatency = new double[0];
  private double[] classWork = new double[0];
  private double[] kindSlow = new double[1];
  private double[] kindCount = new double[1];
  private final double[] zoneSlow;
  private final int ownZone;

  /** Whether discovery was heard: starts that are news after that have just come about. */
  private boolean listHeard;

  /** The hosts that are up, in the order of their hashes: the same at every gateway. */
  final List<Host> ring = new ArrayList<>();

  HostTable(Settings settings, ColdStart coldStart) {
    this.coldStart = coldStart;
    zoneSlow = new double[settings.zoneCount()];
    ownZone = settings.zone();
    reload(settings);
  }

  void reload(Settings next) {
    classLatency = Arrays.copyOf(classLatency, next.classes().size());
    classWork = Arrays.copyOf(classWork, next.classes().size());
    double part = next.costs().handshake() > 0 ? PRICED_LINGER_PART : 0;
    lingerMs = Math.max(LINGER_MS, part * next.limits().idleConnectionMs());
  }

  void apply(MembersUpdate update, double now) {
    if (!update.kind().hasEntries()) {
      return;
    }
    Set<String> named = new HashSet<>();
    for (HostEntry e : update.entries()) {
      named.add(e.host());
      Host h = byId.computeIfAbsent(e.host(), Host::new);
      if (h.apply(e)) {
        h.startedAt = coldStart.believedStart(e.startedAt(), listHeard, now);
        coldStart.begin(h, now);
      }
      kindSlow = Arrays.copyOf(kindSlow, Math.max(kindSlow.length, e.hardwareType() + 1));
      kindCount = Arrays.copyOf(kindCount, kindSlow.length);
    }
    listHeard |= update.kind() != MembersUpdate.Kind.CACHED;
    ring.clear();
    for (Host h : byId.values()) {
      if (update.kind() != MembersUpdate.Kind.DELTA && !named.contains(h.id)) {
        h.availability = Availability.REMOVED;
      }
      if (h.availability == Availability.UP) {
        ring.add(h);
      }
    }
    // Hosts come under ever new ids; one that has gone stays only for what is still out on it.
    byId.values().removeIf(h -> h.availability == Availability.REMOVED && h.inFlight == 0);
    all = byId.values().toArray(Host[]::new);
    ring.sort(Comparator.comparingLong((Host h) -> h.hash).thenComparing(h -> h.id));
  }

  /** Whether a host seems to hang: known before its first time-out, over with any answer. */
  boolean isQuiet(Host h, Pending p, double now) {
    double since = Math.max(h.heardAt, h.busySince);
    return h.inFlight > h.longs && now - since > QUIET_PART * p.type.targetLatencyMs();
  }

  /** Learns from one attempt that ended. */
  void learn(Host h, Pending p, Pending.Attempt a, Result result, double elapsedMs, double now) {
    h.age(now, MEMORY_MS);
    if (result == Result.CANCELLED || result == Result.NOT_SENT) {
      return;
    }
    h.attempts++;
    if (result == Result.OK || result == Result.ERROR || result == Result.REJECTED) {
      h.heardAt = now;
    }
    if (result == Result.OK) {
      h.ejections -= h.ejections > 0 && h.failures < EJECT_FAILURES / 3 ? 1 : 0;
      h.rejections = 0;
      learnSpeed(h, p, elapsedMs);
    } else if (result == Result.REJECTED) {
      if (++h.rejections >= EJECT_REJECTIONS) {
        eject(h, FULL_SHARE, now);
      }
    } else {
      double silentMs = Math.max(elapsedMs, QUIET_PART * p.type.targetLatencyMs());
      boolean zone = ring.stream().anyMatch(o -> o.zone == h.zone && now - o.heardAt < silentMs);
      boolean any = ring.stream().anyMatch(o -> now - o.heardAt < EJECT_MS);
      double share = any && !zone ? SILENT_SHARE : EJECT_SHARE;
      h.failures += result == Result.TIMEOUT ? TIMEOUT_EVIDENCE : 1;
      if (result == Result.TIMEOUT
          && h.heardAt <= a.sentAt()
          && !a.isLong()
          && elapsedMs >= p.type.targetLatencyMs()) {
        // Not a word all that time, to nobody: it hangs, and an empty count would draw in more.
        h.ejections = 0;
        eject(h, share, now);
      } else if (h.failures >= EJECT_FAILURES && h.failures > h.attempts * EJECT_RATE) {
        if (result == Result.ERROR) {
          h.erringUntil = now + ERRING_MS;
        } else {
          eject(h, share, now);
        }
      }
    }
  }

  private void learnSpeed(Host h, Pending p, double elapsedMs) {
    int c = p.info.requestClass();
    double work = p.info.costHint();
    if (classLatency[c] == 0) {
      classLatency[c] = elapsedMs;
      classWork[c] = work;
    }
    classLatency[c] += (elapsedMs - classLatency[c]) * 0.02;
    classWork[c] += (work - classWork[c]) * 0.02;
    double relative = classWork[c] > 0 ? 0.5 + 0.5 * work / classWork[c] : 1;
    double slow = Math.log(Math.max(0.05, elapsedMs / (classLatency[c] * relative)));
    kindCount[h.kind] = kindCount[h.kind] * 0.995 + 1;
    kindSlow[h.kind] += (slow - kindSlow[h.kind]) / kindCount[h.kind];
    h.slowSum += slow - kindSlow[h.kind];
    double step = h.zone == ownZone ? ZONE_STEP : FAR_STEP;
    zoneSlow[h.zone] += (slow - kindSlow[h.kind] - zoneSlow[h.zone]) * step;
    h.slowCount++;
  }

  /** Log of how much slower the hosts of a zone answer than the fastest zone's, kinds set apart. */
  double zoneGap(int zone) {
    return zoneSlow[zone] - Arrays.stream(zoneSlow).min().orElse(0);
  }

  /** Log of how much slower than the mean this host seems: its kind's, bent by its own outcomes. */
  double slowness(Host h) {
    return kindSlow[h.kind] + h.slowSum / (h.slowCount + PRIOR_OUTCOMES);
  }

  private void eject(Host h, double share, double now) {
    long ejected = ring.stream().filter(other -> other.ejectedUntil > now).count();
    if (ejected < share * ring.size()) {
      h.ejectedUntil = now + EJECT_MS * (1 << Math.min(h.ejections, EJECT_DOUBLINGS));
      h.ejections = Math.min(h.ejections + 2, EJECT_DOUBLINGS);
      // Half-open: on return one more failure is enough, or the scan would send it a burst.
      h.failures = EJECT_FAILURES / 2;
    }
  }
}
