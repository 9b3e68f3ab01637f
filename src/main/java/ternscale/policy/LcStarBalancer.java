package ternscale.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import ternscale.api.Actions;
import ternscale.api.Balancer;
import ternscale.api.HostEntry.Availability;
import ternscale.api.MembersUpdate;
import ternscale.api.Outcome;
import ternscale.api.RequestInfo;
import ternscale.api.Settings;
import ternscale.api.Settings.Effect;

/**
 * Handles requests under LC*: hold, send, retry, end. Every send goes through {@link #send}, which
 * checks the four rules; every rejection or failure goes through {@link #rejectOrFail}.
 */
public final class LcStarBalancer implements Balancer {
  private static final long HOLD_TIMER = 2;

  /** Number of recent cost hints from which the cutoff for long requests is computed. */
  private static final int CUTOFF_SAMPLE = 512;

  /** Share of requests above the cutoff: the paper marks under 3 percent as long. */
  private static final double LONG_SHARE = 0.03;

  /** A long request waits this fraction of its target; in the paper it waits indefinitely. */
  private static final double LONG_WAIT = 0.1;

  private Settings settings;
  private final Actions actions;
  private final ColdStart coldStart;
  private final HostTable hosts;
  private final Selector selector;
  private final Admission admission;
  private final Membership membership;
  private final Map<String, Pending> requests = new HashMap<>();
  private final List<Pending> held = new ArrayList<>();
  private final double[] costHints = new double[CUTOFF_SAMPLE];
  private int hintCount;
  private double cutoff = Double.POSITIVE_INFINITY;
  private double idleSweptAt = Double.NEGATIVE_INFINITY;
  private boolean holdTimerSet;
  private boolean closed;

  public LcStarBalancer(Settings settings, long seed, double now, Actions actions) {
    this.settings = settings;
    this.actions = actions;
    Random random = new Random(seed);
    coldStart = new ColdStart(settings.rules(), random, now);
    hosts = new HostTable(settings, coldStart);
    selector = new Selector(hosts, settings, random);
    admission = new Admission(settings, random, now);
    membership = new Membership(settings, actions, random);
    membership.start();
  }

  @Override
  public void onMembers(double now, MembersUpdate update) {
    checkOpen();
    hosts.apply(update, now);
    coldStart.updateHostCounts(hosts.ring, now);
    membership.onUpdate(update);
    retryHeld(now);
  }

  @Override
  public void onRequest(double now, RequestInfo request) {
    checkOpen();
    int c = request.requestClass();
    if (c < 0 || c >= settings.classes().size()) {
      throw new IllegalArgumentException("unknown request class: " + c);
    }
    recordCostHint(request.costHint());
    Pending p = new Pending(request, settings.classes().get(c), now, request.costHint() >= cutoff);
    if (requests.putIfAbsent(request.id(), p) != null) {
      throw new IllegalArgumentException("duplicate request id: " + request.id());
    }
    if (now - idleSweptAt > hosts.idleConnectionMs / 4) {
      idleSweptAt = now;
      // Incident i59fa1d: idle connections filled the hosts' tables, until no host was usable.
      for (Host h : hosts.ring) {
        if (h.lastUsedAt > 0 && h.inFlight == 0 && now - h.lastUsedAt > hosts.idleConnectionMs) {
          h.lastUsedAt = 0;
          actions.closeIdle(h.id);
        }
      }
      coldStart.updateHostCounts(hosts.ring, now);
    }
    selector.onRequest(request.key(), requests.size());
    if (admission.admits(p, now)) {
      place(p, now);
    } else {
      rejectOrFail(p, now);
    }
  }

  @Override
  public void onClientDisconnected(double now, String requestId) {
    checkOpen();
    Pending p = requests.get(requestId);
    if (p != null && !p.ended) {
      markEnded(p);
      cancelAttempts(p);
    }
  }

  @Override
  public void onOutcome(double now, Outcome outcome) {
    checkOpen();
    Pending p = requests.get(outcome.requestId());
    Pending.Attempt a = p == null ? null : removeAttempt(p, outcome.attempt());
    if (a == null) {
      return;
    }
    Host h = a.host();
    h.inFlight--;
    h.lastUsedAt = now;
    h.longInFlight -= a.isLong() ? 1 : 0;
    double elapsedMs = outcome.elapsedMs() - outcome.gatewayDelayMs();
    hosts.recordOutcome(h, p, a, outcome.result(), elapsedMs, now);
    // An outcome delayed mostly within this process does not reflect the state of the hosts.
    boolean reflectsHosts = h.ejectedUntil <= now && elapsedMs >= outcome.gatewayDelayMs();
    boolean reflectsLoad = reflectsHosts && h.rejections <= HostTable.EJECTION_REJECTIONS;
    if (!p.ended && !p.isLong && reflectsLoad) {
      admission.onOutcome(p, outcome.result(), elapsedMs, now);
    }
    if (outcome.result() == Outcome.Result.OK) {
      coldStart.onServed(h, p.work(), now);
    }
    if (!outcome.result().neverRan()) {
      p.noteMayHaveRun(a);
    }
    if (p.ended || outcome.requestEnded()) {
      if (!p.ended) {
        markEnded(p);
        cancelAttempts(p);
      }
      removeIfDone(p);
    } else {
      p.failedOn.add(h);
      if (p.inFlight.isEmpty()) {
        if (admission.takeRetry(outcome.result())) {
          place(p, now);
        } else {
          rejectOrFail(p, now);
        }
      }
    }
    retryHeld(now);
  }

  @Override
  public void onResponseStarted(double now, String requestId, int attempt, String host) {
    checkOpen();
    Pending p = requests.get(requestId);
    if (p != null && !p.ended) {
      markEnded(p);
    }
  }

  @Override
  public void onTimer(double now, long timer) {
    checkOpen();
    if (timer == Membership.TIMER) {
      membership.onTimer();
    } else if (timer == HOLD_TIMER) {
      holdTimerSet = false;
      retryHeld(now);
    }
  }

  @Override
  public void onSettings(double now, Settings next) {
    checkOpen();
    settings = next;
    hosts.reload(next);
    admission.reload(next, now);
  }

  @Override
  public int usableHosts(double now) {
    return (int) hosts.ring.stream().filter(h -> h.ejectedUntil <= now).count();
  }

  @Override
  public void close() {
    closed = true;
  }

  /** Sends a request to the LC* choice, or holds it, or ends it if no attempt is permitted. */
  private void place(Pending p, double now) {
    if (p.attemptCount >= settings.limits().maxAttempts()
        || (p.requestClass.effect() == Effect.ONCE && p.anyMayHaveRun())
        || now >= latestStartAt(p)) {
      rejectOrFail(p, now);
      return;
    }
    Predicate<Host> ready = host -> maySend(p, host, now);
    Predicate<Host> responsive = ready.and(host -> !hosts.isUnresponsive(host, p, now));
    Host h = selector.pick(p.info.key(), p.isLong, now, responsive);
    if (h == null) {
      h = selector.pick(p.info.key(), p.isLong, now, ready);
    }
    if (h == null && p.isLong && now - p.arrivedAt > LONG_WAIT * p.requestClass.targetLatencyMs()) {
      h = selector.pick(p.info.key(), false, now, ready);
    }
    if (h != null) {
      send(p, h, now);
    } else if (!p.held) {
      p.held = true;
      held.add(p);
      if (!holdTimerSet) {
        holdTimerSet = true;
        actions.setTimer(HOLD_TIMER, Math.max(2 * settings.tickMs(), 1));
      }
    }
  }

  /** Latest useful start; the response is assumed to be delayed as long as reading was. */
  private double latestStartAt(Pending p) {
    double last = p.info.deadline() - 2 * settings.tickMs();
    return p.requestClass.lateValueFactor() > 0
        ? last
        : Math.min(last, p.targetAt() - settings.tickMs() - p.info.readDelayMs());
  }

  /** Checks the four rules for one request and one host. */
  private boolean maySend(Pending p, Host h, double now) {
    return h.availability == Availability.UP
        && h.ejectedUntil <= now
        && (h.ejectedUntil <= h.lastResponseAt || h.inFlight == 0)
        && (h.erringUntil <= now || p.requestClass.effect() == Effect.REPEATABLE)
        && !p.failedOn.contains(h)
        && coldStart.admits(h, now)
        && p.mayAttemptOn(h, now, settings.tickMs());
  }

  private void send(Pending p, Host h, double now) {
    if (p.ended
        || p.attemptCount >= settings.limits().maxAttempts()
        || (!p.inFlight.isEmpty() && !settings.limits().mayHedge())
        || !maySend(p, h, now)) {
      throw new IllegalStateException("a rule forbids sending " + p.info.id() + " to " + h.id);
    }
    p.inFlight.add(new Pending.Attempt(p.attemptCount++, h, now, p.isLong));
    h.busySince = h.inFlight++ == 0 ? now : h.busySince;
    h.lastUsedAt = now;
    h.longInFlight += p.isLong ? 1 : 0;
    coldStart.onSend(h, p.work(), now);
    if (p.attemptCount == 1) {
      admission.onFirstSend();
    }
    actions.send(p.info.id(), h.id, 0);
  }

  private void rejectOrFail(Pending p, double now) {
    markEnded(p);
    if (p.mayReject()) {
      actions.reject(p.info.id(), admission.retryAfterMs());
    } else {
      actions.fail(p.info.id());
    }
    cancelAttempts(p);
  }

  private void markEnded(Pending p) {
    p.ended = true;
    removeIfDone(p);
  }

  private void cancelAttempts(Pending p) {
    if (settings.limits().mayCancel()) {
      for (Pending.Attempt a : p.inFlight) {
        actions.cancel(p.info.id(), a.number());
      }
    }
  }

  private void removeIfDone(Pending p) {
    if (p.ended && p.inFlight.isEmpty()) {
      requests.remove(p.info.id());
    }
  }

  private static Pending.Attempt removeAttempt(Pending p, int number) {
    Pending.Attempt a =
        p.inFlight.stream().filter(o -> o.number() == number).findFirst().orElse(null);
    p.inFlight.remove(a);
    return a;
  }

  private void retryHeld(double now) {
    if (held.isEmpty()) {
      return;
    }
    List<Pending> again = new ArrayList<>(held);
    held.clear();
    for (Pending p : again) {
      p.held = false;
      if (!p.ended) {
        place(p, now);
      }
    }
  }

  private void recordCostHint(double hint) {
    costHints[hintCount++ % CUTOFF_SAMPLE] = hint;
    if (hintCount % 64 == 0) {
      double[] sorted = Arrays.copyOf(costHints, Math.min(hintCount, CUTOFF_SAMPLE));
      Arrays.sort(sorted);
      double high = sorted[(int) ((1 - LONG_SHARE) * sorted.length)];
      cutoff = high > sorted[0] ? high : Double.POSITIVE_INFINITY;
    }
  }

  private void checkOpen() {
    if (closed) {
      throw new IllegalStateException("the balancer is closed");
    }
  }
}
