package hazelspoke.emulator.judge;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.emulator.judge.EventLog.ClientAttempt;
import hazelspoke.emulator.judge.EventLog.ClientAttemptEnd;
import org.junit.jupiter.api.Test;

/** Tests that the effect of a fault is derived from the observations of hosts and clients. */
class FaultEffectTest {
  private final EventLog eventLog = new EventLog();
  private int clientAttempts;

  private void sent(double earliest, double receivedAt, int status) {
    ClientAttempt t = eventLog.requestStarted("t" + clientAttempts++, 0, 0, 0, false, 1e9);
    t.end = ClientAttemptEnd.ANSWERED;
    t.status = status;
    eventLog.received(t.txn, "s1", 0, receivedAt, earliest);
  }

  @Test
  void countsAffectedRequestsByOutcome() {
    for (int t = 5_000; t < 10_000; t += 100) {
      sent(t, t, 200);
    }
    sent(10_010, 10_010, 200);
    sent(10_050, 10_050, 502);
    sent(10_200, 10_200, 503);
    eventLog.received(
        eventLog.requestStarted("x", 0, 0, 0, false, 1e9).txn, "s2", 0, 10_100, 10_100);
    sent(12_340, 12_340, 200);
    sent(12_400, 12_400, 200);
    assertThat(FaultEffect.of(eventLog, "s1", 10_000, 12_000))
        .isEqualTo(new FaultEffect("s1", 3, 1, 1, 1, 300, 340));
  }

  /**
   * A stopped process reads all its requests when it resumes; they can have been sent any time
   * before.
   */
  @Test
  void countsRequestsReadAfterAStallAsAffected() {
    sent(9_000, 9_000, 200);
    sent(9_995, 12_003, 502);
    sent(9_995, 12_004, 502);
    sent(12_500, 12_500, 200);
    assertThat(FaultEffect.of(eventLog, "s1", 10_000, 12_000))
        .isEqualTo(new FaultEffect("s1", 2, 0, 0, 2, 2_000, 500));
  }

  @Test
  void reportsNoTimesWithoutRequests() {
    FaultEffect none = FaultEffect.of(eventLog, "s1", 10_000, 12_000);
    assertThat(none.affectedRequests()).isZero();
    assertThat(none.timeToSkipMs()).isNaN();
    assertThat(none.timeToRestoreMs()).isNaN();
  }
}
