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
 * Reads the ledger by the rules: a function of what clients and hosts saw, with no view into any
 * gateway. Every time limit is longer by the script's slack, for what sockets and schedulers take.
 */
public final class RuleChecker {
  /** After its client's deadline an answer is still in time for this long. */
  static final double ANSWER_GRACE_MS = 20;

  /** After it was told, a gateway may go on sending to a leaving host for this long. */
  static final double DRAIN_GRACE_MS = 1_000;

  static final int MOST_ATTEMPTS = 5;

  /** What was begun longer than this before a connection ended did not cross its end. */
  private static final double MOST_CROSSING_MS = 500;

  /** A fall counts against the gateways when this part of the work came from ones that knew. */
  static final double KNOWING_SHARE = 2.0 / 3;

  private final Script script;
  private final EventLog eventLog;
  private final double slackMs;
  private final List<Violation> breaches = new ArrayList<>();

  private RuleChecker(Script script, EventLog eventLog) {
    this.script = script;
    this.eventLog = eventLog;
    slackMs = script.checker().slackMs();
  }

  /** All breaches, in the order of their times. */
  public static List<Violation> check(Script script, EventLog eventLog) {
    RuleChecker checker = new RuleChecker(script, eventLog);
    for (ClientAttempt t : eventLog.clientAttempts()) {
      checker.tryOf(t);
    }
    for (String txn : eventLog.unknownRequestIds()) {
      Attempt first = eventLog.attempts(txn).get(0);
      checker.breaches.add(
          new Violation(
              Rule.LOST, first.receivedAt, txn, "no client ever sent this request", List.of()));
    }
    for (EventLog.HostOverload fall : eventLog.overloads()) {
      if (fall.informedShare() >= KNOWING_SHARE) {
        checker.breaches.add(
            new Violation(
                Rule.COLD,
                fall.at(),
                fall.host(),
                "a cold host was pushed over",
                List.of(
                    String.format(
                        Locale.ROOT,
                        "%.0f %% of the work came from gateways that had been told of its start",
                        100 * fall.informedShare()))));
      }
    }
    checker.breaches.sort(Comparator.comparingDouble(Violation::atMs));
    return List.copyOf(checker.breaches);
  }

  /** The time up to which an answer to a try is no breach. */
  public static double latestResponseTime(double deadline, double slackMs) {
    return deadline + ANSWER_GRACE_MS + slackMs;
  }

  private void tryOf(ClientAttempt t) {
    List<Attempt> attempts = new ArrayList<>(eventLog.attempts(t.txn));
    attempts.sort(Comparator.comparingDouble(a -> a.receivedAt));
    boolean excused = wasOut(t);
    if (!excused) {
      lost(t, attempts);
    }
    twice(t, attempts);
    drain(t, attempts);
    if (attempts.size() > MOST_ATTEMPTS) {
      breach(Rule.ATTEMPTS, t, attempts, attempts.size() + " attempts");
    }
  }

  /** Whether the gateway was down at some moment while it had the request. */
  private boolean wasOut(ClientAttempt t) {
    double from = Double.isNaN(t.sentAt) ? Double.NEGATIVE_INFINITY : t.sentAt;
    double to = Double.isNaN(t.endedAt) ? Double.POSITIVE_INFINITY : t.endedAt;
    return eventLog.outages().stream()
        .anyMatch(o -> o.gateway() == t.gateway && o.from() <= to + slackMs && from <= o.to());
  }

  private void lost(ClientAttempt t, List<Attempt> attempts) {
    if (t.hasExtraResponse) {
      breach(Rule.LOST, t, attempts, "more than one answer");
    }
    switch (t.end) {
      case ANSWERED -> {
        if (t.served() && !isGenuine(t, attempts)) {
          breach(Rule.LOST, t, attempts, "served with what no host made for it");
        } else if (t.endedAt > latestResponseTime(t.deadline, slackMs)) {
          breach(Rule.LOST, t, attempts, "answered after its client's deadline");
        }
      }
      case SILENT -> breach(Rule.LOST, t, attempts, "no answer");
      case CLOSED -> {
        // One that crossed the close, or that a fresh connection had nothing sent on for, has
        // failed and may be asked again.
        if (!attempts.isEmpty() || t.endedAt - t.sendStartedAt > MOST_CROSSING_MS) {
          breach(Rule.LOST, t, attempts, "the connection ended without an answer");
        }
      }
      default -> {
        // Truncated: failed, and the client can tell. Unreachable: never taken.
      }
    }
    double end = Double.isNaN(t.endedAt) ? Double.POSITIVE_INFINITY : t.endedAt;
    for (Attempt a : attempts) {
      if (a.earliest > end + slackMs) {
        breach(Rule.LOST, t, attempts, "sent to " + a.host + " after its end");
        return;
      }
    }
  }

  private static boolean isGenuine(ClientAttempt t, List<Attempt> attempts) {
    return attempts.stream()
        .anyMatch(a -> a.host.equals(t.respondingHost) && a.end == AttemptEnd.SERVED);
  }

  private void twice(ClientAttempt t, List<Attempt> attempts) {
    Script.RequestClass type = script.classes().get(t.requestClass);
    if (type.effect() == Script.Effect.REPEATABLE) {
      return;
    }
    Attempt ran = null;
    for (Attempt a : attempts) {
      if (ran != null && type.effect() == Script.Effect.ONCE) {
        breach(Rule.TWICE, t, attempts, "sent to " + a.host + " when it may have run");
        return;
      }
      if (ran != null && a.group != ran.group) {
        breach(Rule.TWICE, t, attempts, "sent to another group when it may have run");
        return;
      }
      if (ran != null && a.earliest - ran.receivedAt > type.windowMs() + slackMs) {
        breach(Rule.TWICE, t, attempts, "sent again after the window");
        return;
      }
      if (ran == null && !a.neverRan(next(attempts, a, t))) {
        ran = a;
      }
    }
    if (t.refused() && ran != null && ran.earliest <= t.endedAt) {
      breach(Rule.TWICE, t, attempts, "refused when it may have run");
    }
  }

  /** When the attempt after this one came, or the client's answer where none did. */
  private static double next(List<Attempt> attempts, Attempt a, ClientAttempt t) {
    int i = attempts.indexOf(a);
    if (i + 1 < attempts.size()) {
      return attempts.get(i + 1).receivedAt;
    }
    return Double.isNaN(t.endedAt) ? Double.POSITIVE_INFINITY : t.endedAt;
  }

  private void drain(ClientAttempt t, List<Attempt> attempts) {
    for (Attempt a : attempts) {
      HostNotification last = null;
      for (HostNotification told : eventLog.notifications(t.gateway, a.host)) {
        if (told.at() <= a.earliest && (last == null || last.ready() || told.ready())) {
          last = told;
        }
      }
      if (last != null && !last.ready() && a.earliest > last.at() + DRAIN_GRACE_MS + slackMs) {
        breach(
            Rule.DRAIN,
            t,
            attempts,
            String.format(
                Locale.ROOT,
                "sent to %s %.0f ms after it was told",
                a.host,
                a.earliest - last.at()));
        return;
      }
    }
  }

  private void breach(Rule rule, ClientAttempt t, List<Attempt> attempts, String what) {
    List<String> details = new ArrayList<>();
    details.add(
        String.format(
            Locale.ROOT,
            "%s, asked of g%d: sent %.0f ms, deadline %.0f ms, %s %.0f ms%s",
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
              "at %s: came %.0f ms, %s %.0f ms",
              a.host,
              a.receivedAt,
              a.end == AttemptEnd.OPEN ? "never ended" : a.end.name().toLowerCase(Locale.ROOT),
              a.endedAt));
    }
    double at = Double.isNaN(t.endedAt) ? t.deadline : t.endedAt;
    breaches.add(new Violation(rule, at, t.txn, what, details));
  }
}
