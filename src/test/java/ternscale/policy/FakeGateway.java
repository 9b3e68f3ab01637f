package ternscale.policy;

import java.util.ArrayList;
import java.util.List;
import ternscale.api.Actions;
import ternscale.api.HostEntry;
import ternscale.api.HostEntry.Availability;
import ternscale.api.MembersUpdate;
import ternscale.api.Outcome;
import ternscale.api.RequestInfo;
import ternscale.api.Settings;
import ternscale.api.Settings.DedupScope;
import ternscale.api.Settings.Effect;
import ternscale.api.Settings.RequestClass;

/**
 * A gateway for tests that records the balancer's actions as short lines. The digests of {@link
 * SelectionDigestTest} cover these lines, so their texts are fixed.
 */
final class FakeGateway implements Actions {
  record Sent(String request, String host, int attempt) {}

  private static final Settings.Costs NO_COSTS = new Settings.Costs(0, 0, 0, 0, 0);

  final List<String> log = new ArrayList<>();
  final List<Sent> sent = new ArrayList<>();
  final LcStarBalancer balancer;

  /** Delay of the timer that was set last. */
  double timerDelayMs;

  double now = 1_000_000;
  private int nextId;
  private final java.util.Map<String, Integer> attempts = new java.util.HashMap<>();

  FakeGateway(Settings settings, long seed) {
    balancer = new LcStarBalancer(settings, seed, now, this);
  }

  static RequestClass requestClass(Effect effect, DedupScope dedupScope) {
    return new RequestClass(500, 0, 2000, 1, 0, effect, dedupScope, 1500, false);
  }

  static Settings settings(Settings.Discovery discovery, RequestClass... classes) {
    return settings(discovery, false, classes);
  }

  static Settings settings(
      Settings.Discovery discovery, boolean hostsCacheByKey, RequestClass... classes) {
    return settings(discovery, hostsCacheByKey, false, classes);
  }

  static Settings settings(
      Settings.Discovery discovery,
      boolean hostsCacheByKey,
      boolean clientsMarkRetries,
      RequestClass... classes) {
    return settings(
        discovery,
        hostsCacheByKey,
        clientsMarkRetries,
        new Settings.Objective(1, 0, 0, 0),
        NO_COSTS,
        classes);
  }

  /** Discovery answers on request, with this maximum time between updates. */
  static Settings withMaxPollInterval(double maxPollIntervalMs) {
    Settings s =
        settings(Settings.Discovery.ON_REQUEST, requestClass(Effect.REPEATABLE, DedupScope.ALL));
    return new Settings(
        s.instanceIndex(),
        s.instanceCount(),
        s.zone(),
        s.zoneCount(),
        s.tickMs(),
        s.classes(),
        s.tenants(),
        s.overQuotaValueFactor(),
        s.valueByWork(),
        s.discovery(),
        s.hostsCacheByKey(),
        s.clientsMarkRetries(),
        s.limits(),
        new Settings.Rules(0.2, 10_000, 3, 3000, 1000, 20, maxPollIntervalMs),
        s.costs(),
        s.objective(),
        s.reportMode(),
        s.reportFields(),
        s.weightMeaning());
  }

  /** The same settings for one gateway of several. */
  static Settings withInstance(Settings s, int instanceIndex, int instanceCount) {
    return new Settings(
        instanceIndex,
        instanceCount,
        s.zone(),
        s.zoneCount(),
        s.tickMs(),
        s.classes(),
        s.tenants(),
        s.overQuotaValueFactor(),
        s.valueByWork(),
        s.discovery(),
        s.hostsCacheByKey(),
        s.clientsMarkRetries(),
        s.limits(),
        s.rules(),
        s.costs(),
        s.objective(),
        s.reportMode(),
        s.reportFields(),
        s.weightMeaning());
  }

  static Settings withObjective(Settings.Objective objective, RequestClass... classes) {
    return settings(Settings.Discovery.PUSHED, false, false, objective, NO_COSTS, classes);
  }

  static Settings withCrossZoneCost(double cost, RequestClass... classes) {
    return settings(
        Settings.Discovery.PUSHED,
        false,
        false,
        new Settings.Objective(1, 0, 0, 0),
        new Settings.Costs(cost, 0, 0, 0, 0),
        classes);
  }

  /** Hosts cache by key, and a handshake has this cost. */
  static Settings withHandshakeCost(double cost, RequestClass... classes) {
    return settings(
        Settings.Discovery.PUSHED,
        true,
        false,
        new Settings.Objective(1, 0, 0, 0),
        new Settings.Costs(0, 0, 0, 0, cost),
        classes);
  }

  private static Settings settings(
      Settings.Discovery discovery,
      boolean hostsCacheByKey,
      boolean clientsMarkRetries,
      Settings.Objective objective,
      Settings.Costs costs,
      RequestClass... classes) {
    return new Settings(
        0,
        1,
        0,
        2,
        5,
        List.of(classes),
        List.of(),
        1,
        false,
        discovery,
        hostsCacheByKey,
        clientsMarkRetries,
        new Settings.Limits(4, true, true, true, false, true, 1000, 100, 10_000, 1),
        new Settings.Rules(0.2, 10_000, 3, 3000, 1000, 20, 10_000),
        costs,
        objective,
        Settings.ReportMode.NONE,
        List.of(),
        Settings.WeightMeaning.NONE);
  }

  static HostEntry host(String id, int zone, Availability availability, double startedAt) {
    return new HostEntry(id, 1, 0, zone, 0, availability, startedAt);
  }

  void updateMembers(MembersUpdate.Kind kind, HostEntry... entries) {
    balancer.onMembers(now, new MembersUpdate(kind, 1, List.of(entries)));
  }

  void addHosts(int n) {
    HostEntry[] entries = new HostEntry[n];
    for (int i = 0; i < n; i++) {
      entries[i] = host("h" + i, i % 2, Availability.UP, 0);
    }
    updateMembers(MembersUpdate.Kind.FULL, entries);
  }

  String request(int requestClass, double costHint) {
    String id = "r" + nextId++;
    balancer.onRequest(
        now, new RequestInfo(id, requestClass, 0, now + 2000, costHint, null, false, false));
    return id;
  }

  void outcome(Sent s, Outcome.Result result, double elapsed, boolean ended) {
    balancer.onOutcome(
        now, new Outcome(s.request, s.host, s.attempt, result, elapsed, ended, List.of()));
  }

  long rejections() {
    return log.stream().filter(l -> l.startsWith("refuse")).count();
  }

  Sent lastSent() {
    return sent.get(sent.size() - 1);
  }

  List<Sent> sentFor(String request) {
    return sent.stream().filter(s -> s.request.equals(request)).toList();
  }

  @Override
  public void send(String requestId, String host, double timeoutMs) {
    int attempt = attempts.merge(requestId, 1, Integer::sum) - 1;
    sent.add(new Sent(requestId, host, attempt));
    log.add("send " + requestId + " " + host);
  }

  @Override
  public void reject(String requestId, double retryAfterMs) {
    log.add("refuse " + requestId);
  }

  @Override
  public void fail(String requestId) {
    log.add("fail " + requestId);
  }

  @Override
  public void cancel(String requestId, int attempt) {
    log.add("cancel " + requestId + " " + attempt);
  }

  @Override
  public void probe(String host) {
    log.add("probe " + host);
  }

  @Override
  public void closeIdle(String host) {
    log.add("closeIdle " + host);
  }

  @Override
  public void setTimer(long timer, double delayMs) {
    timerDelayMs = delayMs;
    log.add("timer " + timer);
  }

  @Override
  public void poll() {
    log.add("poll");
  }

  @Override
  public void watch(boolean on) {
    log.add("watch " + on);
  }

  @Override
  public void sendToPeer(int peer, String data) {
    log.add("tell " + peer);
  }

  @Override
  public void log(String line) {
    log.add("log " + line);
  }
}
