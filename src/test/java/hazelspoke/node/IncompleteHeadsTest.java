package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Hundreds of clients that begin a head and stop, before a gateway with the deployed heap. */
class IncompleteHeadsTest {
  private static final int CLIENTS = 500;

  /** Below the size at which the gateway rejects a head. */
  private static final int HEAD_BYTES = 32_000;

  /** Bad clients get their error or close within this time. */
  private static final double ERROR_WITHIN_MS = 3_000;

  private static String head(int lineBytes) {
    String line = "X-Pad: " + "p".repeat(lineBytes - 9) + "\r\n";
    StringBuilder head = new StringBuilder("POST /reserve HTTP/1.1\r\nHost: x\r\n");
    while (head.length() + line.length() <= HEAD_BYTES) {
      head.append(line);
    }
    return head.append("X-Pad: ").toString();
  }

  /**
   * Guards against heads that are counted by no budget: they filled the heap, and the process ended
   * with an OutOfMemoryError.
   */
  @ParameterizedTest
  @ValueSource(ints = {10, 200, 31_900})
  void clientsThatStopInTheirHeadsDoNotEndTheProcess(int lineBytes, @TempDir Path folder)
      throws Exception {
    try (FakeServer host =
            new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok("done")));
        FakeServer discovery = Rig.discovery(Rig.list(2, host));
        ServeProcess gateway =
            ServeProcess.start(
                folder,
                ServeProcess.deployedCommand(),
                true,
                discovery.address(),
                config -> config.replace("\"sockets\":160", "\"sockets\":1024"))) {
      gateway.awaitAnswer("done");
      List<Socket> clients = new ArrayList<>();
      try {
        for (int round = 0; round < 2; round++) {
          for (int i = 0; i < CLIENTS / 2; i++) {
            Socket client = gateway.connect();
            clients.add(client);
            beginHead(client, lineBytes);
          }
          assertThat(gateway.sendRequest()).as(gateway.log()).endsWith("done");
        }
        double start = System.nanoTime() / 1e6;
        for (Socket client : clients) {
          String answer = Rig.receive(client);
          assertThat(answer == null || answer.startsWith("HTTP/1.1 4") || answer.contains(" 503 "))
              .isTrue();
        }
        assertThat(System.nanoTime() / 1e6 - start).isLessThan(ERROR_WITHIN_MS);
      } finally {
        for (Socket client : clients) {
          client.close();
        }
      }
      assertThat(gateway.sendRequest()).as(gateway.log()).endsWith("done");
      assertThat(gateway.process.isAlive()).isTrue();
      assertThat(gateway.metrics()).contains("svc.violations.closed_unanswered=0");
      assertThat(gateway.log()).doesNotContain("OutOfMemoryError");
    }
  }

  private static void beginHead(Socket client, int lineBytes) {
    try {
      Rig.send(client, head(lineBytes));
    } catch (IOException e) {
      // Rejected while it was sending.
    }
  }
}
