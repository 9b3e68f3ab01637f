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

/** A stock server over raw sockets: what a gateway gets to see of each state. */
class HostTest {
  private static final int PATIENCE_MS = 30_000;

  /** As good as for ever: what must not end while a test looks at it. */
  private static final int LONG_MS = 1_000_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EmulatorLoop emulatorLoop = new EmulatorLoop(group.next());
  private final EventLog ledger = new EventLog();
  private Host host;
  private int asked;

  /** One core, one waiting place, three connections that are closed after 400 ms at rest. */
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
            new IdempotencyWindow(LONG_MS),
            new LedgerSink(ledger));
    onLoop(() -> host.start(false));
    // Bound on a later turn of the loop.
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
    socket.setSoTimeout(PATIENCE_MS);
    return socket;
  }

  private String send(Socket socket, double workMs) throws IOException {
    String txn = "t" + asked++;
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

  /** The head of the next answer and its body. */
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

  private void awaitHeld(int count) throws InterruptedException {
    long limit = System.nanoTime() + PATIENCE_MS * 1_000_000L;
    while (emulatorLoop.loop().submit(host::heldRequests).syncUninterruptibly().getNow() != count) {
      assertThat(System.nanoTime()).isLessThan(limit);
      Thread.sleep(5);
    }
  }

  @Test
  void anAnswerNamesItsRequestAndItsMaker() throws Exception {
    try (Socket socket = connect()) {
      String txn = send(socket, 1);
      String answer = receive(socket);
      assertThat(answer).startsWith("HTTP/1.1 200").endsWith(Wire.responseBody(txn, "s1"));
      assertThat(Wire.respondingHost(txn, Wire.responseBody(txn, "s1"))).isEqualTo("s1");
      assertThat(Wire.respondingHost("other", Wire.responseBody(txn, "s1"))).isNull();
      assertThat(Wire.respondingHost(txn, Wire.responseBody(txn, "s1") + "=")).isNull();
      onLoop(() -> assertThat(end(txn)).isEqualTo(AttemptEnd.SERVED));
    }
  }

  @Test
  void whatFindsNoPlaceIsTurnedAwayAndSaysSo() throws Exception {
    try (Socket running = connect();
        Socket waiting = connect();
        Socket third = connect();
        Socket fourth = connect()) {
      send(running, LONG_MS);
      send(waiting, LONG_MS);
      awaitHeld(2);
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
  void onlyWhatRanMakesARepeat() throws Exception {
    try (Socket running = connect();
        Socket waiting = connect();
        Socket keyed = connect()) {
      send(running, 300);
      send(waiting, 1);
      awaitHeld(2);
      sendKeyed(keyed);
      assertThat(receive(keyed)).startsWith("HTTP/1.1 503");
      awaitHeld(0);
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
            + asked++
            + "\r\nIdempotency-Key: one\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  @Test
  void aDrainingOneTurnsAwayAndFinishesWhatItHas() throws Exception {
    try (Socket first = connect();
        Socket second = connect()) {
      String had = send(first, 300);
      awaitHeld(1);
      onLoop(host::drain);
      send(second, 1);
      assertThat(receive(second)).startsWith("HTTP/1.1 503").contains("X-Turned-Away: 1");
      assertThat(receive(first)).endsWith(Wire.responseBody(had, "s1"));
    }
  }

  @Test
  void anErrorPromisesNothing() throws Exception {
    onLoop(() -> host.setErrorRate(at -> 1));
    try (Socket socket = connect()) {
      send(socket, 1);
      assertThat(receive(socket)).startsWith("HTTP/1.1 500").doesNotContain("X-Turned-Away");
    }
  }

  @Test
  void aBrokenOffAnswerIsHalfAnAnswer() throws Exception {
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
  void aCrashResetsAndRefusesAndAStartTakesAgain() throws Exception {
    try (Socket socket = connect()) {
      String txn = send(socket, LONG_MS);
      awaitHeld(1);
      onLoop(host::crash);
      assertThatThrownBy(() -> receive(socket)).isInstanceOf(SocketException.class);
      onLoop(() -> assertThat(end(txn)).isEqualTo(AttemptEnd.RESET));
    }
    awaitRefused();
    onLoop(() -> host.start(true));
    awaitServed();
  }

  private void awaitServed() throws Exception {
    long limit = System.nanoTime() + PATIENCE_MS * 1_000_000L;
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
  void aVanishedOneIsSilentAndNewConnectionsNeverComeUp() throws Exception {
    try (Socket socket = connect()) {
      send(socket, 1);
      receive(socket);
      onLoop(host::vanish);
      send(socket, 1);
      socket.setSoTimeout(300);
      assertThatThrownBy(() -> receive(socket)).isInstanceOf(SocketTimeoutException.class);
      awaitNoConnection();
      onLoop(() -> host.start(true));
      socket.setSoTimeout(PATIENCE_MS);
      assertThatThrownBy(() -> receive(socket)).isInstanceOf(SocketException.class);
    }
    awaitServed();
  }

  /**
   * Waits until the system has let go of the listener, which it does when the loop next looks at
   * its sockets and not with its next task; from then on each new connection is refused.
   */
  private void awaitRefused() throws Exception {
    long limit = System.nanoTime() + PATIENCE_MS * 1_000_000L;
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

  /** Refused at first, for as long as the system takes to let go of the listener. */
  private void awaitNoConnection() throws Exception {
    long limit = System.nanoTime() + PATIENCE_MS * 1_000_000L;
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
  void aFrozenOneAnswersEverythingAtOnceAlsoWhatCameMeanwhile() throws Exception {
    try (Socket before = connect();
        Socket during = connect();
        Socket left = connect()) {
      String first = send(before, 1_000);
      awaitHeld(1);
      onLoop(host::freeze);
      String second = send(during, 1);
      String gone = send(left, 1);
      // Longer than its work takes, which goes on behind the silence.
      before.setSoTimeout(1_300);
      assertThatThrownBy(() -> receive(before)).isInstanceOf(SocketTimeoutException.class);
      // As much as came: the one before, behind the silence, and two that wait to be looked at.
      awaitHeld(3);
      left.close();
      awaitEnd(gone, AttemptEnd.GIVEN_UP);
      onLoop(host::thaw);
      before.setSoTimeout(PATIENCE_MS);
      assertThat(receive(before)).endsWith(Wire.responseBody(first, "s1"));
      assertThat(receive(during)).endsWith(Wire.responseBody(second, "s1"));
    }
  }

  private void awaitEnd(String txn, AttemptEnd end) throws InterruptedException {
    long limit = System.nanoTime() + PATIENCE_MS * 1_000_000L;
    while (emulatorLoop.loop().submit(() -> end(txn)).syncUninterruptibly().getNow() != end) {
      assertThat(System.nanoTime()).isLessThan(limit);
      Thread.sleep(5);
    }
  }

  @Test
  void oneThatRefusesKeepsItsOpenConnections() throws Exception {
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
  void probesAreAnsweredAndStrangersAreNot() throws Exception {
    try (Socket socket = connect()) {
      write(socket, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
      assertThat(receive(socket)).startsWith("HTTP/1.1 200");
      write(socket, "GET /load HTTP/1.1\r\nHost: h\r\n\r\n");
      assertThat(receive(socket)).matches("(?s).*TEXT err_ps=[0-9.]+, concurrent=[0-9.]+");
      write(socket, "GET /dispatch HTTP/1.1\r\nHost: h\r\n\r\n");
      assertThat(receive(socket)).startsWith("HTTP/1.1 404");
      // At rest for longer than its time: the host closes it.
      assertThat(socket.getInputStream().read()).isEqualTo(-1);
    }
  }
}
