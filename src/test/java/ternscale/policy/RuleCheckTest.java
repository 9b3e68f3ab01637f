package ternscale.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ternscale.api.Actions;
import ternscale.api.HostEntry;
import ternscale.api.HostEntry.Availability;
import ternscale.api.MembersUpdate;
import ternscale.api.Outcome;
import ternscale.api.Outcome.Result;
import ternscale.api.RequestInfo;
import ternscale.api.Settings;
import ternscale.api.Settings.DedupScope;
import ternscale.api.Settings.Discovery;
import ternscale.api.Settings.Effect;
import ternscale.api.Settings.RequestClass;

/** Sends random valid events to the balancer and checks every action against the rules. */
class RuleCheckTest {
  private static final Settings SETTINGS =
      FakeGateway.settings(
          Discovery.PUSHED,
          FakeGateway.requestClass(Effect.REPEATABLE, DedupScope.ALL),
          FakeGateway.requestClass(Effect.BY_KEY, DedupScope.ZONE),
          FakeGateway.requestClass(Effect.ONCE, DedupScope.ALL));

  private static final class Attempt {
    final HostEntry host;
    final double sentAt;
    Result result;

    Attempt(HostEntry host, double sentAt) {
      this.host = host;
      this.sentAt = sentAt;
    }

    boolean mayHaveRun() {
      return result == null || !result.neverRan();
    }
  }

  private static final class TrackedRequest {
    final RequestInfo info;
    final List<Attempt> attempts = new ArrayList<>();
    boolean answered;

    TrackedRequest(RequestInfo info) {
      this.info = info;
    }

    RequestClass requestClass() {
      return SETTINGS.classes().get(info.requestClass());
    }
  }

  private static final class Checker implements Actions {
    final Map<String, HostEntry> listedHosts = new HashMap<>();
    final Map<String, TrackedRequest> requests = new HashMap<>();
    final List<TrackedRequest> openRequests = new ArrayList<>();
    final List<String> actions = new ArrayList<>();
    final List<double[]> timers = new ArrayList<>();
    double now = 5_000;

    @Override
    public void send(String requestId, String host, double timeoutMs) {
      actions.add("send " + requestId + " " + host);
      TrackedRequest r = requests.get(requestId);
      HostEntry h = listedHosts.get(host);
      assertThat(r.answered).as("final response before this send").isFalse();
      assertThat(now).isLessThan(r.info.deadline());
      assertThat(r.attempts.size()).isLessThan(SETTINGS.limits().maxAttempts());
      assertThat(h.availability()).isEqualTo(Availability.UP);
      for (Attempt t : r.attempts) {
        if (t.mayHaveRun() && r.requestClass().effect() != Effect.REPEATABLE) {
          assertThat(r.requestClass().effect()).isEqualTo(Effect.BY_KEY);
          assertThat(h.zone()).isEqualTo(t.host.zone());
          assertThat(now - t.sentAt).isLessThan(r.requestClass().dedupWindowMs());
        }
      }
      r.attempts.add(new Attempt(h, now));
    }

    private void recordFinalResponse(String requestId) {
      TrackedRequest r = requests.get(requestId);
      assertThat(r.answered).as("second final response").isFalse();
      assertThat(now).isLessThanOrEqualTo(r.info.deadline() + SETTINGS.rules().responseGraceMs());
      r.answered = true;
    }

    @Override
    public void reject(String requestId, double retryAfterMs) {
      actions.add("refuse " + requestId);
      TrackedRequest r = requests.get(requestId);
      if (r.requestClass().effect() != Effect.REPEATABLE) {
        assertThat(r.attempts).noneMatch(Attempt::mayHaveRun);
      }
      recordFinalResponse(requestId);
    }

    @Override
    public void fail(String requestId) {
      actions.add("fail " + requestId);
      recordFinalResponse(requestId);
    }

    @Override
    public void cancel(String requestId, int attempt) {
      actions.add("cancel " + requestId + " " + attempt);
      assertThat(requests.get(requestId).attempts).hasSizeGreaterThan(attempt);
    }

    @Override
    public void setTimer(long timer, double delayMs) {
      timers.add(new double[] {now + delayMs, timer});
    }

    @Override
    public void probe(String host) {}

    @Override
    public void closeIdle(String host) {}

    @Override
    public void poll() {}

    @Override
    public void watch(boolean on) {}

    @Override
    public void sendToPeer(int peer, String data) {}

    @Override
    public void log(String line) {}
  }

  private static List<String> simulate(long seed) {
    Random random = new Random(seed);
    Checker c = new Checker();
    LcStarBalancer balancer = new LcStarBalancer(SETTINGS, seed, c.now, c);
    for (int i = 0; i < 12; i++) {
      updateHost(c, balancer, random, i);
    }
    int ids = 0;
    for (int step = 0; step < 6_000; step++) {
      c.now += random.nextInt(12);
      runDueEvents(c, balancer);
      int choice = random.nextInt(100);
      if (choice < 45) {
        RequestInfo info =
            new RequestInfo(
                "q" + ids++,
                random.nextInt(3),
                0,
                c.now + 300 + random.nextInt(1_500),
                1 + random.nextInt(random.nextInt(20) == 0 ? 900 : 40),
                "k" + random.nextInt(9),
                false,
                false);
        TrackedRequest r = new TrackedRequest(info);
        c.requests.put(info.id(), r);
        c.openRequests.add(r);
        balancer.onRequest(c.now, info);
      } else if (choice < 95) {
        endRandomAttempt(c, balancer, random);
      } else if (choice < 97) {
        updateHost(c, balancer, random, random.nextInt(14));
      } else if (!c.openRequests.isEmpty()) {
        TrackedRequest r = c.openRequests.get(random.nextInt(c.openRequests.size()));
        if (!r.answered) {
          r.answered = true;
          balancer.onClientDisconnected(c.now, r.info.id());
        }
      }
    }
    c.now += 10_000;
    runDueEvents(c, balancer);
    assertThat(c.requests.values()).allMatch(r -> r.answered);
    return c.actions;
  }

  /** Runs due timers, and times out attempts in flight at the deadline of their request. */
  private static void runDueEvents(Checker c, LcStarBalancer balancer) {
    double until = c.now;
    for (; ; ) {
      double next = until;
      double[] timer = null;
      TrackedRequest expired = null;
      for (double[] t : c.timers) {
        if (t[0] < next) {
          next = t[0];
          timer = t;
        }
      }
      for (TrackedRequest r : c.openRequests) {
        boolean inFlight = r.attempts.stream().anyMatch(t -> t.result == null);
        if (inFlight && r.info.deadline() < next) {
          next = r.info.deadline();
          timer = null;
          expired = r;
        }
      }
      if (timer == null && expired == null) {
        break;
      }
      c.now = next;
      if (timer != null) {
        c.timers.remove(timer);
        balancer.onTimer(c.now, (long) timer[1]);
      } else {
        for (int i = 0; i < expired.attempts.size(); i++) {
          if (expired.attempts.get(i).result == null) {
            endAttempt(c, balancer, expired, i, Result.TIMEOUT);
          }
        }
      }
    }
    c.now = until;
    for (TrackedRequest r : c.openRequests) {
      assertThat(r.answered || r.info.deadline() + 20 >= c.now).as("response in time").isTrue();
    }
    c.openRequests.removeIf(r -> r.answered && r.attempts.stream().allMatch(t -> t.result != null));
  }

  private static void endRandomAttempt(Checker c, LcStarBalancer balancer, Random random) {
    if (c.openRequests.isEmpty()) {
      return;
    }
    TrackedRequest r = c.openRequests.get(random.nextInt(c.openRequests.size()));
    for (int i = 0; i < r.attempts.size(); i++) {
      if (r.attempts.get(i).result == null) {
        Result[] all = {
          Result.OK,
          Result.OK,
          Result.OK,
          Result.OK,
          Result.ERROR,
          Result.REJECTED,
          Result.RESET,
          Result.CONNECT_FAILED,
          Result.TIMEOUT
        };
        endAttempt(c, balancer, r, i, all[random.nextInt(all.length)]);
        return;
      }
    }
  }

  private static void endAttempt(
      Checker c, LcStarBalancer balancer, TrackedRequest r, int i, Result result) {
    Attempt t = r.attempts.get(i);
    t.result = result;
    boolean ended = r.answered || result == Result.OK;
    r.answered = ended;
    balancer.onOutcome(
        c.now,
        new Outcome(r.info.id(), t.host.host(), i, result, c.now - t.sentAt, ended, List.of()));
  }

  private static void updateHost(Checker c, LcStarBalancer balancer, Random random, int i) {
    Availability a = Availability.values()[Math.max(0, random.nextInt(6) - 3)];
    HostEntry e = FakeGateway.host("h" + i, i % 2, a, random.nextInt(3) == 0 ? c.now - 500 : 0);
    c.listedHosts.put(e.host(), e);
    balancer.onMembers(c.now, new MembersUpdate(MembersUpdate.Kind.DELTA, 1, List.of(e)));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void keepsRulesAndIsDeterministic(long seed) {
    List<String> actions = simulate(seed);
    assertThat(actions).hasSizeGreaterThan(2_000);
    assertThat(simulate(seed)).isEqualTo(actions);
  }
}
