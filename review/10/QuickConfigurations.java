import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * New configurations in quick succession move a slow discovery. Each gives up the call that waits at
 * the address before, so the gateway hears of no drain for as long as they go on.
 */
final class QuickConfigurations {
  private static final int HOSTS = 10;
  private static final int CLIENTS = 12;

  /** How many configurations follow one another, and how far apart. */
  private static final int CONFIGURATIONS = 7;

  private static final double INTERVAL_MS = 1_200;

  /** How long discovery lets a call wait: less than the site's 2 s, after which one fails. */
  private static final long WAIT_MS = 1_400;

  private static final double FIRST_AT_MS = 14_000;
  private static final double DRAINS_AFTER_MS = 300;
  private static final double END_MS = 26_000;

  /** A change counts as told so long after discovery had it and could be reached. */
  private static final double TOLD_AFTER_MS = 6_000;

  /** The site's grace, and 50 ms as on sockets. */
  private static final double GRACE_MS = 700 + 50;

  private final Lab lab;
  private final List<String> broken = new CopyOnWriteArrayList<>();
  private double readyAtMs;
  private volatile double drainsAtMs = Double.POSITIVE_INFINITY;

  private QuickConfigurations(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] args) {
    Lab.main(args[0], lab -> new QuickConfigurations(lab).play());
  }

  private List<String> play() throws Exception {
    List<Lab.Entry> entries = new ArrayList<>();
    for (int i = 0; i < HOSTS; i++) {
      int number = i;
      Lab.Host host = lab.new Host("s-" + i, (h, request, out) -> {
        String txn = request.header("X-Txn");
        if (number == 0 && Lab.nowMs() > drainsAtMs) {
          double sinceMs = Lab.nowMs() - drainsAtMs;
          lab.note(String.format(java.util.Locale.ROOT,
              "s-0: got %s, %.0f ms after it began to drain", txn, sinceMs));
          if (sinceMs > TOLD_AFTER_MS + GRACE_MS) {
            broken.add(String.format(java.util.Locale.ROOT,
                "%s reached s-0 %.0f ms after it was listed as draining", txn, sinceMs));
          }
        }
        // A draining host finishes what it has, and still serves what comes.
        Thread.sleep(40);
        return Lab.respond(out, "200 OK", "", "done " + txn);
      });
      entries.add(new Lab.Entry(host.name, host.address(), "vault", "reader", i / 4, "Ready"));
    }
    Lab.Discovery discovery = lab.new Discovery(41, entries);
    Lab.Gateway gateway = lab.new Gateway("n0");
    String known = Lab.list(41, true, entries);
    gateway.configure(discovery.address(), known, Sites.parishRecords(1));
    gateway.start();
    gateway.awaitReady();
    readyAtMs = Lab.nowMs();
    AtomicInteger served = new AtomicInteger();
    for (int i = 0; i < CLIENTS; i++) {
      int client = i;
      Lab.daemon(() -> client(client, gateway, served));
    }
    // By now the gateway has called for the first time and has a watch.
    Lab.sleepUntil(readyAtMs + FIRST_AT_MS);
    discovery.waitMs = WAIT_MS;
    int configurations = Lab.hasTrouble() ? CONFIGURATIONS : 1;
    double firstAtMs = Lab.nowMs();
    for (int i = 0; i < configurations; i++) {
      Lab.sleepUntil(firstAtMs + i * INTERVAL_MS);
      discovery.move();
      gateway.configure(discovery.address(), known, Sites.parishRecords(1));
      gateway.hangUp();
      if (i == 0) {
        Lab.sleepUntil(firstAtMs + DRAINS_AFTER_MS);
        discovery.change(entries.get(0).with("Terminating"));
        drainsAtMs = Lab.nowMs();
      }
    }
    Lab.sleepUntil(readyAtMs + END_MS);
    if (!gateway.process.isAlive() || served.get() < 100) {
      throw new IOException("only " + served.get() + " requests were served");
    }
    lab.note("served " + served.get());
    return broken;
  }

  private void client(int client, Lab.Gateway gateway, AtomicInteger served) throws Exception {
    Random random = new Random(Lab.seed() * 1_000 + client);
    Lab.Client connection = new Lab.Client(gateway.port);
    for (int n = 0; Lab.nowMs() - readyAtMs < END_MS; n++) {
      Thread.sleep(50 + random.nextInt(200));
      String txn = "n0-" + client + "-" + n;
      connection.send("GET /leaf-through HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + txn
          + "\r\nX-Lane: leaf-through\r\nX-Remaining: 2.400\r\n\r\n");
      Lab.Message answer = connection.receive(Lab.nowMs() + 3_000);
      if (answer == null) {
        connection = new Lab.Client(gateway.port);
      } else if (answer.status() == 200) {
        served.incrementAndGet();
      }
    }
  }
}
