package ternscale.policy;

import java.util.ArrayList;
import java.util.List;
import ternscale.api.RequestInfo;
import ternscale.api.Settings.DedupScope;
import ternscale.api.Settings.Effect;
import ternscale.api.Settings.RequestClass;

/** A request that awaits its final response or has attempts in flight. */
final class Pending {
  /** One attempt in flight. */
  record Attempt(int number, Host host, double sentAt, boolean isLong) {}

  final RequestInfo info;
  final RequestClass requestClass;
  final double arrivedAt;
  final boolean isLong;
  final List<Attempt> inFlight = new ArrayList<>(2);
  final List<Host> failedOn = new ArrayList<>(2);
  int attemptCount;
  boolean ended;
  boolean held;

  /** Rule 2: the earliest attempt that may have run, or null; it restricts every later send. */
  private Attempt firstMayHaveRun;

  Pending(RequestInfo info, RequestClass requestClass, double readAt, boolean isLong) {
    this.info = info;
    this.requestClass = requestClass;
    this.arrivedAt = readAt - info.readDelayMs();
    this.isLong = isLong;
  }

  /** Expected work; a request without a hint counts as one unit. */
  double work() {
    return info.costHint() > 0 ? info.costHint() : 1;
  }

  double value() {
    return requestClass.value() * work();
  }

  /** Latency up to which a response has its full value. */
  double targetLatencyMs() {
    return requestClass.targetLatencyMs() + requestClass.targetLatencyPerCostMs() * info.costHint();
  }

  double targetAt() {
    return Math.min(arrivedAt + targetLatencyMs(), info.deadline());
  }

  /** Records an attempt that ended without proof that it never ran. */
  void noteMayHaveRun(Attempt a) {
    firstMayHaveRun =
        firstMayHaveRun == null || a.sentAt < firstMayHaveRun.sentAt ? a : firstMayHaveRun;
  }

  boolean anyMayHaveRun() {
    return firstMayHaveRun != null || !inFlight.isEmpty();
  }

  /** Rule 2 (no effect twice): whether another attempt may be sent to this host now. */
  boolean mayAttemptOn(Host h, double now, double marginMs) {
    if (requestClass.effect() == Effect.REPEATABLE || !anyMayHaveRun()) {
      return true;
    }
    return requestClass.effect() != Effect.ONCE
        && (firstMayHaveRun == null || sharesDedupScope(firstMayHaveRun, h, now, marginMs))
        && inFlight.stream().allMatch(a -> sharesDedupScope(a, h, now, marginMs));
  }

  private boolean sharesDedupScope(Attempt first, Host h, double now, double marginMs) {
    if (now - first.sentAt > requestClass.dedupWindowMs() - marginMs) {
      return false;
    }
    return requestClass.dedupScope() == DedupScope.ALL
        || (requestClass.dedupScope() == DedupScope.ZONE && first.host.zone == h.zone)
        || (requestClass.dedupScope() == DedupScope.CELL && first.host.cell == h.cell);
  }

  /** Rule 2: a rejection guarantees that a retry by the client has no second effect. */
  boolean mayReject() {
    return requestClass.effect() == Effect.REPEATABLE
        || !anyMayHaveRun()
        || (requestClass.effect() == Effect.BY_KEY && requestClass.dedupScope() == DedupScope.ALL);
  }
}
