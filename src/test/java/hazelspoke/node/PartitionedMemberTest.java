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

/** What a gateway does for its clients while it cannot hear its fleet. */
class PartitionedMemberTest {
  private static final List<String> NAMES = List.of("g1", "g2", "g3");

  @TempDir private Path folder;
  private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();

  private FleetSettings settings(String name, PartitionPolicy alone) {
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
    return new FleetSettings(member, addresses, addresses.get(name), folder.resolve(name), alone);
  }

  private FleetNode open(String name) {
    return FleetNode.open(settings(name, PartitionPolicy.SERVE), line -> {}, () -> {});
  }

  private static String call(InetSocketAddress at, String request) {
    try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
      socket.setSoTimeout(Rig.PATIENCE_MS);
      Rig.send(socket, request);
      return Rig.receive(socket);
    } catch (IOException e) {
      return "none: " + e;
    }
  }

  private static String get(InetSocketAddress at, String path) {
    return call(at, "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
  }

  @ParameterizedTest
  @EnumSource(PartitionPolicy.class)
  void itGoesOnOrTakesNobodyNewAndIsBackWhenItHearsThem(PartitionPolicy alone) throws Exception {
    for (String name : NAMES) {
      InetAddress own = InetAddress.getByName("127.85.3." + name.substring(1));
      try (ServerSocket free = new ServerSocket(0, 1, own)) {
        addresses.put(name, new InetSocketAddress(own, free.getLocalPort()));
      }
    }
    Path file = folder.resolve("config.json");
    Map<String, String> environment =
        Map.of("NODE_CONFIG", file.toString(), "NODE_MANAGEMENT", "127.0.0.1:0");
    ByteArrayOutputStream log = new ByteArrayOutputStream();
    List<FleetNode> others = new ArrayList<>(List.of(open("g2"), open("g3")));
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
        gateway.joinFleet(settings("g1", alone));
        gateway.awaitFleet();
        InetSocketAddress clients = (InetSocketAddress) gateway.start();
        Rig.await("ready", () -> get(operators, "/_ready").contains("200"));
        // Who has joined asks for its first renewal.
        Rig.await("held", () -> get(operators, "/_vars").contains("svc.fleet.holds=1"));
        assertThat(get(operators, "/_vars")).contains("svc.fleet.joined=1");

        others.forEach(FleetNode::close);
        others.clear();
        Rig.await("alone", () -> get(operators, "/_vars").contains("svc.fleet.holds=0"));
        boolean serves = alone == PartitionPolicy.SERVE;
        Rig.await("told", () -> get(operators, "/_ready").contains("200") == serves);
        String answer = call(clients, Rig.dispatch(Rig.id(), ""));
        // What comes all the same is served either way, and told to go elsewhere next.
        assertThat(answer).contains("200").endsWith("done");
        assertThat(answer.toLowerCase(java.util.Locale.ROOT).contains("connection: close"))
            .isEqualTo(!serves);

        others.add(open("g2"));
        Rig.await("back", () -> get(operators, "/_vars").contains("svc.fleet.holds=1"));
        Rig.await("ready again", () -> get(operators, "/_ready").contains("200"));
        assertThat(call(clients, Rig.dispatch(Rig.id(), ""))).contains("200");
      } finally {
        gateway.drain();
      }
      assertThat(log.toString(StandardCharsets.UTF_8)).contains("event=joined", "event=alone");
    } finally {
      others.forEach(FleetNode::close);
    }
  }

  @Test
  void aBadFileIsToldLineByLine() throws Exception {
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
