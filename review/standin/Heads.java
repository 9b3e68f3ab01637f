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

/** Some hundred clients that send a part of a head of short lines, stop, and stay. */
final class Heads extends Standin {
  private static final int BAD_CLIENTS = 300;

  /** Under the 32 KiB at which the gateway rejects a head. */
  private static final int HEAD_BYTES = 32_000;

  private static final double RATE_PER_S = 100;
  private static final double QUIET_S = 6;
  private static final double BAD_S = 10;
  private static final double AFTER_S = 6;
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
    Clients clients = new Clients(gateway.address, 212, 212);
    clients.start(RATE_PER_S);
    pause(QUIET_S);
    int lostBefore = clients.lost.get();
    say("before: sent %s, ends %s", clients.sent, clients.ends);
    if (trouble) {
      say("%d clients begin a head of %d bytes, stop and stay", BAD_CLIENTS, HEAD_BYTES);
      ExecutorService threads = threads();
      for (int i = 0; i < BAD_CLIENTS; i++) {
        int number = i;
        threads.execute(() -> sendHeads(gateway.address, number));
      }
    }
    for (double end = now() + BAD_S; now() < end && gateway.isAlive(); ) {
      pause(0.1);
    }
    stop = true;
    say("then: sent %s, ends %s; the bad clients got %s", clients.sent, clients.ends, BAD_ENDS);
    for (double end = now() + AFTER_S; now() < end && gateway.isAlive(); ) {
      pause(0.1);
    }
    clients.finish();
    boolean alive = gateway.isAlive();
    boolean healthy = gateway.isHealthy();
    gateway.end();
    say("requests sent %s, ends %s", clients.sent, clients.ends);
    say(
        "gateway ended by itself: %s; answers health checks at the end: %s; requests lost: %s",
        !alive, healthy, clients.lost);
    boolean broken = !alive || !healthy || clients.lost.get() > 0;
    say(broken ? "the rule was broken" : "the rule held");
    writeRecord(folder);
    System.exit(lostBefore > 0 ? 2 : broken ? 1 : 0);
  }

  /** Sends the same again when it was turned away. */
  private static void sendHeads(String gateway, int number) {
    StringBuilder head = new StringBuilder("POST /reserve HTTP/1.1\r\nHost: api.internal\r\n");
    while (head.length() < HEAD_BYTES) {
      head.append("X-Pad: 1\r\n");
    }
    byte[] bytes = head.toString().getBytes(StandardCharsets.US_ASCII);
    while (!stop) {
      String end;
      try (Socket socket = new Socket()) {
        socket.connect(address(gateway), 3_000);
        socket.setSoTimeout(4_000);
        OutputStream out = socket.getOutputStream();
        out.write(bytes);
        Message answer = read(socket.getInputStream());
        end = answer == null ? "a close" : Integer.toString(answer.status());
      } catch (IOException e) {
        end = String.valueOf(e.getMessage());
      }
      BAD_ENDS.merge(end, 1, Integer::sum);
      record("bad client %d got %s", number, end);
      pause(0.1);
    }
  }
}
