package hazelspoke.emulator.judge;

import hazelspoke.emulator.judge.EventLog.Attempt;
import hazelspoke.emulator.judge.EventLog.AttemptEnd;
import hazelspoke.emulator.judge.EventLog.ClientAttempt;
import hazelspoke.emulator.judge.EventLog.ClientAttemptEnd;
import hazelspoke.emulator.judge.EventLog.HostNotification;
import hazelspoke.emulator.script.Script;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * Checks the event log against the rules. It uses only what clients and hosts observed, never the
 * internal state of a gateway. Every time limit is extended by the slack of the script, to allow
 * for socket and scheduling delays.
 */
public final class RuleChecker {
  /** A response counts as in time up to this long after its client's deadline. */
  static final double ANSWER_GRACE_MS = 20;

  /** A gateway may keep sending to a draining host for this long after the notification. */
  static final double DRAIN_GRACE_MS = 1_000;

  static final int MAX_ATTEMPTS = 5;

  /**
   * A request that began longer than this before its connection closed did not race with the close.
   */
  private static final double MAX_CLOSE_RACE_MS = 500;

  /**
   * An overload of a cold host is a violation if at least this share of its work came from gateways
   * that had been notified of its start.
   */
  static final double INFORMED_SHARE = 2.0 / 3;

  private final Script script;
  private final EventLog eventLog;
  private final double slackMs;
  private final List<Violation> violations = new ArrayList<>();

  private RuleChecker(Script script, EventLog eventLog) {
    this.script = script;
    this.eventLog = eventLog;
    slackMs = script.checker().slackMs();
  }

  /** Returns all violations, ordered by time. */
  public static List<Violation> check(Script script, EventLog eventLog) {
    RuleChecker checker = new RuleChecker(script, eventLog);
    for (ClientAttempt t : eventLog.clientAttempts()) {
      checker.checkClientAttempt(t);
    }
    for (String txn : eventLog.unknownRequestIds()) {
      Attempt first = eventLog.attempts(txn).get(0);
      checker.violations.add(
          new Violation(
              Rule.LOST, first.receivedAt, txn, "no client sent this request", List.of()));
    }
    for (EventLog.HostOverload fall : eventLog.overloads()) {
      if (fall.informedShare() >= INFORMED_SHARE) {
        checker.violations.add(
            new Violation(
                Rule.COLD,
                fall.at(),
                fall.host(),
                "a cold host was overloaded",
                List.of(
                    String.format(
                        Locale.ROOT,
                        "%.0f %% of the work came from gateways that had been notified of its start",
                        100 * fall.informedShare()))));
      }
    }
    checker.violations.sort(Comparator.comparingDouble(Violation::atMs));
    return List.copyOf(checker.violations);
  }

  /** Returns the latest time at which a response to a client attempt is not a violation. */
  public static double latestResponseTime(double deadline, double slackMs) {
    return deadline + ANSWER_GRACE_MS + slackMs;
  }

  private void checkClientAttempt(ClientAttempt t) {
    List<Attempt> attempts = new ArrayList<>(eventLog.attempts(t.txn));
    attempts.sort(Comparator.comparingDouble(a -> a.receivedAt));
    boolean excused = wasGatewayDown(t);
    if (!excused) {
      checkLost(t, attempts);
    }
    checkDuplicates(t, attempts);
    checkDrain(t, attempts);
    if (attempts.size() > MAX_ATTEMPTS) {
      report(Rule.ATTEMPTS, t, attempts, attempts.size() + " attempts");
    }
  }

  /** Returns whether the gateway was down at any time while it had the request. */
  private boolean wasGatewayDown(ClientAttempt t) {
    double from = Double.isNaN(t.sentAt) ? Double.NEGATIVE_INFINITY : t.sentAt;
    double to = Double.isNaN(t.endedAt) ? Double.POSITIVE_INFINITY : t.endedAt;
    return eventLog.outages().stream()
        .anyMatch(o -> o.gateway() == t.gateway && o.from() <= to + slackMs && from <= o.to());
  }

  private void checkLost(ClientAttempt t, List<Attempt> attempts) {
    if (t.hasExtraResponse) {
      report(Rule.LOST, t, attempts, "more than one response");
    }
    switch (t.end) {
      case ANSWERED -> {
        if (t.served() && !isGenuine(t, attempts)) {
          report(Rule.LOST, t, attempts, "served with a response that no host produced for it");
        } else if (t.endedAt > latestResponseTime(t.deadline, slackMs)) {
          report(Rule.LOST, t, attempts, "response sent after the client's deadline");
        }
      }
      case SILENT -> report(Rule.LOST, t, attempts, "no response");
      case CLOSED -> {
        // A request that raced with the close, or that a fresh connection closed before anything
        // was forwarded, has failed and may be retried.
        if (!attempts.isEmpty() || t.endedAt - t.sendStartedAt > MAX_CLOSE_RACE_MS) {
          report(Rule.LOST, t, attempts, "the connection closed without a response");
        }
      }
      default -> {
        // TRUNCATED: failed, and the client can detect it. UNREACHABLE: never accepted.
      }
    }
    double end = Double.isNaN(t.endedAt) ? Double.POSITIVE_INFINITY : t.endedAt;
    for (Attempt a : attempts) {
      if (a.earliest > end + slackMs) {
        report(Rule.LOST, t, attempts, "sent to " + a.host + " after the client attempt ended");
        return;
      }
    }
  }

  private static boolean isGenuine(ClientAttempt t, List<Attempt> attempts) {
    return attempts.stream()
        .anyMatch(a -> a.host.equals(t.respondingHost) && a.end == AttemptEnd.SERVED);
  }

  private void checkDuplicates(ClientAttempt t, List<Attempt> attempts) {
    Script.RequestClass type = script.classes().get(t.requestClass);
    if (type.effect() == Script.Effect.REPEATABLE) {
      return;
    }
    Attempt ran = null;
    for (Attempt a : attempts) {
      if (ran != null && type.effect() == Script.Effect.ONCE) {
        report(
            Rule.TWICE,
            t,
            attempts,
            "sent to " + a.host + " although an earlier attempt may have run");
        return;
      }
      if (ran != null && a.group != ran.group) {
        report(
            Rule.TWICE,
            t,
            attempts,
            "sent to another group although an earlier attempt may have run");
        return;
      }
      if (ran != null && a.earliest - ran.receivedAt > type.windowMs() + slackMs) {
        report(Rule.TWICE, t, attempts, "resent after the repeat window");
        return;
      }
      if (ran == null && !a.neverRan(nextEventTime(attempts, a, t))) {
        ran = a;
      }
    }
    if (t.refused() && ran != null && ran.earliest <= t.endedAt) {
      report(Rule.TWICE, t, attempts, "refused although an earlier attempt may have run");
    }
  }

  /** Returns when the next attempt arrived, or when the client attempt ended if there was none. */
  private static double nextEventTime(List<Attempt> attempts, Attempt a, ClientAttempt t) {
    int i = attempts.indexOf(a);
    if (i + 1 < attempts.size()) {
      return attempts.get(i + 1).receivedAt;
    }
    return Double.isNaN(t.endedAt) ? Double.POSITIVE_INFINITY : t.endedAt;
  }

  private void checkDrain(ClientAttempt t, List<Attempt> attempts) {
    for (Attempt a : attempts) {
      HostNotification last = null;
      for (HostNotification told : eventLog.notifications(t.gateway, a.host)) {
        if (told.at() <= a.earliest && (last == null || last.ready() || told.ready())) {
          last = told;
        }
      }
      if (last != null && !last.ready() && a.earliest > last.at() + DRAIN_GRACE_MS + slackMs) {
        report(
            Rule.DRAIN,
            t,
            attempts,
            String.format(
                Locale.ROOT,
                "sent to %s %.0f ms after the gateway was notified that it drains",
                a.host,
                a.earliest - last.at()));
        return;
      }
    }
  }

  private void report(Rule rule, ClientAttempt t, List<Attempt> attempts, String what) {
    List<String> details = new ArrayList<>();
    details.add(
        String.format(
            Locale.ROOT,
            "%s, sent to g%d: sent %.0f ms, deadline %.0f ms, %s %.0f ms%s",
            script.classes().get(t.requestClass).name(),
            t.gateway + 1,
            t.sentAt,
            t.deadline,
            t.end == ClientAttemptEnd.ANSWERED
                ? "answered " + t.status
                : t.end.name().toLowerCase(Locale.ROOT),
            t.endedAt,
            t.freshConnection ? ", first on its connection" : ""));
    for (Attempt a : attempts) {
      details.add(
          String.format(
              Locale.ROOT,
              "at %s: received %.0f ms, %s %.0f ms",
              a.host,
              a.receivedAt,
              a.end == AttemptEnd.OPEN ? "never ended" : a.end.name().toLowerCase(Locale.ROOT),
              a.endedAt));
    }
    double at = Double.isNaN(t.endedAt) ? t.deadline : t.endedAt;
    violations.add(new Violation(rule, at, t.txn, what, details));
  }
}
