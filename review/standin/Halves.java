import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;

/** Some hundred clients that send most of a request's body, stop, and stay. */
final class Halves extends Standin {
  private static final int BAD_CLIENTS = 300;
  private static final int BODY_BYTES = 64_000;
  private static final int SENT_BYTES = 60_000;

  /** Of the usual clients' requests one in four is long. */
  private static final int LONG_BYTES = 32_000;

  private static final double RATE_PER_S = 60;
  private static final double QUIET_S = 6;
  private static final double BAD_S = 12;
  private static final Map<String, Integer> BAD_ENDS = new ConcurrentSkipListMap<>();
  private static volatile boolean stop;

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]);
    Path folder = Path.of(args[1]);
    Path temporary = Path.of(args[2]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    List<Host> hosts = new ArrayList<>();
    String[] zones = {"eldorado", "montecarlo", "puerto-rico", "posadas"};
    for (int i = 0; i < 20; i++) {
      hosts.add(new Host("s-" + i, zones[i % 4], i / 4));
    }
    Discovery discovery = new Discovery(hosts);
    GatewayProcess gateway = new GatewayProcess(root, temporary, discovery);
    if (!gateway.awaitReady()) {
      say("the gateway did not become ready");
      gateway.end();
      writeRecord(folder);
      System.exit(2);
    }
    Clients clients = new Clients(gateway.address, 212, LONG_BYTES);
    clients.start(RATE_PER_S);
    pause(QUIET_S);
    int lostBefore = clients.lost.get();
    say("before: sent %s, ends %s", clients.sent, clients.ends);
    if (trouble) {
      say(
          "%d clients send %d of the %d bytes of a body, stop and stay",
          BAD_CLIENTS, SENT_BYTES, BODY_BYTES);
      ExecutorService threads = threads();
      for (int i = 0; i < BAD_CLIENTS; i++) {
        int number = i;
        threads.execute(() -> sendHalves(gateway.address, number));
      }
    }
    pause(BAD_S);
    stop = true;
    say("then: sent %s, ends %s; the bad clients got %s", clients.sent, clients.ends, BAD_ENDS);
    clients.finish();
    boolean alive = gateway.isAlive();
    gateway.end();
    say("requests sent %s, ends %s", clients.sent, clients.ends);
    say("lost %s, gateway ended by itself: %s", clients.lost, !alive);
    boolean broken = clients.lost.get() > 0 || !alive;
    say(broken ? "the rule was broken" : "the rule held");
    writeRecord(folder);
    System.exit(lostBefore > 0 ? 2 : broken ? 1 : 0);
  }

  /** Waits for the error or the close that it is owed, then sends the same again. */
  private static void sendHalves(String gateway, int number) {
    String head =
        "POST /reserve HTTP/1.1\r\nHost: api.internal\r\nX-Lane: reserve\r\nX-Remaining: 1.5\r\n"
            + "Content-Length: " + BODY_BYTES + "\r\n";
    byte[] body = "b".repeat(SENT_BYTES).getBytes(StandardCharsets.US_ASCII);
    for (int n = 0; !stop; n++) {
      String id = "bad-" + number + "-" + n;
      String end;
      double start = now();
      try (Socket socket = new Socket()) {
        socket.connect(address(gateway), 3_000);
        socket.setSoTimeout(1_000);
        OutputStream out = socket.getOutputStream();
        out.write((head + "X-Txn: " + id + "\r\nIdempotency-Key: " + id + "\r\n\r\n").getBytes());
        out.write(body);
        end = null;
        while (end == null) {
          try {
            Message answer = read(socket.getInputStream());
            end = answer == null ? "a close" : Integer.toString(answer.status());
          } catch (java.net.SocketTimeoutException e) {
            end = stop ? "nothing" : null;
          }
        }
      } catch (IOException e) {
        end = String.valueOf(e.getMessage());
      }
      BAD_ENDS.merge(end, 1, Integer::sum);
      record("bad client %d got %s after %.1f s", number, end, now() - start);
      pause(0.1);
    }
  }
}
