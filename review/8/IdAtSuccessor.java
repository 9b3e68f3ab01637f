import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gateway is upgraded while it serves: two processes at one address. A bad client sends the id of
 * another client's open request; the other process does not know it, and the request runs twice.
 */
final class IdAtSuccessor {
  private static final int HOSTS = 6;
  private static final int CLIENTS = 12;
  private static final double UPGRADE_AT_MS = 3_000;
  private static final double BOTH_SERVE_MS = 2_000;
  private static final double END_MS = 12_000;

  private final Lab lab;
  private final Map<String, List<String>> runs = new HashMap<>();
  private final LinkedBlockingQueue<String> openIds = new LinkedBlockingQueue<>(1);
  private double readyAtMs;

  private IdAtSuccessor(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] args) {
    Lab.main(args[0], lab -> new IdAtSuccessor(lab).play());
  }

  private List<String> play() throws Exception {
    List<Lab.Entry> entries = new ArrayList<>();
    for (int i = 0; i < HOSTS; i++) {
      Lab.Host host = lab.new Host("s-" + i, (h, request, out) -> {
        String txn = request.header("X-Txn");
        lab.note(h.name + ": ran " + txn);
        synchronized (runs) {
          runs.computeIfAbsent(txn, id -> new ArrayList<>())
              .add(String.format(java.util.Locale.ROOT, "%s %.0f ms", h.name, Lab.nowMs()));
        }
        // As long as the work of a dispatch at this site takes.
        Thread.sleep(150);
        return Lab.respond(out, "200 OK", "", "done " + txn);
      });
      entries.add(new Lab.Entry(host.name, host.address(), "eldorado", "large", 0, "Ready"));
    }
    Lab.Discovery discovery = lab.new Discovery(41, entries);
    Lab.Gateway gateway = lab.new Gateway("n0");
    gateway.configure(discovery.address(), Lab.list(41, true, entries), Sites.altoParana());
    gateway.startManaged(Lab.freeAddress());
    gateway.awaitReady();
    readyAtMs = Lab.nowMs();
    AtomicInteger served = new AtomicInteger();
    for (int i = 0; i < CLIENTS; i++) {
      int client = i;
      Lab.daemon(() -> usualClient(client, gateway.port, served));
    }
    for (int i = 0; i < 2; i++) {
      Lab.daemon(() -> badClients(gateway.port));
    }
    Lab.sleepUntil(readyAtMs + UPGRADE_AT_MS);
    if (Lab.hasTrouble()) {
      String management = Lab.freeAddress();
      gateway.startSuccessor(management);
      gateway.awaitServing(management);
      lab.note("platform: both serve");
      Thread.sleep((long) BOTH_SERVE_MS);
      gateway.terminate();
    }
    Lab.sleepUntil(readyAtMs + END_MS);
    Process serving = Lab.hasTrouble() ? gateway.successor : gateway.process;
    if (!serving.isAlive() || served.get() < 100) {
      throw new IOException("only " + served.get() + " requests were served");
    }
    lab.note("served " + served.get());
    List<String> broken = new ArrayList<>();
    synchronized (runs) {
      runs.forEach((id, list) -> {
        if (list.size() > 1) {
          broken.add("unsafe request " + id + " ran " + list.size() + " times: " + list);
        }
      });
    }
    return broken;
  }

  private static String request(String txn) {
    return "POST /dispatch HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + txn
        + "\r\nX-Lane: dispatch\r\nX-Remaining: 1.200\r\nContent-Length: 0\r\n\r\n";
  }

  private void usualClient(int client, int port, AtomicInteger served) throws Exception {
    Random random = new Random(Lab.seed() * 1_000 + client);
    Lab.Client connection = null;
    for (int n = 0; Lab.nowMs() - readyAtMs < END_MS - 1_500; n++) {
      Thread.sleep(100 + random.nextInt(300));
      String txn = "usual" + Lab.seed() + "-" + client + "-" + n;
      try {
        if (connection == null) {
          connection = new Lab.Client(port);
        }
        connection.send(request(txn));
        openIds.offer(txn);
        Lab.Message answer = connection.receive(Lab.nowMs() + 1_800);
        if (answer != null && answer.status() == 200) {
          served.incrementAndGet();
        }
        if (answer == null || !answer.header("Connection").isEmpty()) {
          connection.close();
          connection = null;
        }
      } catch (IOException e) {
        lab.note("client: " + txn + " has no answer: " + e.getMessage());
        if (connection != null) {
          connection.close();
          connection = null;
        }
      }
    }
  }

  /** Sends the id of another client's open request, each time on a connection of its own. */
  private void badClients(int port) throws Exception {
    while (Lab.nowMs() - readyAtMs < END_MS - 1_500) {
      openIds.clear();
      String txn = openIds.poll(1, TimeUnit.SECONDS);
      if (txn == null) {
        continue;
      }
      // By now its request has been read; it is open for 150 ms.
      Thread.sleep(40);
      try (Lab.Client connection = new Lab.Client(port)) {
        connection.send(request(txn));
        Lab.Message answer = connection.receive(Lab.nowMs() + 3_000);
        lab.note("bad client: the id " + txn + " is answered "
            + (answer == null ? "by a close" : answer.status()));
      } catch (IOException e) {
        lab.note("bad client: the id " + txn + " got no whole answer: " + e.getMessage());
      }
      Thread.sleep(50);
    }
  }
}
