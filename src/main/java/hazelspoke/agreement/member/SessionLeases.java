package hazelspoke.agreement.member;

import hazelspoke.agreement.record.Session;
import hazelspoke.agreement.record.Session.Status;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The leases of all sessions, as the leader tracks them. A lease starts again when the leadership
 * starts and with each renewal. The leader's lease is longer, and the holder's shorter, by the
 * maximum clock error, so that it expires at the holder first. Time in which the leader itself was
 * stalled does not count.
 */
class SessionLeases {
  private record Lease(long incarnation, long sinceIndex, long expiryNanos, boolean isLapsing) {}

  private final long durationNanos;
  private final long tickNanos;
  private final Map<String, Lease> leases = new HashMap<>();
  private long lastTickNanos;

  /**
   * @param drift the maximum relative clock error
   * @param tickNanos the interval between calls of {@link #tick}
   */
  SessionLeases(long leaseNanos, double drift, long tickNanos) {
    durationNanos = (long) (leaseNanos * (1 + drift));
    this.tickNanos = tickNanos;
  }

  /** Starts a leadership; every lease starts again at the next tick. */
  void start(long nowNanos) {
    leases.clear();
    lastTickNanos = nowNanos;
  }

  /** Renews a lease, after a majority has confirmed the leadership. */
  void renew(Session session, long nowNanos) {
    leases.put(session.member(), newLease(session, nowNanos));
  }

  private Lease newLease(Session session, long nowNanos) {
    return new Lease(session.incarnation(), session.sinceIndex(), nowNanos + durationNanos, false);
  }

  /**
   * Whether the lapse of this session was proposed. The holder must not be told that its lease is
   * valid until the outcome is known.
   */
  boolean isLapsing(Session session) {
    Lease lease = leases.get(session.member());
    return lease != null
        && lease.incarnation == session.incarnation()
        && lease.sinceIndex == session.sinceIndex()
        && lease.isLapsing;
  }

  /** The lapse could not be proposed; the next tick tries again. */
  void lapseFailed(Session session) {
    if (isLapsing(session)) {
      Lease lease = leases.get(session.member());
      leases.put(
          session.member(),
          new Lease(lease.incarnation, lease.sinceIndex, lease.expiryNanos, false));
    }
  }

  /** Returns the sessions whose leases have expired; each is returned once. */
  List<Session> tick(long nowNanos, Collection<Session> sessions) {
    long stalledNanos = Math.max(0, nowNanos - lastTickNanos - 2 * tickNanos);
    lastTickNanos = nowNanos;
    List<Session> expired = new ArrayList<>();
    for (Session session : sessions) {
      Lease lease = leases.get(session.member());
      if (session.status() != Status.THERE) {
        leases.remove(session.member());
      } else if (lease == null
          || lease.incarnation != session.incarnation()
          || lease.sinceIndex != session.sinceIndex()) {
        leases.put(session.member(), newLease(session, nowNanos));
      } else if (!lease.isLapsing) {
        long expiryNanos = lease.expiryNanos + stalledNanos;
        boolean isExpired = nowNanos - expiryNanos >= 0;
        leases.put(
            session.member(),
            new Lease(lease.incarnation, lease.sinceIndex, expiryNanos, isExpired));
        if (isExpired) {
          expired.add(session);
        }
      }
    }
    return expired;
  }
}
