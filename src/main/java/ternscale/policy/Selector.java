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

  private static final int SUBSET_LEAST = 6;

  /** A key gets one more host each time its traffic grows by this fraction of a host's share. */
  private static final double KEY_SHARE_PER_HOST = 0.5;

  /** Weight factor for a key's host with an idle connection, where handshakes have a cost. */
  private static final double REUSE = 4;

  /** Covers the rounding error of a logarithm. */
  private static final double BELOW_LOG = 1 - 1e-9;

  /** Requests after which the older half of the key counts is discarded. */
  private static final int KEY_WINDOW = 1_000;

  /** Requests in flight added to the count of a host in another zone, per cost of crossing. */
  private static final double CROSSING_PER_POINT = 20;

  /** Below this cost, the even load that crossing permits saves more (site bc-screening). */
  private static final double CHEAP = 0.02;

  /** A host of the own zone with more requests in flight has a queue. */
  private static final double MOST_CROSSING = 2;

  /** Share of requests that ignores zones, to keep learning the slowness of other zones. */
  private static final double EXPLORE = 0.01;

  /** Log slowness relative to the fastest zone from which the own zone is no longer preferred. */
  private static final double ZONE_GAP = 0.5;

  /** Multiples of the golden ratio spread gateway indexes evenly around the ring. */
  private static final double GOLDEN = 0.6180339887498949;

  private final HostTable hosts;
  private final Random random;
  private final Settings settings;
  private Host[] tied = new Host[0];
  private double[] score = new double[0];
  private Host[] subset = new Host[0];
  private int fewest;
  private double refreshedAt = Double.NEGATIVE_INFINITY;
  private Map<String, Integer> keysNow = new HashMap<>();
  private Map<String, Integer> keysBefore = new HashMap<>();
  private int counted;
  private double meanInFlight;
  private final double mostCrossing;
  private double crossing;
  private double keptSince;

  Selector(HostTable hosts, Settings settings, Random random) {
    this.hosts = hosts;
    this.settings = settings;
    this.random = random;
    double priced = CROSSING_PER_POINT * (settings.costs().crossZone() - CHEAP);
    mostCrossing = settings.hostsCacheByKey() ? 0 : Math.min(MOST_CROSSING, Math.max(0, priced));
  }

  /** Records a request's key and the number of requests in flight. */
  void onRequest(String key, int inFlight) {
    meanInFlight += (inFlight - meanInFlight) * 0.01;
    if (key != null && settings.hostsCacheByKey()) {
      keysNow.merge(key, 1, Integer::sum);
      if (++counted == KEY_WINDOW) {
        keysBefore = keysNow;
        keysNow = new HashMap<>();
        counted = 0;
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
    keptSince = settings.costs().handshake() > 0 ? now - hosts.lingerMs : now;
    Host[] all = hosts.all;
    if (tied.length < all.length) {
      tied = new Host[all.length];
      score = new double[all.length];
    }
    double u = crossing > 0 ? random.nextDouble() : 0;
    int far = u < EXPLORE ? 0 : (int) (crossing + u);
    boolean byKey = key != null && settings.hostsCacheByKey();
    if (2 * subset.length < all.length && now >= hosts.coldStart.coldUntil) {
      Host h = byKey ? drawByKey(key, all, all.length, 0, ready) : null;
      int n = byKey ? 0 : scan(subset, far, isLong, ready);
      if (h != null || (n > 1 && fewest == 0)) {
        return h != null ? h : draw(n);
      }
    }
    int n = scan(all, far, isLong, ready);
    if (n <= 1) {
      return n == 0 ? null : tied[0];
    }
    return byKey ? drawByKey(key, tied, n, fewest, h -> true) : draw(keepSubset(n));
  }

  /** Collects the hosts with the fewest requests in flight, in order; returns their number. */
  private int scan(Host[] from, int far, boolean isLong, Predicate<Host> ready) {
    fewest = Integer.MAX_VALUE;
    int n = 0;
    for (Host h : from) {
      int count = h.zone == settings.zone() ? h.inFlight : h.inFlight + far;
      if (count <= fewest && !(isLong && h.longs > 0) && ready.test(h)) {
        n = count < fewest ? 0 : n;
        fewest = count;
        tied[n++] = h;
      }
    }
    return n;
  }

  private void refresh(double now) {
    refreshedAt = now;
    int size = (int) Math.max(SUBSET_LEAST, SUBSET_PER_IN_FLIGHT * meanInFlight);
    List<Host> ring = hosts.ring;
    crossing = mostCrossing * Math.max(0, 1 - hosts.zoneGap(settings.zone()) / ZONE_GAP);
    for (Host h : ring) {
      h.drawWeight = h.weight * Math.exp(-SLOWNESS_POWER * hosts.slowness(h));
      h.inSubset = size >= ring.size();
    }
    for (int i = 0; i < size && size < ring.size(); i++) {
      double turn = settings.instanceIndex() * GOLDEN + (double) i / size;
      ring.get((int) ((turn - Math.floor(turn)) * ring.size())).inSubset = true;
    }
    subset = Arrays.stream(hosts.all).filter(h -> h.inSubset).toArray(Host[]::new);
  }

  private int keepSubset(int n) {
    int kept = 0;
    for (int i = 0; i < n; i++) {
      if (tied[i].inSubset) {
        tied[kept++] = tied[i];
      }
    }
    return kept > 0 ? kept : n;
  }

  /** Draws from a key's hosts with this many requests in flight; null if fewer than two are. */
  private Host drawByKey(String key, Host[] from, int size, int inFlight, Predicate<Host> ready) {
    int seen = keysNow.getOrDefault(key, 0) + keysBefore.getOrDefault(key, 0);
    double share = seen / (counted + (keysBefore.isEmpty() ? 1.0 : KEY_WINDOW));
    boolean known = counted >= 50 || !keysBefore.isEmpty();
    int replicas = 1 + (known ? (int) (share * hosts.ring.size() / KEY_SHARE_PER_HOST) : 0);
    int most = Math.min(Math.max(2, replicas), tied.length);
    long keyHash = mix(key.hashCode());
    int n = 0;
    for (int i = 0; i < size; i++) {
      Host h = from[i];
      double u = ((mix(keyHash ^ h.hash) >>> 11) + 0.5) * 0x1.0p-53;
      // As -log u > 1 - u, most hosts are ruled out without computing a logarithm.
      double w = h.connectedAt > keptSince ? REUSE * h.drawWeight : h.drawWeight;
      boolean last = n == most && (1 - u) * BELOW_LOG > score[n - 1] * w;
      double s = last ? Double.POSITIVE_INFINITY : -Math.log(u) / w;
      if (h.inFlight != inFlight || (n == most && s >= score[n - 1]) || !ready.test(h)) {
        continue;
      }
      int at = n < most ? n++ : n - 1;
      for (; at > 0 && score[at - 1] > s; at--) {
        score[at] = score[at - 1];
        tied[at] = tied[at - 1];
      }
      score[at] = s;
      tied[at] = h;
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
      sum += tied[i].drawWeight;
      score[i] = sum;
    }
    double at = random.nextDouble() * sum;
    int i = 0;
    while (i < n - 1 && at >= score[i]) {
      i++;
    }
    return tied[i];
  }
}
