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

/** A gateway for tests: keeps what the balancer asks for as short lines. */
final class Gateway implements Actions {
  record Sent(String request, String host, int attempt) {}

  private static final Settings.Costs FREE = new Settings.Costs(0, 0, 0, 0, 0);

  final List<String> log = new ArrayList<>();
  final List<Sent> sent = new ArrayList<>();
  final LcStarBalancer balancer;

  /** How far off the timer that was set last is. */
  double timerMs;

  double now = 1_000_000;
  private int ids;
  private final java.util.Map<String, Integer> attempts = new java.util.HashMap<>();

  Gateway(Settings settings, long seed) {
    balancer = new LcStarBalancer(settings, seed, now, this);
  }

  static RequestClass type(Effect effect, DedupScope group) {
    return new RequestClass(500, 0, 2000, 1, 0, effect, group, 1500, false);
  }

  static Settings settings(Settings.Discovery discovery, RequestClass... classes) {
    return settings(discovery, false, classes);
  }

  static Settings settings(
      Settings.Discovery discovery, boolean hostsRememberKeys, RequestClass... classes) {
    return settings(discovery, hostsRememberKeys, false, classes);
  }

  static Settings settings(
      Settings.Discovery discovery,
      boolean hostsRememberKeys,
      boolean marksRetries,
      RequestClass... classes) {
    return settings(
        discovery,
        hostsRememberKeys,
        marksRetries,
        new Settings.Objective(1, 0, 0, 0),
        FREE,
        classes);
  }

  /** Discovery is asked, and a gateway with no watch may be without news for so long. */
  static Settings mustAskIn(double ms) {
    Settings s = settings(Settings.Discovery.ON_REQUEST, type(Effect.REPEATABLE, DedupScope.ALL));
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
        new Settings.Rules(0.2, 10_000, 3, 3000, 1000, 20, ms),
        s.costs(),
        s.objective(),
        s.reportMode(),
        s.reportFields(),
        s.weightMeaning());
  }

  /** The same for one gateway of several. */
  static Settings oneOf(Settings s, int me, int instances) {
    return new Settings(
        me,
        instances,
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

  static Settings goal(Settings.Objective goal, RequestClass... classes) {
    return settings(Settings.Discovery.PUSHED, false, false, goal, FREE, classes);
  }

  static Settings crossing(double price, RequestClass... classes) {
    return settings(
        Settings.Discovery.PUSHED,
        false,
        false,
        new Settings.Objective(1, 0, 0, 0),
        new Settings.Costs(price, 0, 0, 0, 0),
        classes);
  }

  /** With hosts that remember keys, and this price of a handshake. */
  static Settings handshake(double price, RequestClass... classes) {
    return settings(
        Settings.Discovery.PUSHED,
        true,
        false,
        new Settings.Objective(1, 0, 0, 0),
        new Settings.Costs(0, 0, 0, 0, price),
        classes);
  }

  private static Settings settings(
      Settings.Discovery discovery,
      boolean hostsRememberKeys,
      boolean marksRetries,
      Settings.Objective goal,
      Settings.Costs prices,
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
        hostsRememberKeys,
        marksRetries,
        new Settings.Limits(4, true, true, true, false, true, 1000, 100, 10_000, 1),
        new Settings.Rules(0.2, 10_000, 3, 3000, 1000, 20, 10_000),
        prices,
        goal,
        Settings.ReportMode.NONE,
        List.of(),
        Settings.WeightMeaning.NONE);
  }

  static HostEntry host(String id, int zone, Availability availability, double startedAt) {
    return new HostEntry(id, 1, 0, zone, 0, availability, startedAt);
  }

  void members(MembersUpdate.Kind kind, HostEntry... entries) {
    balancer.onMembers(now, new MembersUpdate(kind, 1, List.of(entries)));
  }

  void hosts(int n) {
    HostEntry[] entries = new HostEntry[n];
    for (int i = 0; i < n; i++) {
      entries[i] = host("h" + i, i % 2, Availability.UP, 0);
    }
    members(MembersUpdate.Kind.FULL, entries);
  }

  String request(int type, double hint) {
    String id = "r" + ids++;
    balancer.onRequest(now, new RequestInfo(id, type, 0, now + 2000, hint, null, false, false));
    return id;
  }

  void outcome(Sent s, Outcome.Result result, double elapsed, boolean ended) {
    balancer.onOutcome(
        now, new Outcome(s.request, s.host, s.attempt, result, elapsed, ended, List.of()));
  }

  long refusals() {
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
    timerMs = delayMs;
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
