package hazelspoke.emulator.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import hazelspoke.emulator.model.LinkState.AcceptMode;
import hazelspoke.emulator.model.LinkState.Impairment;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What two processes observe of each fault on the link between them, over real sockets. */
class LinkTest {
  private static final int TIMEOUT_MS = 30_000;

  /** Time after which data that has not arrived counts as blocked. */
  private static final int BLOCKED_MS = 300;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EmulatorLoop emulatorLoop = new EmulatorLoop(group.next());
  private final Map<SocketAddress, Link.RelayedConnection> connections = new HashMap<>();
  private ServerSocket host;
  private Link link;

  @BeforeEach
  void open() throws Exception {
    host = new ServerSocket(0, 50, InetAddress.getByName("127.76.0.1"));
    host.setSoTimeout(TIMEOUT_MS);
    link =
        new Link(
            emulatorLoop,
            Ports.free(76, 9_999),
            new InetSocketAddress(host.getInetAddress(), host.getLocalPort()),
            connections,
            "s1");
    // Without the monitor the loop counts as stalled, and data it reads as sent long before.
    on(l -> emulatorLoop.monitorLag(late -> {}));
    on(l -> l.setHostAcceptMode(AcceptMode.OPEN));
  }

  @AfterEach
  void close() throws Exception {
    on(Link::close);
    host.close();
    assertThat(emulatorLoop.failure()).isNotDone();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private void on(Consumer<Link> task) {
    emulatorLoop.loop().submit(() -> task.accept(link)).syncUninterruptibly();
  }

  /** Both ends of one connection through the relay. */
  private final class Pair implements AutoCloseable {
    final Socket caller;
    final Socket called;

    Pair() throws Exception {
      caller = connect();
      called = host.accept();
      called.setSoTimeout(TIMEOUT_MS);
      called.setTcpNoDelay(true);
      // Makes sure that the relay has connected both ends.
      send(caller, 'c');
      receive(called, 'c');
      send(called, 'h');
      receive(caller, 'h');
    }

    @Override
    public void close() throws IOException {
      caller.close();
      called.close();
    }
  }

  /** Retries, as the relay opens and closes its listener in event-loop iterations. */
  private Socket connect() throws Exception {
    long limit = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
    while (true) {
      Socket socket = new Socket();
      try {
        socket.connect(link.address(), BLOCKED_MS);
        socket.setSoTimeout(TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        return socket;
      } catch (IOException e) {
        socket.close();
        assertThat(System.nanoTime()).isLessThan(limit);
        Thread.sleep(5);
      }
    }
  }

  private void awaitConnect(Class<? extends IOException> expected) throws Exception {
    long limit = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
    while (true) {
      assertThat(System.nanoTime()).as("no %s", expected).isLessThan(limit);
      try (Socket socket = new Socket()) {
        socket.connect(link.address(), BLOCKED_MS);
      } catch (IOException e) {
        if (expected.isInstance(e)) {
          return;
        }
      }
      Thread.sleep(5);
    }
  }

  private static void send(Socket socket, char what) throws IOException {
    socket.getOutputStream().write(what);
  }

  private static void receive(Socket socket, char what) throws IOException {
    assertThat((char) socket.getInputStream().read()).isEqualTo(what);
  }

  private static void receiveNothing(Socket socket) throws IOException {
    socket.setSoTimeout(BLOCKED_MS);
    assertThatThrownBy(() -> socket.getInputStream().read())
        .isInstanceOf(SocketTimeoutException.class);
    socket.setSoTimeout(TIMEOUT_MS);
  }

  private static void receiveReset(Socket socket) {
    assertThatThrownBy(() -> socket.getInputStream().read()).isInstanceOf(SocketException.class);
  }

  @Test
  void relaysAnEndOfStreamAndAResetUnchanged() throws Exception {
    try (Pair pair = new Pair()) {
      send(pair.caller, 'x');
      pair.caller.shutdownOutput();
      receive(pair.called, 'x');
      assertThat(pair.called.getInputStream().read()).as("end of stream to the host").isNegative();
      send(pair.called, 'y');
      receive(pair.caller, 'y');
      pair.called.close();
      assertThat(pair.caller.getInputStream().read())
          .as("end of stream to the caller")
          .isNegative();
    }
    try (Pair pair = new Pair()) {
      pair.called.setSoLinger(true, 0);
      pair.called.close();
      receiveReset(pair.caller);
    }
    long limit = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
    while (emulatorLoop.loop().submit(connections::size).syncUninterruptibly().getNow() > 0) {
      assertThat(System.nanoTime()).as("relayed connection not removed").isLessThan(limit);
      Thread.sleep(5);
    }
  }

  @Test
  void refusingAndVanishedHostsAppearAsSuchThroughTheRelay() throws Exception {
    on(l -> l.setHostAcceptMode(AcceptMode.REFUSING));
    awaitConnect(ConnectException.class);
    on(l -> l.setHostAcceptMode(AcceptMode.SILENT));
    awaitConnect(SocketTimeoutException.class);
    on(l -> l.setHostAcceptMode(AcceptMode.OPEN));
    new Pair().close();
  }

  @Test
  void cutRefusesConnectionsAndResetEndsBothSides() throws Exception {
    Impairment cut = Impairment.cut();
    try (Pair pair = new Pair()) {
      on(l -> l.begin(cut));
      on(Link::reset);
      receiveReset(pair.caller);
      receiveReset(pair.called);
      awaitConnect(ConnectException.class);
    }
    on(l -> l.end(cut));
    new Pair().close();
  }

  /** Data sent while blocked arrives in order afterwards, and so does the end of the stream. */
  @Test
  void eachDirectionIsBlockedSeparately() throws Exception {
    for (boolean forward : new boolean[] {true, false}) {
      Impairment silence = Impairment.silence(forward, !forward);
      try (Pair pair = new Pair()) {
        Socket sender = forward ? pair.caller : pair.called;
        Socket receiver = forward ? pair.called : pair.caller;
        on(l -> l.begin(silence));
        send(sender, '1');
        send(receiver, 'o');
        receive(sender, 'o');
        receiveNothing(receiver);
        send(sender, '2');
        sender.shutdownOutput();
        receiveNothing(receiver);
        awaitConnect(SocketTimeoutException.class);
        on(l -> l.end(silence));
        receive(receiver, '1');
        receive(receiver, '2');
        assertThat(receiver.getInputStream().read()).isNegative();
      }
      new Pair().close();
    }
  }

  @Test
  void blockedLinkDeliversNoReset() throws Exception {
    Impairment silence = Impairment.silence(true, true);
    try (Pair pair = new Pair()) {
      on(l -> l.begin(silence));
      pair.called.setSoLinger(true, 0);
      pair.called.close();
      receiveNothing(pair.caller);
      on(l -> l.end(silence));
      receiveReset(pair.caller);
    }
  }

  @Test
  void callerOfAHalfOpenConnectionIsNotNotifiedUntilTheFaultEnds() throws Exception {
    Runnable[] over = new Runnable[1];
    try (Pair pair = new Pair()) {
      on(l -> over[0] = l.resetHostEnds());
      receiveReset(pair.called);
      send(pair.caller, 'x');
      receiveNothing(pair.caller);
      new Pair().close();
      on(l -> over[0].run());
      receiveReset(pair.caller);
    }
  }

  /** The host can determine when delayed data was sent. */
  @Test
  void slowLinkDelaysBytesAndKeepsTheirSendTime() throws Exception {
    on(l -> l.begin(Impairment.delay(BLOCKED_MS)));
    try (Pair pair = new Pair()) {
      double before = emulatorLoop.now();
      send(pair.caller, 'x');
      receive(pair.called, 'x');
      double after = emulatorLoop.now();
      assertThat(after - before).isGreaterThanOrEqualTo(BLOCKED_MS);
      assertThat(sentAt(pair)).isLessThanOrEqualTo(after - BLOCKED_MS + 1);
    }
  }

  /** The relay can't know when data was sent that it did not read: at any time while blocked. */
  @Test
  void dataSentWhileBlockedCountsAsSentWhenTheBlockBegan() throws Exception {
    Impairment silence = Impairment.silence(true, true);
    try (Pair pair = new Pair()) {
      on(l -> l.begin(silence));
      double begun = emulatorLoop.now();
      send(pair.caller, 'x');
      receiveNothing(pair.called);
      on(l -> l.end(silence));
      receive(pair.called, 'x');
      assertThat(sentAt(pair)).isLessThanOrEqualTo(begun);
      double over = emulatorLoop.now();
      // From then on send times are known again; a stall of the loop may delay that briefly.
      long limit = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
      do {
        assertThat(System.nanoTime()).isLessThan(limit);
        Thread.sleep(5);
        send(pair.caller, 'y');
        receive(pair.called, 'y');
      } while (sentAt(pair) < over);
      on(l -> l.begin(silence));
      double again = emulatorLoop.now();
      send(pair.caller, 'z');
      pair.caller.shutdownOutput();
      receiveNothing(pair.called);
      on(l -> l.end(silence));
      receive(pair.called, 'z');
      assertThat(pair.called.getInputStream().read()).isNegative();
      assertThat(sentAt(pair)).as("unchanged by the end of the stream").isLessThanOrEqualTo(again);
    }
  }

  private double sentAt(Pair pair) {
    return emulatorLoop
        .loop()
        .submit(() -> connections.get(pair.called.getRemoteSocketAddress()).lastSentAt())
        .syncUninterruptibly()
        .getNow();
  }

  /** Much more data than fits any buffer, with a reader that starts late. */
  @Test
  void largeDataArrivesCompleteAndBlocksItsSender() throws Exception {
    byte[] large = new byte[8 << 20];
    new Random(1).nextBytes(large);
    Impairment silence = Impairment.silence(true, true);
    try (Pair pair = new Pair()) {
      on(l -> l.begin(silence));
      Thread writer =
          new Thread(
              () -> {
                try {
                  pair.caller.getOutputStream().write(large);
                  pair.caller.shutdownOutput();
                } catch (IOException e) {
                  // The reader then detects the missing data.
                }
              });
      writer.start();
      writer.join(BLOCKED_MS);
      assertThat(writer.isAlive()).as("writer blocked while nothing is read").isTrue();
      on(l -> l.end(silence));
      assertThat(pair.called.getInputStream().readAllBytes()).isEqualTo(large);
      writer.join(TIMEOUT_MS);
    }
  }
}
