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
  private static final double OUTCOME_MEMORY_MS = 10_000;

  /** Weight of the hardware type's mean in a host's slowness, in outcomes of that host. */
  private static final double PRIOR_OUTCOMES = 3;

  /** Weight of an outcome in its zone's slowness; larger for other zones, which yield few. */
  private static final double OWN_ZONE_STEP = 0.01;

  private static final double REMOTE_ZONE_STEP = 0.1;

  /** How long a host that returns errors receives no unrepeatable requests. */
  private static final double ERRING_MS = 5_000;

  /** Shortest ejection; doubles while the host keeps failing. */
  private static final double BASE_EJECTION_MS = 2_000;

  private static final int MAX_EJECTION_DOUBLINGS = 3;

  /** Maximum share of the listed hosts that may be ejected. */
  private static final double MAX_EJECTED_SHARE = 0.4;

  /**
   * The maximum for a host whose zone is unresponsive while other hosts respond: a partitioned
   * gateway may reach only its own zone.
   */
  private static final double MAX_EJECTED_SHARE_UNRESPONSIVE_ZONE = 0.8;

  /** One failure suffices where failures are rare, as a gateway sees few outcomes of a host. */
  private static final double EJECTION_FAILURES = 0.9;

  /** Failures below this share of attempts do not eject: the service may fail on all hosts. */
  private static final double MIN_EJECTION_FAILURE_RATE = 1.0 / 6;

  /** Consecutive rejections; a full host accepts some, a broken one none (incident i4d927b). */
  static final int EJECTION_REJECTIONS = 4;

  /** Maximum share ejected for rejections: under overload many are full (bc's small fleets). */
  private static final double MAX_EJECTED_SHARE_REJECTING = 0.1;

  /** A timeout may come from a long request or an overload, so it takes two to eject. */
  private static final double TIMEOUT_FAILURE_WEIGHT = 0.5;

  /** A host with short requests in flight and no response for this part of the target hangs. */
  private static final double UNRESPONSIVE_FRACTION = 0.5;

  /** Idle time before connections are closed; they fill the hosts' tables (incident i59fa1d). */
  private static final double IDLE_CONNECTION_MS = 1_000;

  /** Where handshakes have a cost: the fraction of the idle timeout of hosts to keep them for. */
  private static final double IDLE_CONNECTION_FRACTION = 0.8;

  double idleConnectionMs;
  private final Map<String, Host> byId = new LinkedHashMap<>();
  Host[] all = new Host[0];
  final ColdStart coldStart;
  private double[] meanLatencyMs = new double[0];
  private double[] meanWork = new double[0];
  private double[] hardwareSlowness = new double[1];
  private double[] hardwareOutcomes = new double[1];
  private final double[] zoneSlowness;
  private final int ownZone;

  /** Whether a list was received from discovery; start times that are new afterwards are recent. */
  private boolean listReceived;

  /** The hosts that are up, sorted by hash: the same order at every gateway. */
  final List<Host> ring = new ArrayList<>();

  HostTable(Settings settings, ColdStart coldStart) {
    this.coldStart = coldStart;
    zoneSlowness = new double[settings.zoneCount()];
    ownZone = settings.zone();
    reload(settings);
  }

  void reload(Settings next) {
    meanLatencyMs = Arrays.copyOf(meanLatencyMs, next.classes().size());
    meanWork = Arrays.copyOf(meanWork, next.classes().size());
    double idleFraction = next.costs().handshake() > 0 ? IDLE_CONNECTION_FRACTION : 0;
    idleConnectionMs =
        Math.max(IDLE_CONNECTION_MS, idleFraction * next.limits().idleConnectionMs());
  }

  void apply(MembersUpdate update, double now) {
    if (!update.kind().hasEntries()) {
      return;
    }
    Set<String> listedIds = new HashSet<>();
    for (HostEntry e : update.entries()) {
      listedIds.add(e.host());
      Host h = byId.computeIfAbsent(e.host(), Host::new);
      if (h.apply(e)) {
        h.startedAt = coldStart.effectiveStart(e.startedAt(), listReceived, now);
        coldStart.startBudget(h, now);
      }
      hardwareSlowness =
          Arrays.copyOf(hardwareSlowness, Math.max(hardwareSlowness.length, e.hardwareType() + 1));
      hardwareOutcomes = Arrays.copyOf(hardwareOutcomes, hardwareSlowness.length);
    }
    listReceived |= update.kind() != MembersUpdate.Kind.CACHED;
    ring.clear();
    for (Host h : byId.values()) {
      if (update.kind() != MembersUpdate.Kind.DELTA && !listedIds.contains(h.id)) {
        h.availability = Availability.GONE;
      }
      if (h.availability == Availability.UP) {
        ring.add(h);
      }
    }
    // Hosts are replaced under new ids; a removed one is kept only while it has attempts in flight.
    byId.values().removeIf(h -> h.availability == Availability.GONE && h.inFlight == 0);
    all = byId.values().toArray(Host[]::new);
    ring.sort(Comparator.comparingLong((Host h) -> h.hash).thenComparing(h -> h.id));
  }

  /** Whether a host seems to hang: shows before its first timeout and ends with any response. */
  boolean isUnresponsive(Host h, Pending p, double now) {
    double since = Math.max(h.lastResponseAt, h.busySince);
    return h.inFlight > h.longInFlight
        && now - since > UNRESPONSIVE_FRACTION * p.requestClass.targetLatencyMs();
  }

  /** Updates the statistics of a host with a finished attempt, and ejects the host if needed. */
  void recordOutcome(
      Host h, Pending p, Pending.Attempt a, Result result, double elapsedMs, double now) {
    h.decay(now, OUTCOME_MEMORY_MS);
    if (result == Result.CANCELLED || result == Result.NOT_SENT) {
      return;
    }
    h.attempts++;
    if (result == Result.OK || result == Result.ERROR || result == Result.REJECTED) {
      h.lastResponseAt = now;
    }
    if (result == Result.OK) {
      h.ejections -= h.ejections > 0 && h.failures < EJECTION_FAILURES / 3 ? 1 : 0;
      h.rejections = 0;
      recordLatency(h, p, elapsedMs);
    } else if (result == Result.REJECTED) {
      if (++h.rejections >= EJECTION_REJECTIONS) {
        eject(h, MAX_EJECTED_SHARE_REJECTING, now);
      }
    } else {
      double silenceMs =
          Math.max(elapsedMs, UNRESPONSIVE_FRACTION * p.requestClass.targetLatencyMs());
      boolean zoneResponds =
          ring.stream().anyMatch(o -> o.zone == h.zone && now - o.lastResponseAt < silenceMs);
      boolean anyResponds = ring.stream().anyMatch(o -> now - o.lastResponseAt < BASE_EJECTION_MS);
      double maxShare =
          anyResponds && !zoneResponds ? MAX_EJECTED_SHARE_UNRESPONSIVE_ZONE : MAX_EJECTED_SHARE;
      h.failures += result == Result.TIMEOUT ? TIMEOUT_FAILURE_WEIGHT : 1;
      if (result == Result.TIMEOUT
          && h.lastResponseAt <= a.sentAt()
          && !a.isLong()
          && elapsedMs >= p.requestClass.targetLatencyMs()) {
        // No response to any request in that time: it hangs, and its low count would attract more.
        h.ejections = 0;
        eject(h, maxShare, now);
      } else if (h.failures >= EJECTION_FAILURES
          && h.failures > h.attempts * MIN_EJECTION_FAILURE_RATE) {
        if (result == Result.ERROR) {
          h.erringUntil = now + ERRING_MS;
        } else {
          eject(h, maxShare, now);
        }
      }
    }
  }

  private void recordLatency(Host h, Pending p, double elapsedMs) {
    int c = p.info.requestClass();
    double work = p.info.costHint();
    if (meanLatencyMs[c] == 0) {
      meanLatencyMs[c] = elapsedMs;
      meanWork[c] = work;
    }
    meanLatencyMs[c] += (elapsedMs - meanLatencyMs[c]) * 0.02;
    meanWork[c] += (work - meanWork[c]) * 0.02;
    double relativeWork = meanWork[c] > 0 ? 0.5 + 0.5 * work / meanWork[c] : 1;
    double logSlowness = Math.log(Math.max(0.05, elapsedMs / (meanLatencyMs[c] * relativeWork)));
    hardwareOutcomes[h.hardwareType] = hardwareOutcomes[h.hardwareType] * 0.995 + 1;
    hardwareSlowness[h.hardwareType] +=
        (logSlowness - hardwareSlowness[h.hardwareType]) / hardwareOutcomes[h.hardwareType];
    h.logSlownessSum += logSlowness - hardwareSlowness[h.hardwareType];
    double step = h.zone == ownZone ? OWN_ZONE_STEP : REMOTE_ZONE_STEP;
    zoneSlowness[h.zone] +=
        (logSlowness - hardwareSlowness[h.hardwareType] - zoneSlowness[h.zone]) * step;
    h.slownessCount++;
  }

  /** Log of how much slower a zone is than the fastest one, adjusted for hardware types. */
  double zoneGap(int zone) {
    return zoneSlowness[zone] - Arrays.stream(zoneSlowness).min().orElse(0);
  }

  /** Log slowness of a host: the mean of its hardware type, adjusted by its own outcomes. */
  double slowness(Host h) {
    return hardwareSlowness[h.hardwareType] + h.logSlownessSum / (h.slownessCount + PRIOR_OUTCOMES);
  }

  private void eject(Host h, double maxShare, double now) {
    long ejected = ring.stream().filter(other -> other.ejectedUntil > now).count();
    if (ejected < maxShare * ring.size()) {
      h.ejectedUntil =
          now + BASE_EJECTION_MS * (1 << Math.min(h.ejections, MAX_EJECTION_DOUBLINGS));
      h.ejections = Math.min(h.ejections + 2, MAX_EJECTION_DOUBLINGS);
      // Half-open: after the ejection one more failure suffices; otherwise the scan would send a
      // burst to it.
      h.failures = EJECTION_FAILURES / 2;
    }
  }
}
