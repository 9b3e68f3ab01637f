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

/** The hosts, the statistics learned from this gateway's outcomes, and outlier ejection. */
final class HostTable {
  /** Time constant of outcomes: a few times their interval at a host with little traffic. */
  private static final double MEMORY_MS = 10_000;

  /** Weight of the hardware type's mean in a host's slowness, in outcomes of that host. */
  private static final double PRIOR_OUTCOMES = 3;

  /** Weight of an outcome in its zone's slowness; larger for other zones, which yield few. */
  private static final double ZONE_STEP = 0.01;

  private static final double FAR_STEP = 0.1;

  /** How long a host that returns errors receives no unrepeatable requests. */
  private static final double ERRING_MS = 5_000;

  /** Shortest ejection; doubles while the host keeps failing. */
  private static final double EJECT_MS = 2_000;

  private static final int EJECT_DOUBLINGS = 3;

  /** Maximum share of the listed hosts that may be ejected. */
  private static final double EJECT_SHARE = 0.4;

  /**
   * The maximum for a host whose zone is unresponsive while other hosts respond: a partitioned
   * gateway may reach only its own zone.
   */
  private static final double SILENT_SHARE = 0.8;

  /** One failure suffices where failures are rare, as a gateway sees few outcomes of a host. */
  private static final double EJECT_FAILURES = 0.9;

  /** Failures below this share of attempts do not eject: the service may fail on all hosts. */
  private static final double EJECT_RATE = 1.0 / 6;

  /** Consecutive rejections; a full host accepts some, a broken one none (incident i4d927b). */
  static final int EJECT_REJECTIONS = 4;

  /** Maximum share ejected for rejections: under overload many are full (bc's small fleets). */
  private static final double FULL_SHARE = 0.1;

  /** A timeout may come from a long request or an overload, so it takes two to eject. */
  private static final double TIMEOUT_EVIDENCE = 0.5;

  /** A host with short requests in flight and no response for this part of the target hangs. */
  private static final double QUIET_PART = 0.5;

  /** Idle time before connections are closed; they fill the hosts' tables (incident i59fa1d). */
  private static final double LINGER_MS = 1_000;

  /** Where handshakes have a cost: the fraction of the idle timeout of hosts to keep them for. */
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

  /** Whether a list was received from discovery; start times that are new afterwards are recent. */
  private boolean listHeard;

  /** The hosts that are up, sorted by hash: the same order at every gateway. */
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
        h.availability = Availability.GONE;
      }
      if (h.availability == Availability.UP) {
        ring.add(h);
      }
    }
    // Hosts return under new ids, so a removed one is kept only while it has attempts in flight.
    byId.values().removeIf(h -> h.availability == Availability.GONE && h.inFlight == 0);
    all = byId.values().toArray(Host[]::new);
    ring.sort(Comparator.comparingLong((Host h) -> h.hash).thenComparing(h -> h.id));
  }

  /** Whether a host seems to hang: shows before its first timeout and ends with any response. */
  boolean isQuiet(Host h, Pending p, double now) {
    double since = Math.max(h.heardAt, h.busySince);
    return h.inFlight > h.longs && now - since > QUIET_PART * p.type.targetLatencyMs();
  }

  /** Updates the statistics of a host with a finished attempt, and ejects the host if needed. */
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
        // No response to any request in that time: it hangs, and its low count would attract more.
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

  /** Log of how much slower a zone is than the fastest one, adjusted for hardware types. */
  double zoneGap(int zone) {
    return zoneSlow[zone] - Arrays.stream(zoneSlow).min().orElse(0);
  }

  /** Log slowness of a host: the mean of its hardware type, adjusted by its own outcomes. */
  double slowness(Host h) {
    return kindSlow[h.kind] + h.slowSum / (h.slowCount + PRIOR_OUTCOMES);
  }

  private void eject(Host h, double share, double now) {
    long ejected = ring.stream().filter(other -> other.ejectedUntil > now).count();
    if (ejected < share * ring.size()) {
      h.ejectedUntil = now + EJECT_MS * (1 << Math.min(h.ejections, EJECT_DOUBLINGS));
      h.ejections = Math.min(h.ejections + 2, EJECT_DOUBLINGS);
      // Half-open: after the ejection one more failure suffices; otherwise the scan would send a
      // burst to it.
      h.failures = EJECT_FAILURES / 2;
    }
  }
}
