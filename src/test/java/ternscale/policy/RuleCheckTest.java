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

/** Plays seeded legal events at the balancer and checks every action against the rules. */
class RuleCheckTest {
  private static final Settings SETTINGS =
      Gateway.settings(
          Discovery.PUSHED,
          Gateway.type(Effect.REPEATABLE, DedupScope.ALL),
          Gateway.type(Effect.BY_KEY, DedupScope.ZONE),
          Gateway.type(Effect.ONCE, DedupScope.ALL));

  private static final class Try {
    final HostEntry host;
    final double sentAt;
    Result result;

    Try(HostEntry host, double sentAt) {
      this.host = host;
      this.sentAt = sentAt;
    }

    boolean mayHaveRun() {
      return result == null || !result.neverRan();
    }
  }

  private static final class Owed {
    final RequestInfo info;
    final List<Try> tries = new ArrayList<>();
    boolean answered;

    Owed(RequestInfo info) {
      this.info = info;
    }

    RequestClass type() {
      return SETTINGS.classes().get(info.requestClass());
    }
  }

  private static final class Checker implements Actions {
    final Map<String, HostEntry> listed = new HashMap<>();
    final Map<String, Owed> requests = new HashMap<>();
    final List<Owed> open = new ArrayList<>();
    final List<String> script = new ArrayList<>();
    final List<double[]> timers = new ArrayList<>();
    double now = 5_000;

    @Override
    public void send(String requestId, String host, double timeoutMs) {
      script.add("send " + requestId + " " + host);
      Owed r = requests.get(requestId);
      HostEntry h = listed.get(host);
      assertThat(r.answered).as("answered before this send").isFalse();
      assertThat(now).isLessThan(r.info.deadline());
      assertThat(r.tries.size()).isLessThan(SETTINGS.limits().maxAttempts());
      assertThat(h.availability()).isEqualTo(Availability.UP);
      for (Try t : r.tries) {
        if (t.mayHaveRun() && r.type().effect() != Effect.REPEATABLE) {
          assertThat(r.type().effect()).isEqualTo(Effect.BY_KEY);
          assertThat(h.zone()).isEqualTo(t.host.zone());
          assertThat(now - t.sentAt).isLessThan(r.type().dedupWindowMs());
        }
      }
      r.tries.add(new Try(h, now));
    }

    private void answer(String requestId) {
      Owed r = requests.get(requestId);
      assertThat(r.answered).as("answered twice").isFalse();
      assertThat(now).isLessThanOrEqualTo(r.info.deadline() + SETTINGS.rules().responseGraceMs());
      r.answered = true;
    }

    @Override
    public void reject(String requestId, double retryAfterMs) {
      script.add("refuse " + requestId);
      Owed r = requests.get(requestId);
      if (r.type().effect() != Effect.REPEATABLE) {
        assertThat(r.tries).noneMatch(Try::mayHaveRun);
      }
      answer(requestId);
    }

    @Override
    public void fail(String requestId) {
      script.add("fail " + requestId);
      answer(requestId);
    }

    @Override
    public void cancel(String requestId, int attempt) {
      script.add("cancel " + requestId + " " + attempt);
      assertThat(requests.get(requestId).tries).hasSizeGreaterThan(attempt);
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

  private static List<String> play(long seed) {
    Random random = new Random(seed);
    Checker c = new Checker();
    LcStarBalancer balancer = new LcStarBalancer(SETTINGS, seed, c.now, c);
    for (int i = 0; i < 12; i++) {
      list(c, balancer, random, i);
    }
    int ids = 0;
    for (int step = 0; step < 6_000; step++) {
      c.now += random.nextInt(12);
      due(c, balancer);
      int what = random.nextInt(100);
      if (what < 45) {
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
        Owed r = new Owed(info);
        c.requests.put(info.id(), r);
        c.open.add(r);
        balancer.onRequest(c.now, info);
      } else if (what < 95) {
        outcome(c, balancer, random);
      } else if (what < 97) {
        list(c, balancer, random, random.nextInt(14));
      } else if (!c.open.isEmpty()) {
        Owed r = c.open.get(random.nextInt(c.open.size()));
        if (!r.answered) {
          r.answered = true;
          balancer.onClientDisconnected(c.now, r.info.id());
        }
      }
    }
    c.now += 10_000;
    due(c, balancer);
    assertThat(c.requests.values()).allMatch(r -> r.answered);
    return c.script;
  }

  /** Deadlines that passed: an attempt still out times out then, cut to the deadline. */
  private static void due(Checker c, LcStarBalancer balancer) {
    double until = c.now;
    for (; ; ) {
      double next = until;
      double[] timer = null;
      Owed late = null;
      for (double[] t : c.timers) {
        if (t[0] < next) {
          next = t[0];
          timer = t;
        }
      }
      for (Owed r : c.open) {
        boolean out = r.tries.stream().anyMatch(t -> t.result == null);
        if (out && r.info.deadline() < next) {
          next = r.info.deadline();
          timer = null;
          late = r;
        }
      }
      if (timer == null && late == null) {
        break;
      }
      c.now = next;
      if (timer != null) {
        c.timers.remove(timer);
        balancer.onTimer(c.now, (long) timer[1]);
      } else {
        for (int i = 0; i < late.tries.size(); i++) {
          if (late.tries.get(i).result == null) {
            end(c, balancer, late, i, Result.TIMEOUT);
          }
        }
      }
    }
    c.now = until;
    for (Owed r : c.open) {
      assertThat(r.answered || r.info.deadline() + 20 >= c.now).as("answer overdue").isTrue();
    }
    c.open.removeIf(r -> r.answered && r.tries.stream().allMatch(t -> t.result != null));
  }

  private static void outcome(Checker c, LcStarBalancer balancer, Random random) {
    if (c.open.isEmpty()) {
      return;
    }
    Owed r = c.open.get(random.nextInt(c.open.size()));
    for (int i = 0; i < r.tries.size(); i++) {
      if (r.tries.get(i).result == null) {
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
        end(c, balancer, r, i, all[random.nextInt(all.length)]);
        return;
      }
    }
  }

  private static void end(Checker c, LcStarBalancer balancer, Owed r, int i, Result result) {
    Try t = r.tries.get(i);
    t.result = result;
    boolean ended = r.answered || result == Result.OK;
    r.answered = ended;
    balancer.onOutcome(
        c.now,
        new Outcome(r.info.id(), t.host.host(), i, result, c.now - t.sentAt, ended, List.of()));
  }

  private static void list(Checker c, LcStarBalancer balancer, Random random, int i) {
    Availability a = Availability.values()[Math.max(0, random.nextInt(6) - 3)];
    HostEntry e = Gateway.host("h" + i, i % 2, a, random.nextInt(3) == 0 ? c.now - 500 : 0);
    c.listed.put(e.host(), e);
    balancer.onMembers(c.now, new MembersUpdate(MembersUpdate.Kind.DELTA, 1, List.of(e)));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void theRulesHoldAndTheSameEventsGiveTheSameActions(long seed) {
    List<String> script = play(seed);
    assertThat(script).hasSizeGreaterThan(2_000);
    assertThat(play(seed)).isEqualTo(script);
  }
}
