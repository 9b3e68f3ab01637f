package hazelspoke.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import ternscale.api.Actions;
import ternscale.api.Balancer;
import ternscale.api.MembersUpdate;
import ternscale.api.Outcome;
import ternscale.api.Outcome.Result;
import ternscale.api.ProbeResult;
import ternscale.api.RequestInfo;
import ternscale.api.Settings;

/** What the core promises to fronts and backs, whatever they and the module do. */
class DispatcherTest {
  private static final long PATIENCE_MS = 60_000;

  /** An attempt is waited for until an eighth of the client's patience is left. */
  private static final long WAITED_MS = (long) (DispatcherFixture.DEADLINE_MS * 7 / 8);

  /**
   * A module that asks for anything at any time, sense or not: attempts of what has ended, two
   * answers, none at all, things of requests that there never were; and that fails now and then.
   */
  private static final class Wild implements Balancer {
    private final Actions actions;
    private final Random random;
    private final List<String> ids = new ArrayList<>();

    Wild(Actions actions, long seed) {
      this.actions = actions;
      random = new Random(seed);
    }

    private void act() {
      int n = random.nextInt(3);
      for (int i = 0; i < n; i++) {
        int back = Math.min(ids.size(), 3);
        String id = back == 0 ? "none" : ids.get(ids.size() - 1 - random.nextInt(back));
        switch (random.nextInt(11)) {
          case 0, 1, 2, 3 -> actions.send(id, "h", random.nextBoolean() ? 0 : 40);
          case 4 -> actions.reject(id, 5);
          case 5 -> actions.fail(id);
          case 6 -> actions.cancel(id, random.nextInt(3));
          case 7 -> actions.probe("h");
          case 8 -> actions.setTimer(random.nextInt(9), 10);
          case 9 -> throw new IllegalStateException("a module with a bug");
          default -> actions.closeIdle("h");
        }
      }
    }

    @Override
    public void onMembers(double now, MembersUpdate update) {
      act();
    }

    @Override
    public void onRequest(double now, RequestInfo request) {
      ids.add(request.id());
      act();
    }

    @Override
    public void onClientDisconnected(double now, String requestId) {
      act();
    }

    @Override
    public void onOutcome(double now, Outcome outcome) {
      act();
    }

    @Override
    public void onResponseStarted(double now, String requestId, int attempt, String host) {}

    @Override
    public void onTimer(double now, long timer) {
      act();
    }

    @Override
    public void onProbeResult(double now, ProbeResult result) {
      act();
    }

    @Override
    public void onPeerMessage(double now, int sender, String data) {}

    @Override
    public void onSettings(double now, Settings settings) {}

    @Override
    public int usableHosts(double now) {
      return 0;
    }

    @Override
    public void close() {}
  }

  /** Sends each request once, and hears of it; an error fails it. */
  static class Plain implements Balancer {
    final Actions actions;
    final List<Outcome> outcomes = new ArrayList<>();

    Plain(Actions actions) {
      this.actions = actions;
    }

    @Override
    public void onMembers(double now, MembersUpdate update) {}

    @Override
    public void onRequest(double now, RequestInfo request) {
      actions.send(request.id(), "h", 0);
    }

    @Override
    public void onClientDisconnected(double now, String requestId) {}

    @Override
    public void onOutcome(double now, Outcome outcome) {
      outcomes.add(outcome);
      if (!outcome.requestEnded()) {
        actions.fail(outcome.requestId());
      }
    }

    @Override
    public void onResponseStarted(double now, String requestId, int attempt, String host) {}

    @Override
    public void onTimer(double now, long timer) {}

    @Override
    public void onProbeResult(double now, ProbeResult result) {}

    @Override
    public void onPeerMessage(double now, int sender, String data) {}

    @Override
    public void onSettings(double now, Settings settings) {}

    @Override
    public int usableHosts(double now) {
      return 0;
    }

    @Override
    public void close() {}
  }

  @Property(tries = 1_000, seed = "1")
  void everyRequestGetsOneAnswerInTimeAndNothingStaysWhateverHappens(
      @ForAll long seed,
      @ForAll @Size(max = 300) List<@IntRange(min = 0, max = 999) Integer> steps) {
    DispatcherFixture rig = new DispatcherFixture(20, actions -> new Wild(actions, seed));
    List<DispatcherFixture.RecordingClient> askers = new ArrayList<>();
    for (int step : steps) {
      int what = step % 10;
      int which = step / 10;
      if (what < 3) {
        askers.add(rig.ask());
      } else if (what == 3 && !askers.isEmpty()) {
        DispatcherFixture.RecordingClient asker = askers.get(which % askers.size());
        if (asker.answers.isEmpty()) {
          rig.leave(asker);
        }
      } else if (what < 7 && !rig.calls.isEmpty()) {
        DispatcherFixture.Call call = rig.calls.get(which % rig.calls.size());
        if (what == 4) {
          call.write();
        } else {
          Result[] results = Result.values();
          call.end(what == 5 ? Result.OK : results[which % results.length]);
        }
      } else if (what == 7) {
        rig.turn();
      } else {
        rig.pass(which % 60);
      }
      checkAnswers(askers);
    }
    int written = rig.written.size();
    rig.pass((long) DispatcherFixture.DEADLINE_MS + 40);
    checkAnswers(askers);
    for (DispatcherFixture.RecordingClient asker : askers) {
      assertThat(asker.answers).hasSize(asker.gone ? 0 : 1);
      assertThat(rig.dispatcher.isOpen(asker.request.txn())).isFalse();
    }
    assertThat(rig.remaining).allMatch(ms -> ms >= 0 && ms <= DispatcherFixture.DEADLINE_MS);
    assertThat(rig.written).hasSize(written);
    // Calls that the module never took back end late; nobody is told, and what they hold goes.
    List.copyOf(rig.calls).forEach(call -> call.end(Result.OK));
    rig.pass(400);
    List.copyOf(rig.calls).forEach(call -> call.end(Result.ERROR));
    rig.pass(400);
    checkAnswers(askers);
    assertThat(rig.bodies.usedBytes()).as("bodies").isZero();
    assertThat(rig.answers.usedBytes()).as("answers").isZero();
  }

  private static void checkAnswers(List<DispatcherFixture.RecordingClient> askers) {
    for (DispatcherFixture.RecordingClient asker : askers) {
      assertThat(asker.answers).hasSizeLessThanOrEqualTo(asker.gone ? 0 : 1);
    }
  }

  /** Long before their deadlines: what is kept is in proportion to what is open. */
  @Test
  void nothingOfTenThousandAnsweredRequestsCanBeReached() throws Exception {
    DispatcherFixture rig = new DispatcherFixture(100, Plain::new);
    List<WeakReference<?>> left = new ArrayList<>();
    for (int i = 0; i < 10_000; i++) {
      DispatcherFixture.RecordingClient asker = rig.ask();
      left.add(new WeakReference<>(asker));
      left.add(new WeakReference<>(asker.exchange));
      left.add(new WeakReference<>(asker.request));
      left.add(new WeakReference<>(rig.calls.get(0).call));
      Result result = i % 3 == 0 ? Result.ERROR : Result.OK;
      rig.calls.get(0).end(result);
      assertThat(asker.answers).hasSize(1);
      rig.turn();
      rig.written.clear();
    }
    awaitCleared(left);
    assertThat(rig.dispatcher.retainedCount()).isZero();
  }

  /** The client has gone, the host has not answered: only the attempt's account is kept. */
  @Test
  void ofARequestWhoseAttemptIsStillOutOnlyItsAccountIsKept() throws Exception {
    Plain[] module = new Plain[1];
    DispatcherFixture rig = new DispatcherFixture(100, actions -> module[0] = new Plain(actions));
    DispatcherFixture.RecordingClient asker = rig.ask();
    rig.calls.get(0).write();
    rig.written.clear();
    List<WeakReference<?>> left = new ArrayList<>();
    left.add(new WeakReference<>(asker.request));
    left.add(new WeakReference<>(asker));
    rig.leave(asker);
    asker = null;
    awaitCleared(left);
    assertThat(rig.bodies.usedBytes()).isZero();
    rig.calls.get(0).end(Result.OK);
    assertThat(module[0].outcomes).hasSize(1);
    assertThat(module[0].outcomes.get(0).requestEnded()).isTrue();
    assertThat(rig.answers.usedBytes()).isZero();
    assertThat(rig.dispatcher.retainedCount()).isZero();
  }

  @Test
  void aClientThatLeavesInTheTurnOfItsAnswerIsNoTrouble() {
    DispatcherFixture rig = new DispatcherFixture(100, Plain::new);
    DispatcherFixture.RecordingClient asker = rig.ask();
    rig.calls.get(0).end(Result.OK);
    rig.leave(asker);
    rig.turn();
    assertThat(asker.answers).hasSize(1);
    assertThat(rig.bodies.usedBytes()).isZero();
    assertThat(rig.log.toString()).isEmpty();
  }

  /** All deadlines in one millisecond, and the answer of one in the very turn of its time-out. */
  @Test
  void tenThousandWithOneDeadlineAreEachAnsweredOnce() {
    DispatcherFixture rig = new DispatcherFixture(10_000, Plain::new);
    List<DispatcherFixture.RecordingClient> askers = new ArrayList<>();
    for (int i = 0; i < 10_000; i++) {
      askers.add(rig.ask());
    }
    rig.pass(WAITED_MS - 1);
    assertThat(askers).allMatch(asker -> asker.answers.isEmpty());
    rig.ticker.advanceMillis(1);
    rig.calls.get(9_999).end(Result.OK);
    rig.turn();
    rig.pass(1);
    assertThat(askers).allMatch(asker -> asker.answers.size() == 1);
    assertThat(askers.get(9_999).answers.get(0).outcome()).isEqualTo(Answer.Outcome.SERVED);
    assertThat(askers.get(0).answers.get(0)).matches(Answer::deadlineExceeded);
    assertThat(rig.dispatcher.retainedCount()).isZero();
  }

  /** A client that is told at its deadline has stopped listening when that comes. */
  @Test
  void whatAHostDoesNotAnswerIsGivenUpWhileTheClientStillListens() {
    DispatcherFixture rig = new DispatcherFixture(100, Plain::new);
    DispatcherFixture.RecordingClient asker = rig.ask();
    rig.calls.get(0).write();
    assertThat(rig.remaining).containsExactly((double) WAITED_MS);
    rig.pass(WAITED_MS - 1);
    assertThat(asker.answers).isEmpty();
    rig.pass(1);
    assertThat(asker.answers).hasSize(1);
    assertThat(asker.answers.get(0)).matches(Answer::deadlineExceeded);
    assertThat(rig.calls).isEmpty();
  }

  /** Of an attempt that begins later still, half of what is left is its host's. */
  @Test
  void aLateAttemptHasHalfOfWhatIsLeft() {
    DispatcherFixture rig =
        new DispatcherFixture(
            100,
            actions ->
                new Plain(actions) {
                  @Override
                  public void onRequest(double now, RequestInfo request) {
                    actions.setTimer(
                        Long.parseLong(request.id()), DispatcherFixture.DEADLINE_MS - 40);
                  }

                  @Override
                  public void onTimer(double now, long timer) {
                    actions.send(Long.toString(timer), "h", 0);
                  }
                });
    DispatcherFixture.RecordingClient asker = rig.ask();
    rig.pass((long) DispatcherFixture.DEADLINE_MS - 40);
    assertThat(rig.calls).hasSize(1);
    rig.pass(19);
    assertThat(asker.answers).isEmpty();
    rig.pass(1);
    assertThat(asker.answers).hasSize(1);
  }

  /** A stalled loop reads its sockets before its timers fire. */
  @Test
  void whoseTimeIsOverIsAnsweredBeforeWhatIsReadBehindAStall() {
    DispatcherFixture rig = new DispatcherFixture(100, Plain::new);
    DispatcherFixture.RecordingClient overdue = rig.ask();
    rig.ticker.advanceMillis((long) DispatcherFixture.DEADLINE_MS + 200);
    rig.ask();
    assertThat(overdue.answers).hasSize(1);
  }

  /** An answer that lies unread may still come in time. */
  @Test
  void whoseTimeMayNotBeOverIsNotAnsweredForAnother() {
    DispatcherFixture rig = new DispatcherFixture(100, Plain::new);
    DispatcherFixture.RecordingClient early = rig.ask();
    rig.ticker.advanceMillis((long) DispatcherFixture.DEADLINE_MS - 10);
    rig.ask();
    assertThat(early.answers).isEmpty();
    rig.calls.get(0).end(Result.OK);
    assertThat(early.answers).hasSize(1);
    assertThat(early.answers.get(0).outcome()).isEqualTo(Answer.Outcome.SERVED);
  }

  @Test
  void beyondTheCapAllAreRefusedAtOnce() {
    DispatcherFixture rig = new DispatcherFixture(2, Plain::new);
    rig.ask();
    rig.ask();
    assertThat(rig.ask().answers.get(0).outcome()).isEqualTo(Answer.Outcome.REFUSED);
    rig.calls.get(0).end(Result.OK);
    assertThat(rig.ask().answers).isEmpty();
  }

  /** Each reason has its own cause here, and an answer in time has none. */
  @Test
  void anAnswerThatLeavesLateSaysWhy() {
    DispatcherFixture rig = new DispatcherFixture(100, Plain::new);
    DispatcherFixture.RecordingClient inTime = rig.ask();
    rig.calls.get(0).end(Result.OK);
    rig.dispatcher.onAnswerWritten(inTime.exchange);
    assertThat(rig.log.toString()).isEmpty();

    DispatcherFixture.RecordingClient unread = rig.ask();
    rig.calls.get(0).end(Result.OK);
    rig.pass((long) DispatcherFixture.DEADLINE_MS + 700);
    rig.dispatcher.onAnswerWritten(unread.exchange);
    assertThat(rig.log.toString()).contains("left 700 ms after", LateAnswer.UNREAD.description());

    rig.log.reset();
    DispatcherFixture.RecordingClient stalled = rig.ask();
    rig.ticker.advanceMillis((long) DispatcherFixture.DEADLINE_MS + 500);
    rig.turn();
    assertThat(stalled.answers).hasSize(1);
    rig.dispatcher.onAnswerWritten(stalled.exchange);
    assertThat(rig.log.toString())
        .contains("left 500 ms after", LateAnswer.STOOD_STILL.description());

    rig.log.reset();
    DispatcherFixture.RecordingClient shared = rig.ask();
    rig.ticker.advanceMillis(60);
    rig.turn();
    rig.pass((long) DispatcherFixture.DEADLINE_MS + 600);
    rig.dispatcher.onAnswerWritten(shared.exchange);
    assertThat(rig.log.toString()).as("60 ms explain none of 660").contains("did not take it");
  }

  @Test
  void whatTheModuleForgetsIsEndedRightAfterItsDeadlineAndSaidOnceItLeaves() {
    DispatcherFixture rig =
        new DispatcherFixture(
            100,
            actions ->
                new Plain(actions) {
                  @Override
                  public void onRequest(double now, RequestInfo request) {}
                });
    DispatcherFixture.RecordingClient forgotten = rig.ask();
    rig.pass((long) (DispatcherFixture.DEADLINE_MS + Dispatcher.OVERDUE_GRACE_MS) + 1);
    assertThat(forgotten.answers).hasSize(1);
    rig.dispatcher.onAnswerWritten(forgotten.exchange);
    assertThat(rig.log.toString()).contains("was left without an answer").doesNotContain("left 1");
    rig.pass(200);
    rig.dispatcher.onAnswerWritten(forgotten.exchange);
    assertThat(rig.log.toString()).contains(LateAnswer.LEFT_OPEN.description());
  }

  private static void awaitCleared(List<WeakReference<?>> left) throws InterruptedException {
    long end = System.nanoTime() + PATIENCE_MS * 1_000_000;
    while (left.stream().anyMatch(reference -> reference.get() != null)) {
      assertThat(System.nanoTime())
          .as(
              "%s is still reachable",
              left.stream().map(WeakReference::get).filter(o -> o != null).findFirst())
          .isLessThan(end);
      System.gc();
      Thread.sleep(20);
    }
  }
}
