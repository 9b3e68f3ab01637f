package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.agreement.member.MemberSettings;
import hazelspoke.agreement.net.FleetNode;
import hazelspoke.agreement.net.FleetSettings;
import hazelspoke.agreement.net.FleetSettings.PartitionPolicy;
import hazelspoke.net.Transport;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Service of clients by a gateway that is partitioned from its fleet. */
class PartitionedMemberTest {
  private static final List<String> NAMES = List.of("g1", "g2", "g3");

  @TempDir private Path folder;
  private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();

  private FleetSettings settings(String name, PartitionPolicy policy) {
    MemberSettings member =
        new MemberSettings(
            "f",
            name,
            "here",
            NAMES,
            NAMES,
            TimeUnit.SECONDS.toNanos(2),
            0.01,
            TimeUnit.MILLISECONDS.toNanos(100),
            1_000,
            true);
    return new FleetSettings(member, addresses, addresses.get(name), folder.resolve(name), policy);
  }

  private FleetNode open(String name) {
    return FleetNode.open(settings(name, PartitionPolicy.SERVE), line -> {}, () -> {});
  }

  private static String sendRequest(InetSocketAddress at, String request) {
    try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
      socket.setSoTimeout(Rig.PATIENCE_MS);
      Rig.send(socket, request);
      return Rig.receive(socket);
    } catch (IOException e) {
      return "none: " + e;
    }
  }

  private static String get(InetSocketAddress at, String path) {
    return sendRequest(at, "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
  }

  @ParameterizedTest
  @EnumSource(PartitionPolicy.class)
  void servesOrDrainsWhilePartitionedAndRecoversAfterwards(PartitionPolicy policy)
      throws Exception {
    for (String name : NAMES) {
      InetAddress address = InetAddress.getByName("127.85.3." + name.substring(1));
      try (ServerSocket free = new ServerSocket(0, 1, address)) {
        addresses.put(name, new InetSocketAddress(address, free.getLocalPort()));
      }
    }
    Path file = folder.resolve("config.json");
    Map<String, String> environment =
        Map.of("NODE_CONFIG", file.toString(), "NODE_MANAGEMENT", "127.0.0.1:0");
    ByteArrayOutputStream log = new ByteArrayOutputStream();
    List<FleetNode> otherMembers = new ArrayList<>(List.of(open("g2"), open("g3")));
    try (FakeServer host =
            new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok("done")));
        FakeServer discovery = Rig.discovery(Rig.list(1, host))) {
      Files.writeString(
          file, Rig.config("127.0.0.1:0", 160, discovery.address(), Rig.list(1, host)));
      Gateway gateway =
          new Gateway(GatewayConfig.read(environment), new PrintStream(log, true), Transport.TCP);
      try {
        InetSocketAddress operators = gateway.openManagement();
        assertThat(gateway.isServing()).isFalse();
        gateway.joinFleet(settings("g1", policy));
        gateway.awaitFleet();
        InetSocketAddress clients = (InetSocketAddress) gateway.start();
        Rig.await("ready", () -> get(operators, "/_ready").contains("200"));
        // The session becomes valid with its first renewal, after joining.
        Rig.await("session is valid", () -> get(operators, "/_vars").contains("svc.fleet.holds=1"));
        assertThat(get(operators, "/_vars")).contains("svc.fleet.joined=1");

        otherMembers.forEach(FleetNode::close);
        otherMembers.clear();
        Rig.await("partitioned", () -> get(operators, "/_vars").contains("svc.fleet.holds=0"));
        boolean serves = policy == PartitionPolicy.SERVE;
        Rig.await("readiness follows", () -> get(operators, "/_ready").contains("200") == serves);
        String answer = sendRequest(clients, Rig.dispatch(Rig.id(), ""));
        // Requests that arrive anyway are served; in a drain the client is asked to reconnect
        // elsewhere.
        assertThat(answer).contains("200").endsWith("done");
        assertThat(answer.toLowerCase(java.util.Locale.ROOT).contains("connection: close"))
            .isEqualTo(!serves);

        otherMembers.add(open("g2"));
        Rig.await(
            "session is valid again", () -> get(operators, "/_vars").contains("svc.fleet.holds=1"));
        Rig.await("ready again", () -> get(operators, "/_ready").contains("200"));
        assertThat(sendRequest(clients, Rig.dispatch(Rig.id(), ""))).contains("200");
      } finally {
        gateway.drain();
      }
      assertThat(log.toString(StandardCharsets.UTF_8)).contains("event=joined", "event=alone");
    } finally {
      otherMembers.forEach(FleetNode::close);
    }
  }

  @Test
  void reportsEachErrorOfTheOperatorsFileOnItsOwnLine() throws Exception {
    Path file = folder.resolve("pumicetray.toml");
    Files.writeString(file, "[fleet]\nname = \"f\"\n[fleet.members]\ng1 = \"x\"\n");
    Path config = folder.resolve("config.json");
    Files.writeString(config, Rig.config("127.0.0.1:0", 160, "127.0.0.1:1", "{}"));
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    int status =
        Gateway.serve(
            Map.of("NODE_CONFIG", config.toString(), "PUMICETRAY_CONFIG", file.toString()),
            new PrintStream(err, true));
    assertThat(status).isEqualTo(1);
    assertThat(err.toString(StandardCharsets.UTF_8).lines())
        .hasSizeGreaterThan(3)
        .allMatch(line -> line.startsWith("hazelspoke: " + file));
  }
}
