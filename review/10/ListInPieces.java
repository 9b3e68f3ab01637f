import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gateway is killed, hosts leave while it is away, and the agent's whole list comes in two pieces.
 * After the first piece the new process takes the old list of its configuration for current.
 */
final class ListInPieces {
  private static final int HOSTS = 12;
  private static final int GATEWAYS = 2;
  private static final int CLIENTS = 24;

  /** A half of the hosts are replaced. */
  private static final int LEAVING = 6;

  private static final long GAP_MS = 100;

  /** The site's grace, and 50 ms as on sockets. */
  private static final double GRACE_MS = 500 + 50;

  private final Lab lab;
  private final List<String> broken = new CopyOnWriteArrayList<>();
  private volatile boolean ended;
  private volatile double hostsLeftMs = Double.POSITIVE_INFINITY;
  private volatile double startedMs = Double.POSITIVE_INFINITY;

  private ListInPieces(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] args) {
    Lab.main(args[0], lab -> new ListInPieces(lab).play());
  }

  private List<String> play() throws Exception {
    List<Lab.Entry> entries = new ArrayList<>();
    for (int i = 0; i < HOSTS; i++) {
      int number = i;
      Lab.Host host = lab.new Host("s-" + i, (h, request, out) -> {
        String txn = request.header("X-Txn");
        if (number < LEAVING && Lab.nowMs() > hostsLeftMs) {
          lab.note(h.name + ": got " + txn + " after it was listed as gone");
          double sinceMs = Lab.nowMs() - startedMs;
          // n1 is not restarted, and its agent has told it.
          if (txn.startsWith("n0") && sinceMs > GRACE_MS) {
            broken.add(String.format(java.util.Locale.ROOT,
                "%s reached %s, gone from the list, %.0f ms after the process began",
                txn, h.name, sinceMs));
          }
          return Lab.respond(out, "503 Service Unavailable", "X-Turned-Away: 1\r\n", "draining");
        }
        Thread.sleep(20);
        return Lab.respond(out, "200 OK", "", "done " + txn);
      });
      entries.add(new Lab.Entry(
          host.name, host.address(), i % 2 == 0 ? "north-quay" : "south-quay", "tall", i / 3, "Ready"));
    }
    List<Lab.Discovery> agents = new ArrayList<>();
    List<Lab.Gateway> gateways = new ArrayList<>();
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
    AtomicInteger served = new AtomicInteger();
    for (int i = 0; i < CLIENTS; i++) {
      int client = i;
      Lab.daemon(() -> client(client, gateways.get(client % GATEWAYS), served));
    }
    Thread.sleep(3_000);
    gateways.get(0).kill();
    Thread.sleep(300);
    for (Lab.Entry entry : entries.subList(0, LEAVING)) {
      agents.forEach(agent -> agent.forget(entry));
    }
    Thread.sleep(1_000);
    hostsLeftMs = Lab.nowMs();
    if (Lab.hasTrouble()) {
      agents.get(0).pieceGapMs = GAP_MS;
      lab.note("discovery: the agent of n0 writes its list in two pieces");
    }
    // The configuration has the list as this gateway last had it.
    gateways.get(0).start();
    startedMs = gateways.get(0).startedAtMs;
    gateways.get(0).awaitReady();
    Thread.sleep(4_000);
    ended = true;
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
    for (int n = 0; !ended; n++) {
      Thread.sleep(20 + random.nextInt(60));
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
