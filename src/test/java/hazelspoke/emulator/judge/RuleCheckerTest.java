package hazelspoke.emulator.judge;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.emulator.judge.EventLog.Attempt;
import hazelspoke.emulator.judge.EventLog.AttemptEnd;
import hazelspoke.emulator.judge.EventLog.ClientAttempt;
import hazelspoke.emulator.judge.EventLog.ClientAttemptEnd;
import hazelspoke.emulator.script.Script;
import hazelspoke.emulator.script.ScriptException;
import hazelspoke.emulator.script.ScriptReader;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests each rule at its limits: just within and just beyond. */
class RuleCheckerTest {
  private static final int RESERVE = 0;
  private static final int DISPATCH = 1;
  private final EventLog eventLog = new EventLog();
  private Script script;
  private int clientAttempts;

  @BeforeEach
  void script() throws ScriptException {
    script = ScriptReader.read("x", "length_s = 10\n[load]\nrate = 5\n");
  }

  private ClientAttempt clientAttempt(int requestClass, boolean fresh) {
    ClientAttempt t =
        eventLog.requestStarted("t" + clientAttempts++, 0, requestClass, 0, fresh, 1_000);
    t.sentAt = 100;
    return t;
  }

  private static void answered(ClientAttempt t, int status, double at) {
    t.end = ClientAttemptEnd.ANSWERED;
    t.status = status;
    t.endedAt = at;
    t.respondingHost = "s1";
  }

  private Attempt attempt(
      ClientAttempt t, String host, int group, double at, AttemptEnd end, double endedAt) {
    Attempt a = eventLog.received(t.txn, host, group, at, at);
    if (end != AttemptEnd.OPEN) {
      a.end(end, endedAt);
    }
    return a;
  }

  private List<Rule> violatedRules() {
    return RuleChecker.check(script, eventLog).stream().map(Violation::rule).toList();
  }

  @Test
  void acceptsRequestServedInTime() {
    ClientAttempt t = clientAttempt(DISPATCH, true);
    attempt(t, "s1", 0, 110, AttemptEnd.SERVED, 200);
    answered(t, 200, 1_000 + 20 + 50);
    assertThat(violatedRules()).isEmpty();
  }

  @Test
  void reportsResponseAfterDeadlineAndGraceAsLost() {
    ClientAttempt t = clientAttempt(DISPATCH, true);
    attempt(t, "s1", 0, 110, AttemptEnd.SERVED, 200);
    answered(t, 502, 1_000 + 20 + 50 + 0.1);
    assertThat(violatedRules()).containsExactly(Rule.LOST);
  }

  @Test
  void reportsMissingResponseAsLostUnlessGatewayWasDown() {
    ClientAttempt t = clientAttempt(RESERVE, true);
    t.end = ClientAttemptEnd.SILENT;
    t.endedAt = 1_070;
    assertThat(violatedRules()).containsExactly(Rule.LOST);
    eventLog.outage(1, 500, 600);
    assertThat(violatedRules()).containsExactly(Rule.LOST);
    eventLog.outage(0, 500, 600);
    assertThat(violatedRules()).isEmpty();
  }

  @Test
  void reportsCloseAsLostOnlyAfterAnAttempt() {
    ClientAttempt crossed = clientAttempt(RESERVE, false);
    crossed.end = ClientAttemptEnd.CLOSED;
    crossed.endedAt = 110;
    ClientAttempt first = clientAttempt(RESERVE, true);
    first.end = ClientAttemptEnd.CLOSED;
    first.endedAt = 110;
    assertThat(violatedRules()).isEmpty();
    attempt(first, "s1", 0, 105, AttemptEnd.SERVED, 300);
    assertThat(violatedRules()).containsExactly(Rule.LOST);
  }

  @Test
  void reportsResponseThatNoHostProducedAsLost() {
    ClientAttempt wrong = clientAttempt(RESERVE, true);
    attempt(wrong, "s2", 0, 110, AttemptEnd.SERVED, 150);
    answered(wrong, 200, 200);
    ClientAttempt none = clientAttempt(RESERVE, true);
    answered(none, 200, 200);
    none.respondingHost = null;
    ClientAttempt failed = clientAttempt(RESERVE, true);
    answered(failed, 502, 200);
    failed.respondingHost = null;
    assertThat(violatedRules()).containsExactly(Rule.LOST, Rule.LOST);
  }

  @Test
  void reportsSecondResponseAsLost() {
    ClientAttempt t = clientAttempt(RESERVE, true);
    attempt(t, "s1", 0, 110, AttemptEnd.SERVED, 150);
    answered(t, 200, 200);
    t.hasExtraResponse = true;
    assertThat(violatedRules()).containsExactly(Rule.LOST);
  }

  @Test
  void reportsAttemptAfterEndAsLost() {
    ClientAttempt t = clientAttempt(RESERVE, true);
    attempt(t, "s1", 0, 110, AttemptEnd.SERVED, 190);
    answered(t, 200, 200);
    attempt(t, "s1", 0, 250, AttemptEnd.OPEN, 0);
    assertThat(violatedRules()).isEmpty();
    attempt(t, "s1", 0, 250.1, AttemptEnd.OPEN, 0);
    assertThat(violatedRules()).containsExactly(Rule.LOST);
  }

  @Test
  void allowsRetryOfOnceRequestOnlyIfItNeverRan() {
    ClientAttempt turned = clientAttempt(DISPATCH, true);
    attempt(turned, "s1", 0, 110, AttemptEnd.TURNED_AWAY, 111);
    attempt(turned, "s2", 0, 112, AttemptEnd.TURNED_AWAY, 113);
    answered(turned, 503, 120);
    assertThat(violatedRules()).isEmpty();
    for (AttemptEnd end : AttemptEnd.values()) {
      if (end != AttemptEnd.TURNED_AWAY) {
        ClientAttempt t = clientAttempt(DISPATCH, true);
        attempt(t, "s3", 0, 110, end, 111);
        attempt(t, "s1", 0, 112, AttemptEnd.SERVED, 113);
        answered(t, 200, 120);
      }
    }
    assertThat(violatedRules()).hasSize(AttemptEnd.values().length - 1).containsOnly(Rule.TWICE);
  }

  @Test
  void reportsSecondCopyBeforeRejectionOfFirst() {
    ClientAttempt t = clientAttempt(DISPATCH, true);
    attempt(t, "s1", 0, 110, AttemptEnd.TURNED_AWAY, 130);
    attempt(t, "s1", 0, 120, AttemptEnd.SERVED, 140);
    answered(t, 200, 150);
    assertThat(violatedRules()).containsExactly(Rule.TWICE);
  }

  @Test
  void reportsRefusalOfRequestThatMayHaveRun() {
    for (int status : new int[] {429, 503, 502}) {
      ClientAttempt t = clientAttempt(status == 429 ? DISPATCH : RESERVE, true);
      attempt(t, "s1", 0, 110, AttemptEnd.ERROR, 120);
      answered(t, status, 200);
    }
    assertThat(violatedRules()).containsExactly(Rule.TWICE, Rule.TWICE);
  }

  @Test
  void allowsRepeatByKeyOnlyWithinGroupAndWindow() {
    ClientAttempt good = clientAttempt(RESERVE, true);
    attempt(good, "s2", 1, 100, AttemptEnd.ERROR, 120);
    attempt(good, "s1", 1, 130, AttemptEnd.SERVED, 140);
    answered(good, 200, 150);
    assertThat(violatedRules()).isEmpty();
    ClientAttempt elsewhere = clientAttempt(RESERVE, true);
    attempt(elsewhere, "s2", 1, 100, AttemptEnd.ERROR, 120);
    attempt(elsewhere, "s1", 0, 130, AttemptEnd.SERVED, 140);
    answered(elsewhere, 200, 150);
    assertThat(violatedRules()).containsExactly(Rule.TWICE);
    ClientAttempt late = clientAttempt(RESERVE, true);
    late.deadline = 9_000;
    attempt(late, "s2", 1, 100, AttemptEnd.ERROR, 120);
    attempt(late, "s1", 1, 100 + 1_500 + 51, AttemptEnd.SERVED, 1_700);
    answered(late, 200, 1_800);
    assertThat(violatedRules()).containsExactly(Rule.TWICE, Rule.TWICE);
  }

  @Test
  void reportsNewRequestToDrainingHostAfterGrace() {
    eventLog.notified(0, "s1", true, -500);
    eventLog.notified(0, "s1", false, 0);
    eventLog.notified(0, "s1", false, 900);
    eventLog.notified(1, "s1", false, -9_000);
    ClientAttempt t = clientAttempt(RESERVE, true);
    attempt(t, "s1", 0, 1_050, AttemptEnd.SERVED, 1_060);
    answered(t, 200, 1_062);
    assertThat(violatedRules()).isEmpty();
    ClientAttempt late = clientAttempt(RESERVE, true);
    attempt(late, "s1", 0, 1_051, AttemptEnd.SERVED, 1_060);
    answered(late, 200, 1_062);
    assertThat(violatedRules()).containsExactly(Rule.DRAIN);
    eventLog.notified(0, "s1", true, 5_000);
    ClientAttempt back = clientAttempt(RESERVE, true);
    back.deadline = 20_000;
    attempt(back, "s1", 0, 9_000, AttemptEnd.SERVED, 9_001);
    answered(back, 200, 9_002);
    assertThat(violatedRules()).containsExactly(Rule.DRAIN);
  }

  @Test
  void allowsFiveAttemptsAndReportsTheSixth() {
    ClientAttempt t = clientAttempt(RESERVE, true);
    for (int i = 0; i < 5; i++) {
      attempt(t, "s1", 0, 110 + i, AttemptEnd.SERVED, 110 + i);
    }
    answered(t, 200, 150);
    assertThat(violatedRules()).isEmpty();
    attempt(t, "s1", 0, 120, AttemptEnd.SERVED, 121);
    assertThat(violatedRules()).containsExactly(Rule.ATTEMPTS);
  }

  @Test
  void reportsOverloadByInformedGateways() {
    eventLog.overloaded("s1", 100, 0.66);
    assertThat(violatedRules()).isEmpty();
    eventLog.overloaded("s1", 100, 0.67);
    assertThat(violatedRules()).containsExactly(Rule.COLD);
  }

  @Test
  void reportsRequestThatNoClientSent() {
    eventLog.received("made up", "s1", 0, 10, 10);
    assertThat(violatedRules()).containsExactly(Rule.LOST);
  }
}
