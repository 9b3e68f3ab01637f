package hazelspoke.agreement.member;

import hazelspoke.agreement.record.Session;
import hazelspoke.agreement.record.Session.Status;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A leader's count of the others' terms. Each begins anew with its leadership and with each
 * renewal, and is longer than the holder's own count by what both clocks may be off. What the
 * leader itself was late counts against nobody.
 */
class SessionLeases {
  private record Lease(long incarnation, long sinceIndex, long expiresAt, boolean isLapsing) {}

  private final long durationNanos;
  private final long tickNanos;
  private final Map<String, Lease> leases = new HashMap<>();
  private long lastTickNanos;

  /**
   * @param tickNanos how often {@link #tick} is called
   */
  SessionLeases(long leaseNanos, double drift, long tickNanos) {
    durationNanos = (long) (leaseNanos * (1 + drift));
    this.tickNanos = tickNanos;
  }

  /** The leadership begins; every term does as well, at the next tick. */
  void start(long now) {
    leases.clear();
    lastTickNanos = now;
  }

  /** A renewal counts, as the record shows it and a majority has confirmed. */
  void renew(Session session, long now) {
    leases.put(session.member(), newLease(session, now));
  }

  private Lease newLease(Session session, long now) {
    return new Lease(session.incarnation(), session.sinceIndex(), now + durationNanos, false);
  }

  /**
   * Whether its lapse was given out, so that nothing may be said to the holder until it is known.
   */
  boolean isLapsing(Session session) {
    Lease lease = leases.get(session.member());
    return lease != null
        && lease.incarnation == session.incarnation()
        && lease.sinceIndex == session.sinceIndex()
        && lease.isLapsing;
  }

  /** The lapse could not be given out; it is tried again. */
  void lapseFailed(Session session) {
    if (isLapsing(session)) {
      Lease lease = leases.get(session.member());
      leases.put(
          session.member(), new Lease(lease.incarnation, lease.sinceIndex, lease.expiresAt, false));
    }
  }

  /** Those whose terms have ended; each is named once. */
  List<Session> tick(long now, Collection<Session> sessions) {
    long stalledNanos = Math.max(0, now - lastTickNanos - 2 * tickNanos);
    lastTickNanos = now;
    List<Session> expired = new ArrayList<>();
    for (Session session : sessions) {
      Lease lease = leases.get(session.member());
      if (session.status() != Status.THERE) {
        leases.remove(session.member());
      } else if (lease == null
          || lease.incarnation != session.incarnation()
          || lease.sinceIndex != session.sinceIndex()) {
        leases.put(session.member(), newLease(session, now));
      } else if (!lease.isLapsing) {
        long expiresAt = lease.expiresAt + stalledNanos;
        boolean isExpired = now - expiresAt >= 0;
        leases.put(
            session.member(), new Lease(lease.incarnation, lease.sinceIndex, expiresAt, isExpired));
        if (isExpired) {
          expired.add(session);
        }
      }
    }
    return expired;
  }
}
