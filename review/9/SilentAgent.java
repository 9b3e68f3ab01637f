import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gateway is killed; while it is away a host begins to drain, its agent is told, and discovery goes
 * down. The new process uses the list of its configuration and sends to the draining host.
 */
final class SilentAgent {
  private static final int HOSTS = 10;
  private static final int GATEWAYS = 2;
  private static final int CLIENTS = 12;
  private static final double KILLED_AT_MS = 4_000;
  private static final double DRAINS_AT_MS = 4_300;
  private static final double DOWN_AT_MS = 5_000;

  /** Discovery is down for 8 s. */
  private static final double DOWN_MS = 8_000;

  private static final double RESTARTED_AT_MS = 5_500;
  private static final double END_MS = 15_000;

  /** The site's grace, and 50 ms as on sockets. */
  private static final double GRACE_MS = 500 + 50;

  private final Lab lab;
  private final List<String> broken = new CopyOnWriteArrayList<>();
  private final List<Lab.Gateway> gateways = new ArrayList<>();
  private double readyAtMs;

  /** When the gateway that was killed was started again; never, before. */
  private volatile double restartedMs = Double.POSITIVE_INFINITY;

  private SilentAgent(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] args) {
    Lab.main(args[0], lab -> new SilentAgent(lab).play());
  }

  private List<String> play() throws Exception {
    List<Lab.Entry> entries = new ArrayList<>();
    for (int i = 0; i < HOSTS; i++) {
      int number = i;
      Lab.Host host = lab.new Host("s-" + i, (h, request, out) -> {
        // The client names the gateway that it sends to in the id.
        String txn = request.header("X-Txn");
        boolean isOfRestarted = txn.startsWith("n0") && restartedMs < Double.POSITIVE_INFINITY;
        if (number == 0) {
          lab.note("s-0: got " + txn);
          double sinceMs = Lab.nowMs() - restartedMs;
          if (isOfRestarted && sinceMs > GRACE_MS) {
            broken.add(String.format(java.util.Locale.ROOT,
                "%s reached the draining host s-0 %.0f ms after the process began", txn, sinceMs));
          }
          if (Lab.nowMs() - readyAtMs >= DRAINS_AT_MS) {
            return Lab.respond(out, "503 Service Unavailable", "X-Turned-Away: 1\r\n", "draining");
          }
        }
        Thread.sleep(30);
        return Lab.respond(out, "200 OK", "", "done " + txn);
      });
      entries.add(new Lab.Entry(
          host.name, host.address(), i % 2 == 0 ? "north-quay" : "south-quay", "tall", i / 3, "Ready"));
    }
    // Every gateway has an agent of its own.
    List<Lab.Discovery> agents = new ArrayList<>();
    for (int i = 0; i < GATEWAYS; i++) {
      agents.add(lab.new Discovery(41, entries));
      Lab.Gateway gateway = lab.new Gateway("n" + i);
      gateway.configure(agents.get(i).address(), Lab.list(41, true, entries),
          Sites.quaysideBerths(GATEWAYS).replace("\"me\":0", "\"me\":" + i));
      gateway.start();
      gateways.add(gateway);
    }
    for (Lab.Gateway gateway : gateways) {
      gateway.awaitReady();
    }
    readyAtMs = Lab.nowMs();
    AtomicInteger served = new AtomicInteger();
    for (int i = 0; i < CLIENTS; i++) {
      int client = i;
      Lab.daemon(() -> client(client, gateways.get(client % GATEWAYS), served));
    }
    Lab.sleepUntil(readyAtMs + KILLED_AT_MS);
    gateways.get(0).kill();
    Lab.sleepUntil(readyAtMs + DRAINS_AT_MS);
    for (Lab.Discovery agent : agents) {
      agent.change(entries.get(0).with("Terminating"));
    }
    Lab.sleepUntil(readyAtMs + DOWN_AT_MS);
    if (Lab.hasTrouble()) {
      for (Lab.Discovery agent : agents) {
        agent.setSilent(true);
      }
    }
    Lab.sleepUntil(readyAtMs + RESTARTED_AT_MS);
    // The configuration has the list as this gateway last had it: index 41, all hosts ready.
    gateways.get(0).start();
    restartedMs = gateways.get(0).startedAtMs;
    gateways.get(0).awaitReady();
    Lab.sleepUntil(readyAtMs + DOWN_AT_MS + DOWN_MS);
    if (Lab.hasTrouble()) {
      for (Lab.Discovery agent : agents) {
        agent.setSilent(false);
      }
    }
    Lab.sleepUntil(readyAtMs + END_MS);
    for (Lab.Gateway gateway : gateways) {
      if (!gateway.process.isAlive()) {
        throw new IOException(gateway.name + " has ended");
      }
    }
    if (served.get() < 100) {
      throw new IOException("only " + served.get() + " requests were served");
    }
    lab.note("served " + served.get());
    return broken;
  }

  private void client(int client, Lab.Gateway gateway, AtomicInteger served) throws Exception {
    Random random = new Random(Lab.seed() * 1_000 + client);
    Lab.Client connection = null;
    for (int n = 0; Lab.nowMs() - readyAtMs < END_MS; n++) {
      Thread.sleep(50 + random.nextInt(150));
      String txn = gateway.name + "-" + client + "-" + n;
      try {
        if (connection == null) {
          connection = new Lab.Client(gateway.port);
        }
        connection.send("GET /tide-table HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + txn
            + "\r\nX-Lane: tide-table\r\nX-Remaining: 0.400\r\n\r\n");
        Lab.Message answer = connection.receive(Lab.nowMs() + 1_000);
        if (answer != null && answer.status() == 200) {
          served.incrementAndGet();
        }
        if (answer == null || !answer.header("Connection").isEmpty()) {
          connection.close();
          connection = null;
        }
      } catch (IOException e) {
        // The gateway is away, or ended the connection.
        if (connection != null) {
          connection.close();
          connection = null;
        }
      }
    }
  }
}
