package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.net.Transport;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A process that starts with an old list, beside an agent that pushes a newer one. */
class FirstListTest {
  private final ByteArrayOutputStream log = new ByteArrayOutputStream();
  private final CountDownLatch agentSpeaks = new CountDownLatch(1);
  private volatile String told;
  private FakeServer oldHost;
  private FakeServer newHost;
  private FakeServer agent;
  private Path file;
  private Gateway gateway;

  @BeforeEach
  void start() throws Exception {
    oldHost = new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok("old")));
    newHost = new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok("new")));
    agent =
        new FakeServer(
            (head, out) -> {
              Rig.awaitLatch(agentSpeaks);
              return FakeServer.respond(out, chunked(told));
            });
    file = Files.createTempFile("gateway", ".json");
    Files.writeString(
        file, Rig.config("127.0.0.1:0", 160, agent.address(), Rig.list(1, oldHost, newHost)));
    gateway =
        new Gateway(
            GatewayConfig.read(Map.of("NODE_CONFIG", file.toString())),
            new PrintStream(log, true),
            Transport.TCP);
    gateway.maxDeadlineMs = Rig.PATIENCE_MS;
  }

  private static String chunked(String list) {
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + Integer.toHexString(list.length() + 1)
        + "\r\n"
        + list
        + "\n\r\n";
  }

  @AfterEach
  void stop() throws Exception {
    agentSpeaks.countDown();
    gateway.drain();
    Files.delete(file);
    agent.close();
    newHost.close();
    oldHost.close();
  }

  private Socket ask() throws Exception {
    InetSocketAddress address = (InetSocketAddress) gateway.start();
    Socket client = new Socket(address.getAddress(), address.getPort());
    client.setSoTimeout(Rig.PATIENCE_MS);
    Rig.send(client, Rig.look(Rig.id(), ""));
    return client;
  }

  /** What the agent has counts as told from the first moment of a process. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aRequestThatComesBeforeTheAgentIsHeardDoesNotGoByTheOldList(boolean wholeList)
      throws Exception {
    String oldDrains = Rig.entry(oldHost.address(), "Terminating");
    told =
        wholeList
            ? Rig.list(2, true, oldDrains, Rig.entry(newHost.address(), "Ready"))
            : Rig.list(2, false, oldDrains);
    gateway.firstListTimeoutMs = Rig.PATIENCE_MS;
    try (Socket client = ask()) {
      Rig.await("a call to the agent", () -> agent.heads.size() > 0);
      // The request is read by then, and what the module asks for is done.
      for (int i = 0; i < 20; i++) {
        gateway.loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).sync();
      }
      assertThat(oldHost.heads).isEmpty();
      assertThat(newHost.heads).isEmpty();
      agentSpeaks.countDown();
      assertThat(Rig.receive(client)).contains(" 200 ").endsWith("new");
      assertThat(oldHost.heads).isEmpty();
    }
  }

  /** Nothing has changed since the list of the configuration: that holds, at once. */
  @Test
  void anAgentWithNoChangesLeavesTheOldListInForce() throws Exception {
    told = Rig.list(1, false);
    gateway.firstListTimeoutMs = Rig.PATIENCE_MS;
    agentSpeaks.countDown();
    try (Socket client = ask()) {
      assertThat(Rig.receive(client)).contains(" 200 ");
    }
  }

  /** While discovery is down it learns nothing, and the old list is all that there is. */
  @Test
  void anAgentThatSaysNothingIsNotWaitedForForEver() throws Exception {
    gateway.firstListTimeoutMs = 1;
    try (Socket client = ask()) {
      assertThat(Rig.receive(client)).contains(" 200 ");
    }
  }
}
