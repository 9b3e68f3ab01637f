package hazelspoke.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The process has to have answered everything by a time that is sooner than the deadlines. */
class ShutdownDeadlineTest {
  private static final long LEFT_MS = 200;

  private final DispatcherFixture rig = new DispatcherFixture(10, DispatcherTest.Plain::new);

  private void end() {
    rig.dispatcher.setShutdownDeadline(rig.clock.nowMs() + LEFT_MS);
  }

  @Test
  void whatIsInHandIsAnsweredByThen() {
    DispatcherFixture.RecordingClient asker = rig.ask();
    rig.turn();
    rig.calls.get(0).write();
    end();
    rig.pass(LEFT_MS + (long) Dispatcher.OVERDUE_GRACE_MS + 1);
    assertThat(asker.answers).hasSize(1);
    assertThat(asker.answers.get(0).outcome()).isEqualTo(Answer.Outcome.FAILED);
  }

  @Test
  void noHostIsToldThatThereIsMoreTime() {
    end();
    rig.ask();
    rig.turn();
    rig.calls.get(0).write();
    assertThat(rig.remaining).hasSize(1);
    assertThat(rig.remaining.get(0)).isPositive().isLessThanOrEqualTo(LEFT_MS);
  }

  @Test
  void whatComesWhenItIsOverIsNotSentOn() {
    end();
    rig.pass(LEFT_MS);
    DispatcherFixture.RecordingClient late = rig.ask();
    rig.pass(2 * (long) Dispatcher.OVERDUE_GRACE_MS);
    assertThat(rig.written).isEmpty();
    assertThat(late.answers).hasSize(1);
  }
}
