package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * SIGTERM to a real process while it reads requests: every request whose head was read gets a final
 * response before the process ends, whenever the remainder arrives and although no host responds.
 */
class ShutdownProcessTest {
  private static final int CLIENTS = 30;

  /** Interval between the clients' last bytes, which spread over the shutdown and beyond. */
  private static final int STEP_MS = 45;

  private static final String CONTINUE = "100 Continue";

  /** Every other request is never completed. */
  private static boolean isCompleted(int client) {
    return client % 2 == 0;
  }

  private static Socket begin(ServeProcess gateway) throws IOException {
    Socket client = gateway.connect();
    String headers = "Expect: 100-continue\r\nContent-Length: 2\r\n";
    Rig.send(client, Rig.dispatch(Rig.id(), headers).replace("/dispatch ", "/dispatch/wait "));
    // The gateway sends this once it has read the head.
    assertThat(Rig.receive(client)).contains(CONTINUE);
    Rig.send(client, "1");
    return client;
  }

  private static void complete(Socket client) {
    try {
      Rig.send(client, "2");
    } catch (IOException e) {
      // The connection is closed; the response has been sent, or never will be.
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {200, 600})
  void answersEveryRequestWhoseHeadWasRead(int deadlineMs, @TempDir Path folder) throws Exception {
    CountDownLatch never = new CountDownLatch(1);
    ExecutorService readers = Executors.newCachedThreadPool();
    List<Socket> clients = new ArrayList<>();
    List<Future<String>> answers = new ArrayList<>();
    try (FakeServer host = Rig.blockingHost("/dispatch/wait", never);
        FakeServer discovery = Rig.discovery(Rig.list(1, host));
        ServeProcess gateway =
            ServeProcess.start(
                folder,
                ServeProcess.deployedCommand(),
                true,
                discovery.address(),
                config -> config.replace("\"hard_limit\":20000", "\"hard_limit\":" + deadlineMs))) {
      gateway.awaitAnswer("done");
      for (int i = 0; i < CLIENTS; i++) {
        Socket client = begin(gateway);
        clients.add(client);
        answers.add(readers.submit(() -> Rig.receive(client)));
      }
      gateway.signal("TERM");
      for (int i = 0; i < CLIENTS; i++) {
        TimeUnit.MILLISECONDS.sleep(STEP_MS);
        if (isCompleted(i)) {
          complete(clients.get(i));
        }
      }
      for (int i = 0; i < CLIENTS; i++) {
        assertThat(answers.get(i).get(Rig.PATIENCE_MS, TimeUnit.MILLISECONDS))
            .as("the answer to client %d, %s", i, gateway.log())
            .isNotNull()
            .startsWith("HTTP/1.1 ");
      }
    } finally {
      never.countDown();
      readers.shutdownNow();
      for (Socket client : clients) {
        client.close();
      }
    }
  }
}
