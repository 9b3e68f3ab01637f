package ternscale.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ternscale.api.HostEntry;
import ternscale.api.HostEntry.Availability;
import ternscale.api.MembersUpdate.Kind;
import ternscale.api.Outcome.Result;
import ternscale.api.RequestInfo;
import ternscale.api.Settings;
import ternscale.api.Settings.DedupScope;
import ternscale.api.Settings.Discovery;
import ternscale.api.Settings.Effect;
import ternscale.api.Settings.RequestClass;

/**
 * Guards against optimizations of the selector that change its choices. The event streams add,
 * remove, drain and restart hosts, and hosts hang, fail and reject requests. Hosts return cold in
 * some streams and warm in others, as every host is scanned while any is cold. The digests are
 * those of a selector that scanned all hosts for each request (commit 5422377).
 */
class SelectionDigestTest {
  private static final int STEPS = 8_000;
  private static final RequestClass[] CLASSES = {
    FakeGateway.requestClass(Effect.BY_KEY, DedupScope.ZONE),
    FakeGateway.requestClass(Effect.ONCE, DedupScope.ALL),
    FakeGateway.requestClass(Effect.REPEATABLE, DedupScope.ALL)
  };

  private enum Site {
    PLAIN(FakeGateway.settings(Discovery.PUSHED, false, true, CLASSES)),
    KEYS(FakeGateway.settings(Discovery.PUSHED, true, CLASSES)),
    CROSSING(FakeGateway.withCrossZoneCost(0.1, CLASSES));

    private final Settings settings;

    Site(Settings settings) {
      this.settings = settings;
    }
  }

  @ParameterizedTest
  @CsvSource({
    "PLAIN, 20, 11, true, caff85e19225f397",
    "PLAIN, 150, 12, true, ceb57d38686d3758",
    "PLAIN, 1000, 13, true, f3a60e0b60ca576f",
    "KEYS, 20, 21, true, a8bbac4364b61566",
    "KEYS, 150, 22, true, f8ea8dabbee35a1a",
    "KEYS, 1000, 23, true, d302792c029448b2",
    "CROSSING, 20, 31, true, 7443bf6dd8eb0deb",
    "CROSSING, 1000, 32, true, bbc2ddc647d2839a",
    "PLAIN, 150, 41, false, fd077907845399aa",
    "PLAIN, 1000, 42, false, 55b015faf5c17dce",
    "KEYS, 150, 43, false, 86c744bae1295f4a",
    "KEYS, 1000, 44, false, ff9a66ab07ebc4ed",
    "CROSSING, 150, 45, false, 68dd53ffbb94a153",
    "CROSSING, 1000, 46, false, f351bcf53862f9be"
  })
  void choicesMatchThoseOfFullScan(Site site, int hosts, long seed, boolean cold, String digest)
      throws Exception {
    EventStream stream = new EventStream(site.settings, hosts, seed, cold);
    for (int i = 0; i < STEPS; i++) {
      stream.step();
    }
    assertThat(stream.gateway.sent).as("enough sends to compare").hasSizeGreaterThan(STEPS / 5);
    assertThat(digest(stream.gateway.log)).as("seed %d", seed).isEqualTo(digest);
  }

  private static String digest(List<String> lines) throws Exception {
    MessageDigest sha = MessageDigest.getInstance("SHA-256");
    sha.update(String.join("\n", lines).getBytes(StandardCharsets.UTF_8));
    return HexFormat.of().formatHex(sha.digest(), 0, 8);
  }

  /** Random events at one gateway, generated from a seed. */
  private static final class EventStream {
    private final FakeGateway gateway;
    private final Random random;
    private final List<HostEntry> hosts = new ArrayList<>();
    private final Set<String> hungHosts = new HashSet<>();
    private final List<FakeGateway.Sent> attemptsInFlight = new ArrayList<>();
    private final List<Double> sentAt = new ArrayList<>();
    private final Set<String> endedRequests = new HashSet<>();
    private final boolean cold;
    private final int maxInFlight;
    private int readLines;
    private int seenSends;
    private int requests;
    private boolean isTimerSet;

    EventStream(Settings settings, int n, long seed, boolean cold) {
      this.cold = cold;
      gateway = new FakeGateway(settings, seed);
      random = new Random(seed);
      maxInFlight = 8 + n / 10;
      for (int i = 0; i < n; i++) {
        hosts.add(new HostEntry("h" + i, 1 + i % 3, i % 3, i % 2, 0, Availability.UP, 0));
      }
      gateway.updateMembers(Kind.FULL, hosts.toArray(HostEntry[]::new));
    }

    void step() {
      gateway.now += -Math.log(1 - random.nextDouble());
      double choice = random.nextDouble();
      if (choice < 0.005) {
        changeHost();
      } else if (choice < 0.01) {
        String host = hosts.get(random.nextInt(hosts.size())).host();
        if (!hungHosts.remove(host) && hungHosts.size() < hosts.size() / 4) {
          hungHosts.add(host);
        }
      } else if (choice < 0.015 && requests > 0) {
        String id = "r" + (requests - 1 - random.nextInt(Math.min(requests, 20)));
        endedRequests.add(id);
        gateway.balancer.onClientDisconnected(gateway.now, id);
      } else if (isTimerSet) {
        isTimerSet = false;
        gateway.balancer.onTimer(gateway.now, 2);
      } else if (attemptsInFlight.size() < maxInFlight && choice < 0.5) {
        request();
      } else {
        outcome();
      }
      processActions();
    }

    private void request() {
      double hint = random.nextInt(40) == 0 ? 300 : 20 + 80 * random.nextDouble();
      String key = "k" + (int) (30 * random.nextDouble() * random.nextDouble());
      String id = "r" + requests++;
      int type = random.nextInt(CLASSES.length);
      double deadline = gateway.now + 2_000;
      boolean isClientRetry = random.nextInt(8) == 0;
      gateway.balancer.onRequest(
          gateway.now, new RequestInfo(id, type, 0, deadline, hint, key, type < 2, isClientRetry));
    }

    /** Ends a random attempt; attempts at a hung host end only by a timeout. */
    private void outcome() {
      if (attemptsInFlight.isEmpty()) {
        return;
      }
      int i = random.nextInt(attemptsInFlight.size());
      FakeGateway.Sent sent = attemptsInFlight.get(i);
      double elapsed = gateway.now - sentAt.get(i);
      double choice = random.nextDouble();
      Result result =
          choice < 0.90
              ? Result.OK
              : choice < 0.93
                  ? Result.ERROR
                  : choice < 0.96
                      ? Result.REJECTED
                      : choice < 0.98 ? Result.RESET : Result.CONNECT_FAILED;
      if (hungHosts.contains(sent.host())) {
        if (elapsed < 550) {
          return;
        }
        result = Result.TIMEOUT;
      }
      attemptsInFlight.remove(i);
      sentAt.remove(i);
      boolean requestEnded = !endedRequests.add(sent.request()) || result == Result.OK;
      if (!requestEnded) {
        endedRequests.remove(sent.request());
      }
      gateway.outcome(sent, result, elapsed, requestEnded);
    }

    private void changeHost() {
      int i = random.nextInt(hosts.size());
      HostEntry h = hosts.get(i);
      Availability next =
          h.availability() == Availability.UP
              ? Availability.values()[1 + random.nextInt(2)]
              : Availability.UP;
      double startedAt = cold && next == Availability.UP ? gateway.now - 500 : h.startedAt();
      hosts.set(
          i,
          new HostEntry(
              h.host(), h.weight(), h.hardwareType(), h.zone(), h.cell(), next, startedAt));
      if (random.nextInt(4) == 0) {
        gateway.updateMembers(Kind.FULL, hosts.toArray(HostEntry[]::new));
      } else {
        gateway.updateMembers(Kind.DELTA, hosts.get(i));
      }
    }

    private void processActions() {
      for (; readLines < gateway.log.size(); readLines++) {
        String[] words = gateway.log.get(readLines).split(" ");
        switch (words[0]) {
          case "refuse", "fail" -> endedRequests.add(words[1]);
          case "timer" -> isTimerSet = true;
          default -> {
            // Sends are processed by the next loop; a cancelled attempt ends like any other.
          }
        }
      }
      for (; seenSends < gateway.sent.size(); seenSends++) {
        attemptsInFlight.add(gateway.sent.get(seenSends));
        sentAt.add(gateway.now);
      }
    }
  }
}
