package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.net.Transport;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
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

/** A gateway starts with an old configured list while an agent pushes a newer one. */
class InitialHostListTest {
  /** What the agent does after its first piece. */
  private interface Continuation {
    void accept(OutputStream out) throws Exception;
  }

  private final ByteArrayOutputStream log = new ByteArrayOutputStream();
  private final CountDownLatch agentResponds = new CountDownLatch(1);
  private volatile String agentList;
  private volatile Continuation afterList = out -> {};
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
              Rig.awaitLatch(agentResponds);
              FakeServer.respond(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
              FakeServer.respond(out, chunk(agentList));
              afterList.accept(out);
              return true;
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

  private static String chunk(String text) {
    return Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n";
  }

  @AfterEach
  void stop() throws Exception {
    agentResponds.countDown();
    gateway.drain();
    Files.delete(file);
    agent.close();
    newHost.close();
    oldHost.close();
  }

  private Socket startAndSendRequest() throws Exception {
    InetSocketAddress address = (InetSocketAddress) gateway.start();
    Socket client = new Socket(address.getAddress(), address.getPort());
    client.setSoTimeout(Rig.PATIENCE_MS);
    Rig.send(client, Rig.look(Rig.id(), ""));
    return client;
  }

  /** The gateway is expected to know the agent's list from the start of its process. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void holdsRequestUntilAgentSendsItsList(boolean isSnapshot) throws Exception {
    String drainingOldHost = Rig.entry(oldHost.address(), "Terminating");
    agentList =
        isSnapshot
            ? Rig.list(2, true, drainingOldHost, Rig.entry(newHost.address(), "Ready"))
            : Rig.list(2, false, drainingOldHost);
    gateway.firstListTimeoutMs = Rig.PATIENCE_MS;
    try (Socket client = startAndSendRequest()) {
      Rig.await("a call to the agent", () -> agent.heads.size() > 0);
      // Enough iterations to read the request and to carry out the balancer's actions.
      for (int i = 0; i < 20; i++) {
        gateway.loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).sync();
      }
      assertThat(oldHost.heads).isEmpty();
      assertThat(newHost.heads).isEmpty();
      agentResponds.countDown();
      assertThat(Rig.receive(client)).contains(" 200 ").endsWith("new");
      assertThat(oldHost.heads).isEmpty();
    }
  }

  /** Guards against hosts of the configured list that are used while the agent's is arriving. */
  @Test
  void holdsRequestUntilListInPiecesIsComplete() throws Exception {
    CountDownLatch rest = new CountDownLatch(1);
    String list =
        Rig.list(
            2,
            true,
            Rig.entry(newHost.address(), "Ready"),
            Rig.entry("127.0.0.1:1", "Terminating"));
    agentList = list.substring(0, list.lastIndexOf(",{"));
    afterList =
        out -> {
          Rig.awaitLatch(rest);
          FakeServer.respond(out, chunk(list.substring(agentList.length())));
        };
    gateway.firstListTimeoutMs = Rig.PATIENCE_MS;
    agentResponds.countDown();
    try (Socket client = startAndSendRequest()) {
      Rig.await("a call to the agent", () -> agent.heads.size() > 0);
      for (int i = 0; i < 200; i++) {
        gateway.loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).sync();
      }
      assertThat(oldHost.heads).isEmpty();
      assertThat(newHost.heads).isEmpty();
      rest.countDown();
      assertThat(Rig.receive(client)).contains(" 200 ").endsWith("new");
      assertThat(oldHost.heads).isEmpty();
    }
  }

  /** Without changes since the configured list, that list is used at once. */
  @Test
  void usesConfiguredListIfAgentHasNoChanges() throws Exception {
    agentList = Rig.list(1, false);
    gateway.firstListTimeoutMs = Rig.PATIENCE_MS;
    agentResponds.countDown();
    try (Socket client = startAndSendRequest()) {
      assertThat(Rig.receive(client)).contains(" 200 ");
    }
  }

  /** While discovery is down, the configured list is used after a timeout. */
  @Test
  void usesConfiguredListIfAgentIsUnresponsive() throws Exception {
    gateway.firstListTimeoutMs = 1;
    try (Socket client = startAndSendRequest()) {
      assertThat(Rig.receive(client)).contains(" 200 ");
    }
  }
}
