package hazelspoke.emulator.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import hazelspoke.emulator.judge.EventLog;
import hazelspoke.emulator.judge.EventLog.AttemptEnd;
import hazelspoke.emulator.model.IdempotencyWindow;
import hazelspoke.emulator.model.ServerSpec;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A stock server over raw sockets: what a gateway observes of each state. */
class HostTest {
  private static final int TIMEOUT_MS = 30_000;

  /** Longer than any test: work that must not end while a test observes it. */
  private static final int ENDLESS_MS = 1_000_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EmulatorLoop emulatorLoop = new EmulatorLoop(group.next());
  private final EventLog ledger = new EventLog();
  private Host host;
  private int requests;

  /** One core, a queue of one, three connections that are closed after 400 ms of idle time. */
  private static ServerSpec spec() {
    return new ServerSpec(
        "s1",
        0,
        "large",
        0,
        List.of(1.0),
        1,
        0,
        9,
        0.5,
        1_000,
        1e9,
        0,
        0,
        3,
        0,
        0,
        400,
        0.5,
        1_000,
        2,
        0,
        50,
        0,
        0);
  }

  @BeforeEach
  void start() throws IOException {
    host =
        new Host(
            emulatorLoop,
            spec(),
            Ports.free(77, 300),
            new Host.Rules(true, false, 3, 3_000, 0, 1),
            new IdempotencyWindow(ENDLESS_MS),
            new LedgerSink(ledger));
    onLoop(() -> host.start(false));
    // The listener is bound in a later event-loop iteration.
    onLoop(() -> {});
  }

  @AfterEach
  void stop() {
    onLoop(host::close);
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  private void onLoop(Runnable task) {
    emulatorLoop.loop().submit(task).syncUninterruptibly();
  }

  private Socket connect() throws IOException {
    InetSocketAddress address = host.address();
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(TIMEOUT_MS);
    return socket;
  }

  private String send(Socket socket, double workMs) throws IOException {
    String txn = "t" + requests++;
    String body = Wire.requestBody(1, workMs);
    write(
        socket,
        "POST /dispatch HTTP/1.1\r\nHost: h\r\nX-Txn: "
            + txn
            + "\r\nX-Remaining: 9\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
    return txn;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** Reads the head and the body of the next response. */
  private static String receive(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int c = in.read();
      if (c < 0) {
        return head.toString();
      }
      head.append((char) c);
    }
    int length = 0;
    for (String line : head.toString().toLowerCase(Locale.ROOT).split("\r\n")) {
      if (line.startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(15).trim());
      }
    }
    return head + new String(in.readNBytes(length), StandardCharsets.US_ASCII);
  }

  private AttemptEnd end(String txn) {
    return ledger.attempts(txn).get(0).end;
  }

  private void awaitHeldRequests(int count) throws InterruptedException {
    long limit = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
    while (emulatorLoop.loop().submit(host::heldRequests).syncUninterruptibly().getNow() != count) {
      assertThat(System.nanoTime()).isLessThan(limit);
      Thread.sleep(5);
    }
  }

  @Test
  void responseNamesItsRequestAndItsHost() throws Exception {
    try (Socket socket = connect()) {
      String txn = send(socket, 1);
      String response = receive(socket);
      assertThat(response).startsWith("HTTP/1.1 200").endsWith(Wire.responseBody(txn, "s1"));
      assertThat(Wire.respondingHost(txn, Wire.responseBody(txn, "s1"))).isEqualTo("s1");
      assertThat(Wire.respondingHost("other", Wire.responseBody(txn, "s1"))).isNull();
      assertThat(Wire.respondingHost(txn, Wire.responseBody(txn, "s1") + "=")).isNull();
      onLoop(() -> assertThat(end(txn)).isEqualTo(AttemptEnd.SERVED));
    }
  }

  @Test
  void requestBeyondQueueOrConnectionLimitIsRejectedWithHeader() throws Exception {
    try (Socket running = connect();
        Socket waiting = connect();
        Socket third = connect();
        Socket fourth = connect()) {
      send(running, ENDLESS_MS);
      send(waiting, ENDLESS_MS);
      awaitHeldRequests(2);
      String full = send(third, 1);
      assertThat(receive(third)).startsWith("HTTP/1.1 503").contains("X-Turned-Away: 1");
      onLoop(() -> assertThat(end(full)).isEqualTo(AttemptEnd.TURNED_AWAY));
      send(fourth, 1);
      assertThat(receive(fourth).toLowerCase(Locale.ROOT))
          .startsWith("http/1.1 503")
          .contains("x-turned-away: 1", "connection: close");
      assertThat(fourth.getInputStream().read()).isEqualTo(-1);
    }
  }

  @Test
  void rejectedRequestLeavesItsKeyUnused() throws Exception {
    try (Socket running = connect();
        Socket waiting = connect();
        Socket keyed = connect()) {
      send(running, 300);
      send(waiting, 1);
      awaitHeldRequests(2);
      sendKeyed(keyed);
      assertThat(receive(keyed)).startsWith("HTTP/1.1 503");
      awaitHeldRequests(0);
      sendKeyed(keyed);
      assertThat(receive(keyed)).startsWith("HTTP/1.1 200");
      onLoop(() -> assertThat(host.suppressedDuplicates()).isZero());
      sendKeyed(keyed);
      assertThat(receive(keyed)).startsWith("HTTP/1.1 200");
      onLoop(() -> assertThat(host.suppressedDuplicates()).isEqualTo(1));
    }
  }

  private void sendKeyed(Socket socket) throws IOException {
    String body = Wire.requestBody(1, 1);
    write(
        socket,
        "POST /reserve HTTP/1.1\r\nHost: h\r\nX-Txn: k"
            + requests++
            + "\r\nIdempotency-Key: one\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  @Test
  void drainingHostRejectsNewRequestsAndFinishesAcceptedOnes() throws Exception {
    try (Socket first = connect();
        Socket second = connect()) {
      String accepted = send(first, 300);
      awaitHeldRequests(1);
      onLoop(host::drain);
      send(second, 1);
      assertThat(receive(second)).startsWith("HTTP/1.1 503").contains("X-Turned-Away: 1");
      assertThat(receive(first)).endsWith(Wire.responseBody(accepted, "s1"));
    }
  }

  @Test
  void errorResponseIsNotMarkedAsRejected() throws Exception {
    onLoop(() -> host.setErrorRate(at -> 1));
    try (Socket socket = connect()) {
      send(socket, 1);
      assertThat(receive(socket)).startsWith("HTTP/1.1 500").doesNotContain("X-Turned-Away");
    }
  }

  @Test
  void truncatedResponseEndsWithAReset() throws Exception {
    onLoop(() -> host.setResetRate(1));
    try (Socket socket = connect()) {
      String txn = send(socket, 1);
      assertThatThrownBy(
              () -> {
                if (receive(socket).length() < Wire.responseBody(txn, "s1").length()) {
                  throw new SocketException("cut");
                }
              })
          .isInstanceOf(SocketException.class);
      onLoop(() -> assertThat(end(txn)).isEqualTo(AttemptEnd.RESET));
    }
  }

  @Test
  void crashResetsAndRefusesConnectionsAndAStartAcceptsAgain() throws Exception {
    try (Socket socket = connect()) {
      String txn = send(socket, ENDLESS_MS);
      awaitHeldRequests(1);
      onLoop(host::crash);
      assertThatThrownBy(() -> receive(socket)).isInstanceOf(SocketException.class);
      onLoop(() -> assertThat(end(txn)).isEqualTo(AttemptEnd.RESET));
    }
    awaitRefused();
    onLoop(() -> host.start(true));
    awaitServed();
  }

  private void awaitServed() throws Exception {
    long limit = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
    while (true) {
      try (Socket socket = connect()) {
        send(socket, 1);
        if (receive(socket).startsWith("HTTP/1.1 200")) {
          return;
        }
      } catch (IOException e) {
        assertThat(System.nanoTime()).isLessThan(limit);
      }
      Thread.sleep(5);
    }
  }

  @Test
  void vanishedHostDoesNotRespondAndNewConnectionsAreNeverEstablished() throws Exception {
    try (Socket socket = connect()) {
      send(socket, 1);
      receive(socket);
      onLoop(host::vanish);
      send(socket, 1);
      socket.setSoTimeout(300);
      assertThatThrownBy(() -> receive(socket)).isInstanceOf(SocketTimeoutException.class);
      awaitNoConnection();
      onLoop(() -> host.start(true));
      socket.setSoTimeout(TIMEOUT_MS);
      assertThatThrownBy(() -> receive(socket)).isInstanceOf(SocketException.class);
    }
    awaitServed();
  }

  /**
   * Waits until the operating system has released the listener, which happens when the loop next
   * polls its sockets and not with its next task; from then on each new connection is refused.
   */
  private void awaitRefused() throws Exception {
    long limit = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
    boolean refused = false;
    while (!refused) {
      try (Socket early = connect()) {
        assertThat(System.nanoTime()).as(early + " came up").isLessThan(limit);
      } catch (ConnectException e) {
        refused = true;
      }
    }
    for (int i = 0; i < 3; i++) {
      assertThatThrownBy(this::connect).isInstanceOf(ConnectException.class);
    }
  }

  /** Connections are refused at first, until the operating system has released the listener. */
  private void awaitNoConnection() throws Exception {
    long limit = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
    while (true) {
      try (Socket socket = new Socket()) {
        socket.connect(host.address(), 300);
      } catch (SocketTimeoutException e) {
        return;
      } catch (ConnectException e) {
        assertThat(System.nanoTime()).isLessThan(limit);
      }
      Thread.sleep(5);
    }
  }

  @Test
  void frozenHostSendsAllResponsesAfterThawAlsoForRequestsReceivedMeanwhile() throws Exception {
    try (Socket before = connect();
        Socket during = connect();
        Socket closing = connect()) {
      String first = send(before, 1_000);
      awaitHeldRequests(1);
      onLoop(host::freeze);
      String second = send(during, 1);
      String cancelled = send(closing, 1);
      // Longer than the work takes, which goes on while the host is frozen.
      before.setSoTimeout(1_300);
      assertThatThrownBy(() -> receive(before)).isInstanceOf(SocketTimeoutException.class);
      // The finished request from before, whose response is deferred, and two that are not read
      // yet.
      awaitHeldRequests(3);
      closing.close();
      awaitEnd(cancelled, AttemptEnd.GIVEN_UP);
      onLoop(host::thaw);
      before.setSoTimeout(TIMEOUT_MS);
      assertThat(receive(before)).endsWith(Wire.responseBody(first, "s1"));
      assertThat(receive(during)).endsWith(Wire.responseBody(second, "s1"));
    }
  }

  private void awaitEnd(String txn, AttemptEnd end) throws InterruptedException {
    long limit = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
    while (emulatorLoop.loop().submit(() -> end(txn)).syncUninterruptibly().getNow() != end) {
      assertThat(System.nanoTime()).isLessThan(limit);
      Thread.sleep(5);
    }
  }

  @Test
  void refusingHostKeepsItsOpenConnections() throws Exception {
    try (Socket socket = connect()) {
      send(socket, 1);
      receive(socket);
      onLoop(() -> host.setRefusing(true));
      awaitRefused();
      send(socket, 1);
      assertThat(receive(socket)).startsWith("HTTP/1.1 200");
      onLoop(() -> host.setRefusing(false));
    }
    awaitServed();
  }

  @Test
  void respondsToProbesAndNotToRequestsWithoutId() throws Exception {
    try (Socket socket = connect()) {
      write(socket, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
      assertThat(receive(socket)).startsWith("HTTP/1.1 200");
      write(socket, "GET /load HTTP/1.1\r\nHost: h\r\n\r\n");
      assertThat(receive(socket)).matches("(?s).*TEXT err_ps=[0-9.]+, concurrent=[0-9.]+");
      write(socket, "GET /dispatch HTTP/1.1\r\nHost: h\r\n\r\n");
      assertThat(receive(socket)).startsWith("HTTP/1.1 404");
      // The connection was idle for longer than its limit: the host closes it.
      assertThat(socket.getInputStream().read()).isEqualTo(-1);
    }
  }
}
