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
  final RequestClass type;
  final double arrivedAt;
  final boolean isLong;
  final List<Attempt> out = new ArrayList<>(2);
  final List<Host> failedOn = new ArrayList<>(2);
  int attempts;
  boolean ended;
  boolean held;

  /** Rule 2: the earliest attempt that may have run, or null; it restricts every later send. */
  private Attempt ran;

  Pending(RequestInfo info, RequestClass type, double readAt, boolean isLong) {
    this.info = info;
    this.type = type;
    this.arrivedAt = readAt - info.readDelayMs();
    this.isLong = isLong;
  }

  /** Expected work; a request without a hint counts as one unit. */
  double work() {
    return info.costHint() > 0 ? info.costHint() : 1;
  }

  double worth() {
    return type.value() * work();
  }

  /** Latency up to which a response has its full value. */
  double aimMs() {
    return type.targetLatencyMs() + type.targetLatencyPerCostMs() * info.costHint();
  }

  double aimAt() {
    return Math.min(arrivedAt + aimMs(), info.deadline());
  }

  /** Records an attempt that ended without proof that it never ran. */
  void mayHaveRun(Attempt a) {
    ran = ran == null || a.sentAt < ran.sentAt ? a : ran;
  }

  boolean anyMayHaveRun() {
    return ran != null || !out.isEmpty();
  }

  /** Rule 2 (no effect twice): whether another attempt may be sent to this host now. */
  boolean effectAllows(Host h, double now, double marginMs) {
    if (type.effect() == Effect.REPEATABLE || !anyMayHaveRun()) {
      return true;
    }
    return type.effect() != Effect.ONCE
        && (ran == null || sameGroup(ran, h, now, marginMs))
        && out.stream().allMatch(a -> sameGroup(a, h, now, marginMs));
  }

  private boolean sameGroup(Attempt first, Host h, double now, double marginMs) {
    if (now - first.sentAt > type.dedupWindowMs() - marginMs) {
      return false;
    }
    return type.dedupScope() == DedupScope.ALL
        || (type.dedupScope() == DedupScope.ZONE && first.host.zone == h.zone)
        || (type.dedupScope() == DedupScope.CELL && first.host.cell == h.cell);
  }

  /** Rule 2: a rejection guarantees that a retry by the client has no second effect. */
  boolean mayRefuse() {
    return type.effect() == Effect.REPEATABLE
        || !anyMayHaveRun()
        || (type.effect() == Effect.BY_KEY && type.dedupScope() == DedupScope.ALL);
  }
}
