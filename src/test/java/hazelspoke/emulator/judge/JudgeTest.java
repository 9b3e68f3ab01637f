package hazelspoke.emulator.judge;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.emulator.judge.Ledger.Attempt;
import hazelspoke.emulator.judge.Ledger.AttemptEnd;
import hazelspoke.emulator.judge.Ledger.Try;
import hazelspoke.emulator.judge.Ledger.TryEnd;
import hazelspoke.emulator.script.Script;
import hazelspoke.emulator.script.ScriptException;
import hazelspoke.emulator.script.ScriptReader;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each rule at its edge: what is just allowed, and what is just not. */
class JudgeTest {
  private static final int RESERVE = 0;
  private static final int DISPATCH = 1;
  private final Ledger ledger = new Ledger();
  private Script script;
  private int tries;

  @BeforeEach
  void script() throws ScriptException {
    script = ScriptReader.read("x", "length_s = 10\n[load]\nrate = 5\n");
  }

  private Try asked(int requestClass, boolean fresh) {
    Try t = ledger.asked("t" + tries++, 0, requestClass, 0, fresh, 1_000);
    t.sentAt = 100;
    return t;
  }

  private static void answered(Try t, int status, double at) {
    t.end = TryEnd.ANSWERED;
    t.status = status;
    t.endedAt = at;
    t.maker = "s1";
  }

  private Attempt attempt(
      Try t, String host, int group, double at, AttemptEnd end, double endedAt) {
    Attempt a = ledger.received(t.txn, host, group, at, at);
    if (end != AttemptEnd.OPEN) {
      a.end(end, endedAt);
    }
    return a;
  }

  private List<Rule> broken() {
    return Judge.judge(script, ledger).stream().map(Breach::rule).toList();
  }

  @Test
  void oneThatIsServedInTimeBreaksNothing() {
    Try t = asked(DISPATCH, true);
    attempt(t, "s1", 0, 110, AttemptEnd.SERVED, 200);
    answered(t, 200, 1_000 + 20 + 50);
    assertThat(broken()).isEmpty();
  }

  @Test
  void anAnswerBehindTheDeadlineAndItsGraceIsLost() {
    Try t = asked(DISPATCH, true);
    attempt(t, "s1", 0, 110, AttemptEnd.SERVED, 200);
    answered(t, 502, 1_000 + 20 + 50 + 0.1);
    assertThat(broken()).containsExactly(Rule.LOST);
  }

  @Test
  void silenceIsLostUnlessTheGatewayWasDown() {
    Try t = asked(RESERVE, true);
    t.end = TryEnd.SILENT;
    t.endedAt = 1_070;
    assertThat(broken()).containsExactly(Rule.LOST);
    ledger.outage(1, 500, 600);
    assertThat(broken()).containsExactly(Rule.LOST);
    ledger.outage(0, 500, 600);
    assertThat(broken()).isEmpty();
  }

  @Test
  void aCloseIsLostOnlyWhereSomethingWasSentOn() {
    Try crossed = asked(RESERVE, false);
    crossed.end = TryEnd.CLOSED;
    crossed.endedAt = 110;
    Try first = asked(RESERVE, true);
    first.end = TryEnd.CLOSED;
    first.endedAt = 110;
    assertThat(broken()).isEmpty();
    attempt(first, "s1", 0, 105, AttemptEnd.SERVED, 300);
    assertThat(broken()).containsExactly(Rule.LOST);
  }

  @Test
  void onlyTheAnswerThatAHostMadeForItServesARequest() {
    Try wrong = asked(RESERVE, true);
    attempt(wrong, "s2", 0, 110, AttemptEnd.SERVED, 150);
    answered(wrong, 200, 200);
    Try none = asked(RESERVE, true);
    answered(none, 200, 200);
    none.maker = null;
    Try failed = asked(RESERVE, true);
    answered(failed, 502, 200);
    failed.maker = null;
    assertThat(broken()).containsExactly(Rule.LOST, Rule.LOST);
  }

  @Test
  void twoAnswersAreOneTooMany() {
    Try t = asked(RESERVE, true);
    attempt(t, "s1", 0, 110, AttemptEnd.SERVED, 150);
    answered(t, 200, 200);
    t.answeredTwice = true;
    assertThat(broken()).containsExactly(Rule.LOST);
  }

  @Test
  void nothingGoesOutBehindTheEnd() {
    Try t = asked(RESERVE, true);
    attempt(t, "s1", 0, 110, AttemptEnd.SERVED, 190);
    answered(t, 200, 200);
    attempt(t, "s1", 0, 250, AttemptEnd.OPEN, 0);
    assertThat(broken()).isEmpty();
    attempt(t, "s1", 0, 250.1, AttemptEnd.OPEN, 0);
    assertThat(broken()).containsExactly(Rule.LOST);
  }

  @Test
  void aDispatchGoesOutAgainOnlyWhenItIsCertainThatItNeverRan() {
    Try turned = asked(DISPATCH, true);
    attempt(turned, "s1", 0, 110, AttemptEnd.TURNED_AWAY, 111);
    attempt(turned, "s2", 0, 112, AttemptEnd.TURNED_AWAY, 113);
    answered(turned, 503, 120);
    assertThat(broken()).isEmpty();
    for (AttemptEnd end : AttemptEnd.values()) {
      if (end != AttemptEnd.TURNED_AWAY) {
        Try t = asked(DISPATCH, true);
        attempt(t, "s3", 0, 110, end, 111);
        attempt(t, "s1", 0, 112, AttemptEnd.SERVED, 113);
        answered(t, 200, 120);
      }
    }
    assertThat(broken()).hasSize(AttemptEnd.values().length - 1).containsOnly(Rule.TWICE);
  }

  @Test
  void aSecondCopyBeforeTheFirstWasTurnedAwayIsOneTooMany() {
    Try t = asked(DISPATCH, true);
    attempt(t, "s1", 0, 110, AttemptEnd.TURNED_AWAY, 130);
    attempt(t, "s1", 0, 120, AttemptEnd.SERVED, 140);
    answered(t, 200, 150);
    assertThat(broken()).containsExactly(Rule.TWICE);
  }

  @Test
  void aRefusalPromisesThatItNeverRan() {
    for (int status : new int[] {429, 503, 502}) {
      Try t = asked(status == 429 ? DISPATCH : RESERVE, true);
      attempt(t, "s1", 0, 110, AttemptEnd.ERROR, 120);
      answered(t, status, 200);
    }
    assertThat(broken()).containsExactly(Rule.TWICE, Rule.TWICE);
  }

  @Test
  void aReserveIsRepeatedOnlyWithinItsGroupAndWindow() {
    Try good = asked(RESERVE, true);
    attempt(good, "s2", 1, 100, AttemptEnd.ERROR, 120);
    attempt(good, "s1", 1, 130, AttemptEnd.SERVED, 140);
    answered(good, 200, 150);
    assertThat(broken()).isEmpty();
    Try elsewhere = asked(RESERVE, true);
    attempt(elsewhere, "s2", 1, 100, AttemptEnd.ERROR, 120);
    attempt(elsewhere, "s1", 0, 130, AttemptEnd.SERVED, 140);
    answered(elsewhere, 200, 150);
    assertThat(broken()).containsExactly(Rule.TWICE);
    Try late = asked(RESERVE, true);
    late.deadline = 9_000;
    attempt(late, "s2", 1, 100, AttemptEnd.ERROR, 120);
    attempt(late, "s1", 1, 100 + 1_500 + 51, AttemptEnd.SERVED, 1_700);
    answered(late, 200, 1_800);
    assertThat(broken()).containsExactly(Rule.TWICE, Rule.TWICE);
  }

  @Test
  void aLeavingHostGetsNothingNewAfterTheGrace() {
    ledger.told(0, "s1", true, -500);
    ledger.told(0, "s1", false, 0);
    ledger.told(0, "s1", false, 900);
    ledger.told(1, "s1", false, -9_000);
    Try t = asked(RESERVE, true);
    attempt(t, "s1", 0, 1_050, AttemptEnd.SERVED, 1_060);
    answered(t, 200, 1_062);
    assertThat(broken()).isEmpty();
    Try late = asked(RESERVE, true);
    attempt(late, "s1", 0, 1_051, AttemptEnd.SERVED, 1_060);
    answered(late, 200, 1_062);
    assertThat(broken()).containsExactly(Rule.DRAIN);
    ledger.told(0, "s1", true, 5_000);
    Try back = asked(RESERVE, true);
    back.deadline = 20_000;
    attempt(back, "s1", 0, 9_000, AttemptEnd.SERVED, 9_001);
    answered(back, 200, 9_002);
    assertThat(broken()).containsExactly(Rule.DRAIN);
  }

  @Test
  void fiveAttemptsAreAllowedAndNoSixth() {
    Try t = asked(RESERVE, true);
    for (int i = 0; i < 5; i++) {
      attempt(t, "s1", 0, 110 + i, AttemptEnd.SERVED, 110 + i);
    }
    answered(t, 200, 150);
    assertThat(broken()).isEmpty();
    attempt(t, "s1", 0, 120, AttemptEnd.SERVED, 121);
    assertThat(broken()).containsExactly(Rule.ATTEMPTS);
  }

  @Test
  void aFallCountsAgainstThoseWhoKnew() {
    ledger.fell("s1", 100, 0.66);
    assertThat(broken()).isEmpty();
    ledger.fell("s1", 100, 0.67);
    assertThat(broken()).containsExactly(Rule.COLD);
  }

  @Test
  void anIdThatNobodySentIsNoClientsRequest() {
    ledger.received("made up", "s1", 0, 10, 10);
    assertThat(broken()).containsExactly(Rule.LOST);
  }
}
