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
  private record Count(long incarnation, long since, long endsAt, boolean lapsing) {}

  private final long length;
  private final long tick;
  private final Map<String, Count> counts = new HashMap<>();
  private long tickedAt;

  /**
   * @param tickNanos how often {@link #tick} is called
   */
  SessionLeases(long leaseNanos, double drift, long tickNanos) {
    length = (long) (leaseNanos * (1 + drift));
    tick = tickNanos;
  }

  /** The leadership begins; every term does as well, at the next tick. */
  void begin(long now) {
    counts.clear();
    tickedAt = now;
  }

  /** A renewal counts, as the record shows it and a majority has confirmed. */
  void renewed(Session session, long now) {
    counts.put(session.member(), count(session, now));
  }

  private Count count(Session session, long now) {
    return new Count(session.incarnation(), session.sinceIndex(), now + length, false);
  }

  /**
   * Whether its lapse was given out, so that nothing may be said to the holder until it is known.
   */
  boolean isLapsing(Session session) {
    Count count = counts.get(session.member());
    return count != null
        && count.incarnation == session.incarnation()
        && count.since == session.sinceIndex()
        && count.lapsing;
  }

  /** The lapse could not be given out; it is tried again. */
  void notLapsed(Session session) {
    if (isLapsing(session)) {
      Count count = counts.get(session.member());
      counts.put(session.member(), new Count(count.incarnation, count.since, count.endsAt, false));
    }
  }

  /** Those whose terms have ended; each is named once. */
  List<Session> tick(long now, Collection<Session> sessions) {
    long late = Math.max(0, now - tickedAt - 2 * tick);
    tickedAt = now;
    List<Session> over = new ArrayList<>();
    for (Session session : sessions) {
      Count count = counts.get(session.member());
      if (session.status() != Status.THERE) {
        counts.remove(session.member());
      } else if (count == null
          || count.incarnation != session.incarnation()
          || count.since != session.sinceIndex()) {
        counts.put(session.member(), count(session, now));
      } else if (!count.lapsing) {
        long endsAt = count.endsAt + late;
        boolean ended = now - endsAt >= 0;
        counts.put(session.member(), new Count(count.incarnation, count.since, endsAt, ended));
        if (ended) {
          over.add(session);
        }
      }
    }
    return over;
  }
}
