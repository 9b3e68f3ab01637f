package ternscale.policy;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import ternscale.api.Settings;

/**
 * The LC* scan over all hosts: the fewest requests in flight from this gateway win. Where hosts
 * cache by key, ties go to the hosts that the key maps to (weighted rendezvous hashing), elsewhere
 * to this gateway's subset of the fleet, whose connections stay open and which yields enough
 * outcomes to learn from. Remaining ties are broken at random, weighted by estimated capacity.
 */
final class Selector {
  /** How strongly slowness reduces a draw weight; above 1, as queues grow faster than load. */
  private static final double SLOWNESS_POWER = 1.5;

  /** Interval at which draw weights are recomputed; hosts change more slowly. */
  private static final double REFRESH_MS = 200;

  /** Hosts in the subset for each request in flight, so that most of them are idle. */
  private static final double SUBSET_PER_IN_FLIGHT = 3;

  private static final int MIN_SUBSET_SIZE = 6;

  /** A key gets one more host each time its traffic grows by this fraction of a host's share. */
  private static final double KEY_SHARE_PER_HOST = 0.5;

  /** Weight factor for a key's host with an idle connection, where handshakes have a cost. */
  private static final double REUSE_WEIGHT = 4;

  /** Covers the rounding error of a logarithm. */
  private static final double LOG_ROUNDING_MARGIN = 1 - 1e-9;

  /** Requests after which the older half of the key counts is discarded. */
  private static final int KEY_WINDOW_REQUESTS = 1_000;

  /** Requests in flight added to the count of a host in another zone, per cost of crossing. */
  private static final double CROSS_ZONE_PENALTY_PER_COST = 20;

  /** Below this cost, the even load that crossing permits saves more (site bc-screening). */
  private static final double NEGLIGIBLE_CROSS_ZONE_COST = 0.02;

  /** A host of the own zone with more requests in flight has a queue. */
  private static final double MAX_CROSS_ZONE_PENALTY = 2;

  /** Share of requests that ignores zones, to keep learning the slowness of other zones. */
  private static final double EXPLORATION_SHARE = 0.01;

  /** Log slowness relative to the fastest zone from which the own zone is no longer preferred. */
  private static final double MAX_ZONE_GAP = 0.5;

  /** Multiples of the golden ratio spread gateway indexes evenly around the ring. */
  private static final double GOLDEN_RATIO = 0.6180339887498949;

  private final HostTable hosts;
  private final Random random;
  private final Settings settings;
  private Host[] candidates = new Host[0];
  private double[] score = new double[0];
  private Host[] subset = new Host[0];
  private int fewestInFlight;
  private double refreshedAt = Double.NEGATIVE_INFINITY;
  private Map<String, Integer> keyCounts = new HashMap<>();
  private Map<String, Integer> previousKeyCounts = new HashMap<>();
  private int requestsInWindow;
  private double meanInFlight;
  private final double maxCrossZonePenalty;
  private double crossZonePenalty;
  private double connectionKeptSince;

  Selector(HostTable hosts, Settings settings, Random random) {
    this.hosts = hosts;
    this.settings = settings;
    this.random = random;
    double penalty =
        CROSS_ZONE_PENALTY_PER_COST * (settings.costs().crossZone() - NEGLIGIBLE_CROSS_ZONE_COST);
    maxCrossZonePenalty =
        settings.hostsCacheByKey() ? 0 : Math.min(MAX_CROSS_ZONE_PENALTY, Math.max(0, penalty));
  }

  /** Records a request's key and the number of requests in flight. */
  void onRequest(String key, int inFlight) {
    meanInFlight += (inFlight - meanInFlight) * 0.01;
    if (key != null && settings.hostsCacheByKey()) {
      keyCounts.merge(key, 1, Integer::sum);
      if (++requestsInWindow == KEY_WINDOW_REQUESTS) {
        previousKeyCounts = keyCounts;
        keyCounts = new HashMap<>();
        requestsInWindow = 0;
      }
    }
  }

  /**
   * Picks the host for a request, or null if none is ready. A long request skips hosts with a long
   * one in flight. If the hosts preferred in ties are idle, the others are not scanned, except
   * while any host is cold: testing whether a cold host is ready updates its budget.
   */
  Host pick(String key, boolean isLong, double now, Predicate<Host> ready) {
    if (now - refreshedAt >= REFRESH_MS) {
      refresh(now);
    }
    connectionKeptSince = settings.costs().handshake() > 0 ? now - hosts.idleConnectionMs : now;
    Host[] all = hosts.all;
    if (candidates.length < all.length) {
      candidates = new Host[all.length];
      score = new double[all.length];
    }
    double u = crossZonePenalty > 0 ? random.nextDouble() : 0;
    int remotePenalty = u < EXPLORATION_SHARE ? 0 : (int) (crossZonePenalty + u);
    boolean byKey = key != null && settings.hostsCacheByKey();
    if (2 * subset.length < all.length && now >= hosts.coldStart.coldUntil) {
      Host h = byKey ? drawByKey(key, all, all.length, 0, ready) : null;
      int n = byKey ? 0 : scan(subset, remotePenalty, isLong, ready);
      if (h != null || (n > 1 && fewestInFlight == 0)) {
        return h != null ? h : draw(n);
      }
    }
    int n = scan(all, remotePenalty, isLong, ready);
    if (n <= 1) {
      return n == 0 ? null : candidates[0];
    }
    return byKey
        ? drawByKey(key, candidates, n, fewestInFlight, h -> true)
        : draw(keepOwnSubset(n));
  }

  /** Collects the hosts with the fewest requests in flight, in order; returns their number. */
  private int scan(Host[] from, int remotePenalty, boolean isLong, Predicate<Host> ready) {
    fewestInFlight = Integer.MAX_VALUE;
    int n = 0;
    for (Host h : from) {
      int count = h.zone == settings.zone() ? h.inFlight : h.inFlight + remotePenalty;
      if (count <= fewestInFlight && !(isLong && h.longInFlight > 0) && ready.test(h)) {
        n = count < fewestInFlight ? 0 : n;
        fewestInFlight = count;
        candidates[n++] = h;
      }
    }
    return n;
  }

  private void refresh(double now) {
    refreshedAt = now;
    int size = (int) Math.max(MIN_SUBSET_SIZE, SUBSET_PER_IN_FLIGHT * meanInFlight);
    List<Host> ring = hosts.ring;
    crossZonePenalty =
        maxCrossZonePenalty * Math.max(0, 1 - hosts.zoneGap(settings.zone()) / MAX_ZONE_GAP);
    for (Host h : ring) {
      h.drawWeight = h.weight * Math.exp(-SLOWNESS_POWER * hosts.slowness(h));
      h.inSubset = size >= ring.size();
    }
    for (int i = 0; i < size && size < ring.size(); i++) {
      double position = settings.instanceIndex() * GOLDEN_RATIO + (double) i / size;
      ring.get((int) ((position - Math.floor(position)) * ring.size())).inSubset = true;
    }
    subset = Arrays.stream(hosts.all).filter(h -> h.inSubset).toArray(Host[]::new);
  }

  private int keepOwnSubset(int n) {
    int kept = 0;
    for (int i = 0; i < n; i++) {
      if (candidates[i].inSubset) {
        candidates[kept++] = candidates[i];
      }
    }
    return kept > 0 ? kept : n;
  }

  /** Draws from a key's hosts with this many requests in flight; null if fewer than two are. */
  private Host drawByKey(String key, Host[] from, int size, int inFlight, Predicate<Host> ready) {
    int keyRequests = keyCounts.getOrDefault(key, 0) + previousKeyCounts.getOrDefault(key, 0);
    double share =
        keyRequests
            / (requestsInWindow + (previousKeyCounts.isEmpty() ? 1.0 : KEY_WINDOW_REQUESTS));
    boolean sampleSuffices = requestsInWindow >= 50 || !previousKeyCounts.isEmpty();
    int replicas =
        1 + (sampleSuffices ? (int) (share * hosts.ring.size() / KEY_SHARE_PER_HOST) : 0);
    int maxCandidates = Math.min(Math.max(2, replicas), candidates.length);
    long keyHash = mix(key.hashCode());
    int n = 0;
    for (int i = 0; i < size; i++) {
      Host h = from[i];
      double u = ((mix(keyHash ^ h.hash) >>> 11) + 0.5) * 0x1.0p-53;
      // As -log u > 1 - u, most hosts are ruled out without computing a logarithm.
      double w = h.lastUsedAt > connectionKeptSince ? REUSE_WEIGHT * h.drawWeight : h.drawWeight;
      boolean ranksLast = n == maxCandidates && (1 - u) * LOG_ROUNDING_MARGIN > score[n - 1] * w;
      double s = ranksLast ? Double.POSITIVE_INFINITY : -Math.log(u) / w;
      if (h.inFlight != inFlight || (n == maxCandidates && s >= score[n - 1]) || !ready.test(h)) {
        continue;
      }
      int at = n < maxCandidates ? n++ : n - 1;
      for (; at > 0 && score[at - 1] > s; at--) {
        score[at] = score[at - 1];
        candidates[at] = candidates[at - 1];
      }
      score[at] = s;
      candidates[at] = h;
    }
    return n < 2 ? null : draw(Math.min(replicas, n));
  }

  static long mix(long x) {
    long z = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }

  private Host draw(int n) {
    double sum = 0;
    for (int i = 0; i < n; i++) {
      sum += candidates[i].drawWeight;
      score[i] = sum;
    }
    double at = random.nextDouble() * sum;
    int i = 0;
    while (i < n - 1 && at >= score[i]) {
      i++;
    }
    return candidates[i];
  }
}
