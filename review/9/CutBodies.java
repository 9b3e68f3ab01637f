import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Beside the usual clients there are some that announce a shorter body than they send. They are owed
 * an error or a close, and are served; a host runs the cut body, which nobody sent.
 */
final class CutBodies {
  private static final int HOSTS = 4;
  private static final int CLIENTS = 8;
  private static final double END_MS = 12_000;

  /** A bad client is owed an error or a close within this time of connecting. */
  private static final double OWED_MS = 3_000;

  private static final String BODY = "boards=1200&beams=40&buyer=mill-7&yard=posadas";

  /** What the bad client announces: the body up to "boards=12". */
  private static final int WRONG_LENGTH = 9;

  private final Lab lab;
  private final List<String> broken = new CopyOnWriteArrayList<>();
  private double readyAtMs;

  private CutBodies(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] args) {
    Lab.main(args[0], lab -> new CutBodies(lab).play());
  }

  private List<String> play() throws Exception {
    List<Lab.Entry> entries = new ArrayList<>();
    for (int i = 0; i < HOSTS; i++) {
      Lab.Host host = lab.new Host("s-" + i, (h, request, out) -> {
        lab.note(h.name + ": ran " + request.header("X-Txn") + ": " + request.body());
        Thread.sleep(30);
        return Lab.respond(out, "200 OK", "", "done " + request.header("X-Txn"));
      });
      entries.add(new Lab.Entry(host.name, host.address(), "eldorado", "large", 0, "Ready"));
    }
    Lab.Discovery discovery = lab.new Discovery(41, entries);
    Lab.Gateway gateway = lab.new Gateway("n0");
    gateway.configure(discovery.address(), Lab.list(41, true, entries), Sites.altoParana());
    gateway.start();
    gateway.awaitReady();
    readyAtMs = Lab.nowMs();
    AtomicInteger served = new AtomicInteger();
    for (int i = 0; i < CLIENTS; i++) {
      int client = i;
      Lab.daemon(() -> usualClient(client, gateway.port, served));
    }
    if (Lab.hasTrouble()) {
      for (int i = 0; i < 2; i++) {
        int client = i;
        Lab.daemon(() -> badClients(client, gateway.port));
      }
    }
    Lab.sleepUntil(readyAtMs + END_MS);
    if (!gateway.process.isAlive() || served.get() < 50) {
      throw new IOException("served only " + served.get() + " requests of usual clients");
    }
    lab.note("usual clients: served " + served.get());
    return broken;
  }

  private static String request(String txn, int length) {
    return "POST /dispatch HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + txn
        + "\r\nX-Lane: dispatch\r\nX-Remaining: 1.200\r\nContent-Length: " + length + "\r\n\r\n"
        + BODY;
  }

  private void usualClient(int client, int port, AtomicInteger served) throws Exception {
    Random random = new Random(Lab.seed() * 1_000 + client);
    Lab.Client connection = new Lab.Client(port);
    for (int n = 0; Lab.nowMs() - readyAtMs < END_MS - 2_000; n++) {
      Thread.sleep(150 + random.nextInt(300));
      String txn = "usual" + Lab.seed() + "-" + client + "-" + n;
      connection.send(request(txn, BODY.length()));
      Lab.Message answer = connection.receive(Lab.nowMs() + 2_000);
      if (answer == null) {
        // The gateway closed the connection between two requests.
        connection = new Lab.Client(port);
      } else if (answer.status() == 200) {
        served.incrementAndGet();
      }
    }
  }

  /** Bad clients one after the other, each on a connection of its own. */
  private void badClients(int client, int port) throws Exception {
    Random random = new Random(Lab.seed() * 2_000 + client);
    for (int n = 0; Lab.nowMs() - readyAtMs < END_MS - OWED_MS - 500; n++) {
      Thread.sleep(100 + random.nextInt(200));
      String txn = "bad" + Lab.seed() + "-" + client + "-" + n;
      double connectedAtMs = Lab.nowMs();
      try (Lab.Client connection = new Lab.Client(port)) {
        // One write: the whole body is there before the gateway can have sent anything on.
        connection.send(request(txn, WRONG_LENGTH));
        Lab.Message answer = connection.receive(connectedAtMs + OWED_MS);
        int status = answer == null ? 0 : answer.status();
        lab.note("bad client: " + txn + " is answered " + (status == 0 ? "by a close" : status));
        if (status >= 200 && status < 400) {
          broken.add(txn + " announced " + WRONG_LENGTH + " of " + BODY.length()
              + " bytes and was served: " + status + " " + answer.body());
        }
      } catch (IOException e) {
        lab.note("bad client: " + txn + " got no whole answer: " + e.getMessage());
      }
    }
  }
}
