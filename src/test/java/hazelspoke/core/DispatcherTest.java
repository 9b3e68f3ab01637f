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

/** The guarantees of the core to front ends and back ends, whatever they and the balancer do. */
class DispatcherTest {
  private static final long TIMEOUT_MS = 60_000;

  /** An attempt times out when an eighth of the client's deadline is left. */
  private static final long ATTEMPT_TIMEOUT_MS = (long) (DispatcherFixture.DEADLINE_MS * 7 / 8);

  /**
   * A balancer that calls random actions, valid or not: attempts of ended or unknown requests, two
   * answers or none; and that throws at random.
   */
  private static final class RandomBalancer implements Balancer {
    private final Actions actions;
    private final Random random;
    private final List<String> ids = new ArrayList<>();

    RandomBalancer(Actions actions, long seed) {
      this.actions = actions;
      random = new Random(seed);
    }

    private void act() {
      int n = random.nextInt(3);
      for (int i = 0; i < n; i++) {
        int candidates = Math.min(ids.size(), 3);
        String id = candidates == 0 ? "none" : ids.get(ids.size() - 1 - random.nextInt(candidates));
        switch (random.nextInt(11)) {
          case 0, 1, 2, 3 -> actions.send(id, "h", random.nextBoolean() ? 0 : 40);
          case 4 -> actions.reject(id, 5);
          case 5 -> actions.fail(id);
          case 6 -> actions.cancel(id, random.nextInt(3));
          case 7 -> actions.probe("h");
          case 8 -> actions.setTimer(random.nextInt(9), 10);
          case 9 -> throw new IllegalStateException("injected failure");
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

  /** Sends each request once and records its outcome; fails the request unless it has ended. */
  static class SingleAttemptBalancer implements Balancer {
    final Actions actions;
    final List<Outcome> outcomes = new ArrayList<>();

    SingleAttemptBalancer(Actions actions) {
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
  void answersEachRequestOnceInTimeAndReleasesItWhateverTheBalancerDoes(
      @ForAll long seed,
      @ForAll @Size(max = 300) List<@IntRange(min = 0, max = 999) Integer> steps) {
    DispatcherFixture fixture =
        new DispatcherFixture(20, actions -> new RandomBalancer(actions, seed));
    List<DispatcherFixture.RecordingClient> clients = new ArrayList<>();
    for (int step : steps) {
      int action = step % 10;
      int selector = step / 10;
      if (action < 3) {
        clients.add(fixture.sendRequest());
      } else if (action == 3 && !clients.isEmpty()) {
        DispatcherFixture.RecordingClient client = clients.get(selector % clients.size());
        if (client.answers.isEmpty()) {
          fixture.disconnect(client);
        }
      } else if (action < 7 && !fixture.calls.isEmpty()) {
        DispatcherFixture.Call call = fixture.calls.get(selector % fixture.calls.size());
        if (action == 4) {
          call.write();
        } else {
          Result[] results = Result.values();
          call.end(action == 5 ? Result.OK : results[selector % results.length]);
        }
      } else if (action == 7) {
        fixture.runLoop();
      } else {
        fixture.advance(selector % 60);
      }
      checkAnswers(clients);
    }
    int written = fixture.written.size();
    fixture.advance((long) DispatcherFixture.DEADLINE_MS + 40);
    checkAnswers(clients);
    for (DispatcherFixture.RecordingClient client : clients) {
      assertThat(client.answers).hasSize(client.disconnected ? 0 : 1);
      assertThat(fixture.dispatcher.isTaken(client.request.txn())).isFalse();
    }
    assertThat(fixture.remainingTimesMs)
        .allMatch(ms -> ms >= 0 && ms <= DispatcherFixture.DEADLINE_MS);
    assertThat(fixture.written).hasSize(written);
    // Calls that the balancer never cancelled end late; nobody is notified, and their bytes are
    // released.
    List.copyOf(fixture.calls).forEach(call -> call.end(Result.OK));
    fixture.advance(400);
    List.copyOf(fixture.calls).forEach(call -> call.end(Result.ERROR));
    fixture.advance(400);
    checkAnswers(clients);
    assertThat(fixture.requestBudget.usedBytes()).as("request bodies").isZero();
    assertThat(fixture.responseBudget.usedBytes()).as("response bodies").isZero();
  }

  private static void checkAnswers(List<DispatcherFixture.RecordingClient> clients) {
    for (DispatcherFixture.RecordingClient client : clients) {
      assertThat(client.answers).hasSizeLessThanOrEqualTo(client.disconnected ? 0 : 1);
    }
  }

  /**
   * Checked long before their deadlines: the retained memory is proportional to the open requests.
   */
  @Test
  void keepsNoReferenceToAnsweredRequests() throws Exception {
    DispatcherFixture fixture = new DispatcherFixture(100, SingleAttemptBalancer::new);
    List<WeakReference<?>> references = new ArrayList<>();
    for (int i = 0; i < 10_000; i++) {
      DispatcherFixture.RecordingClient client = fixture.sendRequest();
      references.add(new WeakReference<>(client));
      references.add(new WeakReference<>(client.exchange));
      references.add(new WeakReference<>(client.request));
      references.add(new WeakReference<>(fixture.calls.get(0).call));
      Result result = i % 3 == 0 ? Result.ERROR : Result.OK;
      fixture.calls.get(0).end(result);
      assertThat(client.answers).hasSize(1);
      fixture.runLoop();
      fixture.written.clear();
    }
    awaitCleared(references);
    assertThat(fixture.dispatcher.retainedCount()).isZero();
  }

  /**
   * The client has disconnected and the host has not responded: only what is needed to report the
   * attempt's outcome is kept.
   */
  @Test
  void releasesRequestOfDisconnectedClientWhileAttemptIsInFlight() throws Exception {
    SingleAttemptBalancer[] balancer = new SingleAttemptBalancer[1];
    DispatcherFixture fixture =
        new DispatcherFixture(100, actions -> balancer[0] = new SingleAttemptBalancer(actions));
    DispatcherFixture.RecordingClient client = fixture.sendRequest();
    fixture.calls.get(0).write();
    fixture.written.clear();
    List<WeakReference<?>> references = new ArrayList<>();
    references.add(new WeakReference<>(client.request));
    references.add(new WeakReference<>(client));
    fixture.disconnect(client);
    client = null;
    awaitCleared(references);
    assertThat(fixture.requestBudget.usedBytes()).isZero();
    fixture.calls.get(0).end(Result.OK);
    assertThat(balancer[0].outcomes).hasSize(1);
    assertThat(balancer[0].outcomes.get(0).requestEnded()).isTrue();
    assertThat(fixture.responseBudget.usedBytes()).isZero();
    assertThat(fixture.dispatcher.retainedCount()).isZero();
  }

  @Test
  void ignoresDisconnectInTheIterationOfTheAnswer() {
    DispatcherFixture fixture = new DispatcherFixture(100, SingleAttemptBalancer::new);
    DispatcherFixture.RecordingClient client = fixture.sendRequest();
    fixture.calls.get(0).end(Result.OK);
    fixture.disconnect(client);
    fixture.runLoop();
    assertThat(client.answers).hasSize(1);
    assertThat(fixture.requestBudget.usedBytes()).isZero();
    assertThat(fixture.log.toString()).isEmpty();
  }

  /** All deadlines in the same millisecond, and one response in the iteration of its timeout. */
  @Test
  void answersTenThousandRequestsWithTheSameDeadlineOnceEach() {
    DispatcherFixture fixture = new DispatcherFixture(10_000, SingleAttemptBalancer::new);
    List<DispatcherFixture.RecordingClient> clients = new ArrayList<>();
    for (int i = 0; i < 10_000; i++) {
      clients.add(fixture.sendRequest());
    }
    fixture.advance(ATTEMPT_TIMEOUT_MS - 1);
    assertThat(clients).allMatch(client -> client.answers.isEmpty());
    fixture.ticker.advanceMillis(1);
    fixture.calls.get(9_999).end(Result.OK);
    fixture.runLoop();
    fixture.advance(1);
    assertThat(clients).allMatch(client -> client.answers.size() == 1);
    assertThat(clients.get(9_999).answers.get(0).outcome()).isEqualTo(Answer.Outcome.SERVED);
    assertThat(clients.get(0).answers.get(0)).matches(Answer::deadlineExceeded);
    assertThat(fixture.dispatcher.retainedCount()).isZero();
  }

  /** An answer that is sent only at the deadline arrives after the client has stopped waiting. */
  @Test
  void timesOutAttemptBeforeTheClientDeadline() {
    DispatcherFixture fixture = new DispatcherFixture(100, SingleAttemptBalancer::new);
    DispatcherFixture.RecordingClient client = fixture.sendRequest();
    fixture.calls.get(0).write();
    assertThat(fixture.remainingTimesMs).containsExactly((double) ATTEMPT_TIMEOUT_MS);
    fixture.advance(ATTEMPT_TIMEOUT_MS - 1);
    assertThat(client.answers).isEmpty();
    fixture.advance(1);
    assertThat(client.answers).hasSize(1);
    assertThat(client.answers.get(0)).matches(Answer::deadlineExceeded);
    assertThat(fixture.calls).isEmpty();
  }

  /** An attempt that starts within the reserve gets half of the remaining time. */
  @Test
  void givesLateAttemptHalfOfTheRemainingTime() {
    DispatcherFixture fixture =
        new DispatcherFixture(
            100,
            actions ->
                new SingleAttemptBalancer(actions) {
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
    DispatcherFixture.RecordingClient client = fixture.sendRequest();
    fixture.advance((long) DispatcherFixture.DEADLINE_MS - 40);
    assertThat(fixture.calls).hasSize(1);
    fixture.advance(19);
    assertThat(client.answers).isEmpty();
    fixture.advance(1);
    assertThat(client.answers).hasSize(1);
  }

  /** After a stall the loop reads its sockets before its timers fire. */
  @Test
  void answersOverdueRequestBeforeNewOnesAfterStall() {
    DispatcherFixture fixture = new DispatcherFixture(100, SingleAttemptBalancer::new);
    DispatcherFixture.RecordingClient overdueClient = fixture.sendRequest();
    fixture.ticker.advanceMillis((long) DispatcherFixture.DEADLINE_MS + 200);
    fixture.sendRequest();
    assertThat(overdueClient.answers).hasSize(1);
  }

  /** A response that has not been read yet may still be in time. */
  @Test
  void keepsRequestOpenUntilItsDeadlineWhenAnotherArrives() {
    DispatcherFixture fixture = new DispatcherFixture(100, SingleAttemptBalancer::new);
    DispatcherFixture.RecordingClient earlyClient = fixture.sendRequest();
    fixture.ticker.advanceMillis((long) DispatcherFixture.DEADLINE_MS - 10);
    fixture.sendRequest();
    assertThat(earlyClient.answers).isEmpty();
    fixture.calls.get(0).end(Result.OK);
    assertThat(earlyClient.answers).hasSize(1);
    assertThat(earlyClient.answers.get(0).outcome()).isEqualTo(Answer.Outcome.SERVED);
  }

  @Test
  void refusesRequestsBeyondTheCap() {
    DispatcherFixture fixture = new DispatcherFixture(2, SingleAttemptBalancer::new);
    fixture.sendRequest();
    fixture.sendRequest();
    assertThat(fixture.sendRequest().answers.get(0).outcome()).isEqualTo(Answer.Outcome.REFUSED);
    fixture.calls.get(0).end(Result.OK);
    assertThat(fixture.sendRequest().answers).isEmpty();
  }

  /** Each reason is caused once here; an answer in time has none. */
  @Test
  void logsReasonOfLateAnswer() {
    DispatcherFixture fixture = new DispatcherFixture(100, SingleAttemptBalancer::new);
    DispatcherFixture.RecordingClient inTimeClient = fixture.sendRequest();
    fixture.calls.get(0).end(Result.OK);
    fixture.dispatcher.onAnswerWritten(inTimeClient.exchange, 0);
    assertThat(fixture.log.toString()).isEmpty();

    DispatcherFixture.RecordingClient slowClient = fixture.sendRequest();
    fixture.calls.get(0).end(Result.OK);
    fixture.advance((long) DispatcherFixture.DEADLINE_MS + 700);
    fixture.dispatcher.onAnswerWritten(slowClient.exchange, 700);
    assertThat(fixture.log.toString())
        .contains("left 700 ms after", LateAnswer.UNREAD.description());

    fixture.log.reset();
    DispatcherFixture.RecordingClient streamClient = fixture.sendRequest();
    fixture.calls.get(0).end(Result.OK);
    fixture.advance((long) DispatcherFixture.DEADLINE_MS + 700);
    fixture.dispatcher.onAnswerWritten(streamClient.exchange, 0);
    assertThat(fixture.log.toString())
        .contains("left 700 ms after", LateAnswer.STREAMED.description());

    fixture.log.reset();
    DispatcherFixture.RecordingClient stalledClient = fixture.sendRequest();
    fixture.ticker.advanceMillis((long) DispatcherFixture.DEADLINE_MS + 500);
    fixture.runLoop();
    assertThat(stalledClient.answers).hasSize(1);
    fixture.dispatcher.onAnswerWritten(stalledClient.exchange, 0);
    assertThat(fixture.log.toString())
        .contains("left 500 ms after", LateAnswer.STOOD_STILL.description());

    fixture.log.reset();
    DispatcherFixture.RecordingClient secondSlowClient = fixture.sendRequest();
    fixture.ticker.advanceMillis(60);
    fixture.runLoop();
    fixture.advance((long) DispatcherFixture.DEADLINE_MS + 600);
    fixture.dispatcher.onAnswerWritten(secondSlowClient.exchange, 1_500);
    assertThat(fixture.log.toString())
        .as("a lag of 60 ms does not explain a delay of 660 ms")
        .contains("did not take it");
  }

  @Test
  void failsRequestForgottenByTheBalancerAfterItsDeadline() {
    DispatcherFixture fixture =
        new DispatcherFixture(
            100,
            actions ->
                new SingleAttemptBalancer(actions) {
                  @Override
                  public void onRequest(double now, RequestInfo request) {}
                });
    DispatcherFixture.RecordingClient client = fixture.sendRequest();
    fixture.advance((long) (DispatcherFixture.DEADLINE_MS + Dispatcher.OVERDUE_GRACE_MS) + 1);
    assertThat(client.answers).hasSize(1);
    fixture.dispatcher.onAnswerWritten(client.exchange, 0);
    assertThat(fixture.log.toString())
        .contains("was left without an answer")
        .doesNotContain("left 1");
    fixture.advance(200);
    fixture.dispatcher.onAnswerWritten(client.exchange, 0);
    assertThat(fixture.log.toString()).contains(LateAnswer.LEFT_OPEN.description());
  }

  private static void awaitCleared(List<WeakReference<?>> references) throws InterruptedException {
    long endNanos = System.nanoTime() + TIMEOUT_MS * 1_000_000;
    while (references.stream().anyMatch(reference -> reference.get() != null)) {
      assertThat(System.nanoTime())
          .as(
              "%s is still reachable",
              references.stream().map(WeakReference::get).filter(o -> o != null).findFirst())
          .isLessThan(endNanos);
      System.gc();
      Thread.sleep(20);
    }
  }
}
