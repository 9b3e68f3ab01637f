package hazelspoke.emulator.net;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.emulator.judge.EventLog;
import hazelspoke.emulator.model.Registry;
import hazelspoke.emulator.model.Registry.Entry;
import hazelspoke.emulator.model.Registry.Status;
import hazelspoke.emulator.script.Script;
import hazelspoke.emulator.script.ScriptReader;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What discovery says over its sockets, and what counts as told. */
class DiscoveryTest {
  private static final int PATIENCE_MS = 30_000;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EmulatorLoop emulatorLoop = new EmulatorLoop(group.next());
  private final EventLog ledger = new EventLog();
  private final Registry registry = new Registry();
  private InetSocketAddress address;
  private Discovery discovery;

  private void open(double mustAskMs, String more) throws Exception {
    Script script = ScriptReader.read("x", "length_s = 9\n[load]\nrate = 1\n" + more);
    address = Ports.free(78, 200);
    discovery = new Discovery(emulatorLoop, ledger, registry, null, script.discovery(), mustAskMs);
    onLoop(
        () -> {
          registry.put(entry("s1", Status.READY));
          registry.put(entry("s2", Status.READY));
          discovery.open(0, address);
          discovery.recordConfiguredHosts(0);
          discovery.start();
          return null;
        });
    // Bound on a later turn of the loop.
    onLoop(() -> null);
  }

  @AfterEach
  void close() {
    group.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.SECONDS);
  }

  private <T> T onLoop(Callable<T> task) {
    return emulatorLoop.loop().submit(task).syncUninterruptibly().getNow();
  }

  private static Entry entry(String name, Status status) {
    return new Entry(name, "127.0.0.1:1", "a", "k", 0, status, 0, 0);
  }

  private Socket ask(String path) throws IOException {
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(PATIENCE_MS);
    socket
        .getOutputStream()
        .write(
            ("GET " + path + " HTTP/1.1\r\nHost: d\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private static BufferedReader reader(Socket socket) throws IOException {
    return new BufferedReader(
        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
  }

  /** The next line with this in it; null when the connection ends before. */
  private static String until(BufferedReader in, String what) throws IOException {
    String line;
    do {
      line = in.readLine();
    } while (line != null && !line.contains(what));
    return line;
  }

  private List<Boolean> told(String host) {
    return onLoop(
        () ->
            ledger.notifications(0, host).stream().map(EventLog.HostNotification::ready).toList());
  }

  private void awaitTold(String host, Boolean... ready) throws InterruptedException {
    long end = System.nanoTime() + PATIENCE_MS * 1_000_000L;
    while (!told(host).equals(List.of(ready))) {
      assertThat(System.nanoTime()).as("%s of %s", told(host), host).isLessThan(end);
      Thread.sleep(5);
    }
  }

  @Test
  void aWatchHearsTheListAndThenWhatChanges() throws Exception {
    open(1e6, "");
    try (Socket watch = ask("/v1/servers?watch=1&from=0")) {
      BufferedReader in = reader(watch);
      assertThat(in.readLine()).isEqualTo("HTTP/1.1 200 OK");
      assertThat(until(in, "{")).contains("\"snapshot\":true", "\"s1\"", "\"s2\"");
      onLoop(
          () -> {
            registry.announce(entry("s1", Status.TERMINATING), emulatorLoop.now(), 10);
            return null;
          });
      assertThat(until(in, "{"))
          .contains("\"snapshot\":false", "\"status\":\"Terminating\"")
          .doesNotContain("s2");
      awaitTold("s1", true, true, false);
      onLoop(
          () -> {
            discovery.setUnavailable(true);
            return null;
          });
      assertThat(until(in, "{")).isNull();
      assertThat(reader(ask("/v1/servers")).readLine()).startsWith("HTTP/1.1 503");
    }
  }

  @Test
  void whoNeverAsksCountsAsTold() throws Exception {
    open(100, "");
    onLoop(
        () -> {
          registry.announce(entry("s2", Status.GONE), emulatorLoop.now(), 0);
          return null;
        });
    awaitTold("s2", true, false);
    assertThat(told("s1")).containsExactly(true);
  }

  /** It has asked in vain, and may wait four times as long before it asks again. */
  @Test
  void whoseCallFailedCountsAsToldLater() throws Exception {
    open(2_000, "");
    double at =
        onLoop(
            () -> {
              discovery.setUnavailable(true);
              registry.announce(entry("s2", Status.GONE), emulatorLoop.now(), 0);
              return emulatorLoop.now();
            });
    while (onLoop(registry::index) < 2) {
      Thread.sleep(5);
    }
    assertThat(reader(ask("/v1/servers")).readLine()).startsWith("HTTP/1.1 503");
    awaitTold("s2", true, false);
    assertThat(onLoop(() -> ledger.notifications(0, "s2").get(1).at()) - at)
        .isGreaterThanOrEqualTo(8_000);
  }

  @Test
  void aFullServiceTurnsCallsAway() throws Exception {
    open(1e6, "[discovery]\nlines_per_s = 1\ncall_lines = 10\n");
    assertThat(reader(ask("/v1/servers")).readLine()).startsWith("HTTP/1.1 503");
    assertThat(reader(ask("/v2/other")).readLine()).startsWith("HTTP/1.1 404");
  }
}
