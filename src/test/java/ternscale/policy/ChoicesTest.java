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
 * Every choice, request by request, of streams of events in which hosts come, go, drain, start
 * again, hang, err and turn requests away; cold when they come back, or not, as while any host is
 * cold all are asked. The digests were made when each choice was a scan of all hosts (commit
 * 5422377); whatever makes a choice cheaper must choose the same.
 */
class ChoicesTest {
  private static final int STEPS = 8_000;
  private static final RequestClass[] CLASSES = {
    Gateway.type(Effect.BY_KEY, DedupScope.ZONE),
    Gateway.type(Effect.ONCE, DedupScope.ALL),
    Gateway.type(Effect.REPEATABLE, DedupScope.ALL)
  };

  private enum Site {
    PLAIN(Gateway.settings(Discovery.PUSHED, false, true, CLASSES)),
    KEYS(Gateway.settings(Discovery.PUSHED, true, CLASSES)),
    CROSSING(Gateway.crossing(0.1, CLASSES));

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
  void theyAreThoseOfTheScan(Site site, int hosts, long seed, boolean cold, String digest)
      throws Exception {
    Stream stream = new Stream(site.settings, hosts, seed, cold);
    for (int i = 0; i < STEPS; i++) {
      stream.step();
    }
    assertThat(stream.gateway.sent).as("enough to tell by").hasSizeGreaterThan(STEPS / 5);
    assertThat(digest(stream.gateway.log)).as("seed %d", seed).isEqualTo(digest);
  }

  private static String digest(List<String> lines) throws Exception {
    MessageDigest sha = MessageDigest.getInstance("SHA-256");
    sha.update(String.join("\n", lines).getBytes(StandardCharsets.UTF_8));
    return HexFormat.of().formatHex(sha.digest(), 0, 8);
  }

  /** What happens round one gateway, drawn from a seed. */
  private static final class Stream {
    private final Gateway gateway;
    private final Random random;
    private final List<HostEntry> hosts = new ArrayList<>();
    private final Set<String> hung = new HashSet<>();
    private final List<Gateway.Sent> out = new ArrayList<>();
    private final List<Double> sentAt = new ArrayList<>();
    private final Set<String> ended = new HashSet<>();
    private final boolean cold;
    private final int inFlight;
    private int read;
    private int seen;
    private int requests;
    private boolean timer;

    Stream(Settings settings, int n, long seed, boolean cold) {
      this.cold = cold;
      gateway = new Gateway(settings, seed);
      random = new Random(seed);
      inFlight = 8 + n / 10;
      for (int i = 0; i < n; i++) {
        hosts.add(new HostEntry("h" + i, 1 + i % 3, i % 3, i % 2, 0, Availability.UP, 0));
      }
      gateway.members(Kind.FULL, hosts.toArray(HostEntry[]::new));
    }

    void step() {
      gateway.now += -Math.log(1 - random.nextDouble());
      double what = random.nextDouble();
      if (what < 0.005) {
        change();
      } else if (what < 0.01) {
        String host = hosts.get(random.nextInt(hosts.size())).host();
        if (!hung.remove(host) && hung.size() < hosts.size() / 4) {
          hung.add(host);
        }
      } else if (what < 0.015 && requests > 0) {
        String id = "r" + (requests - 1 - random.nextInt(Math.min(requests, 20)));
        ended.add(id);
        gateway.balancer.onClientDisconnected(gateway.now, id);
      } else if (timer) {
        timer = false;
        gateway.balancer.onTimer(gateway.now, 2);
      } else if (out.size() < inFlight && what < 0.5) {
        request();
      } else {
        outcome();
      }
      follow();
    }

    private void request() {
      double hint = random.nextInt(40) == 0 ? 300 : 20 + 80 * random.nextDouble();
      String key = "k" + (int) (30 * random.nextDouble() * random.nextDouble());
      String id = "r" + requests++;
      int type = random.nextInt(CLASSES.length);
      double deadline = gateway.now + 2_000;
      boolean again = random.nextInt(8) == 0;
      gateway.balancer.onRequest(
          gateway.now, new RequestInfo(id, type, 0, deadline, hint, key, type < 2, again));
    }

    /** An attempt ends, of a host that hangs only by a time-out. */
    private void outcome() {
      if (out.isEmpty()) {
        return;
      }
      int i = random.nextInt(out.size());
      Gateway.Sent sent = out.get(i);
      double elapsed = gateway.now - sentAt.get(i);
      double how = random.nextDouble();
      Result result =
          how < 0.90
              ? Result.OK
              : how < 0.93
                  ? Result.ERROR
                  : how < 0.96
                      ? Result.REJECTED
                      : how < 0.98 ? Result.RESET : Result.CONNECT_FAILED;
      if (hung.contains(sent.host())) {
        if (elapsed < 550) {
          return;
        }
        result = Result.TIMEOUT;
      }
      out.remove(i);
      sentAt.remove(i);
      boolean over = !ended.add(sent.request()) || result == Result.OK;
      if (!over) {
        ended.remove(sent.request());
      }
      gateway.outcome(sent, result, elapsed, over);
    }

    private void change() {
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
        gateway.members(Kind.FULL, hosts.toArray(HostEntry[]::new));
      } else {
        gateway.members(Kind.DELTA, hosts.get(i));
      }
    }

    private void follow() {
      for (; read < gateway.log.size(); read++) {
        String[] words = gateway.log.get(read).split(" ");
        switch (words[0]) {
          case "refuse", "fail" -> ended.add(words[1]);
          case "timer" -> timer = true;
          default -> {
            // Of a send the next loop takes the rest; a cancelled attempt ends as any other.
          }
        }
      }
      for (; seen < gateway.sent.size(); seen++) {
        out.add(gateway.sent.get(seen));
        sentAt.add(gateway.now);
      }
    }
  }
}
