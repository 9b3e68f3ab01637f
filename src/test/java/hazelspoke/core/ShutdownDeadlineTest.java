package hazelspoke.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** During shutdown all requests must be answered before their own deadlines. */
class ShutdownDeadlineTest {
  private static final long SHUTDOWN_MS = 200;

  private final DispatcherFixture fixture =
      new DispatcherFixture(10, DispatcherTest.SingleAttemptBalancer::new);

  private void beginShutdown() {
    fixture.dispatcher.setShutdownDeadline(fixture.clock.nowMs() + SHUTDOWN_MS);
  }

  @Test
  void failsOpenRequestsByTheShutdownDeadline() {
    DispatcherFixture.RecordingClient client = fixture.sendRequest();
    fixture.runLoop();
    fixture.calls.get(0).write();
    beginShutdown();
    fixture.advance(SHUTDOWN_MS + (long) Dispatcher.OVERDUE_GRACE_MS + 1);
    assertThat(client.answers).hasSize(1);
    assertThat(client.answers.get(0).outcome()).isEqualTo(Answer.Outcome.FAILED);
  }

  @Test
  void reportsNoMoreThanTheShutdownTimeToHosts() {
    beginShutdown();
    fixture.sendRequest();
    fixture.runLoop();
    fixture.calls.get(0).write();
    assertThat(fixture.remainingTimesMs).hasSize(1);
    assertThat(fixture.remainingTimesMs.get(0)).isPositive().isLessThanOrEqualTo(SHUTDOWN_MS);
  }

  @Test
  void doesNotForwardRequestsAfterTheShutdownDeadline() {
    beginShutdown();
    fixture.advance(SHUTDOWN_MS);
    DispatcherFixture.RecordingClient lateClient = fixture.sendRequest();
    fixture.advance(2 * (long) Dispatcher.OVERDUE_GRACE_MS);
    assertThat(fixture.written).isEmpty();
    assertThat(lateClient.answers).hasSize(1);
  }
}
