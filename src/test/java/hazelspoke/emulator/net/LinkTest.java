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

/** What two processes notice of each fault between them, over sockets of the system's own. */
class LinkTest {
  private static final int PATIENCE_MS = 30_000;

  /** Long enough for what has not come to count as not coming. */
  private static final int SILENCE_MS = 300;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EmulatorLoop emulatorLoop = new EmulatorLoop(group.next());
  private final Map<SocketAddress, Link.RelayedConnection> passages = new HashMap<>();
  private ServerSocket host;
  private Link link;

  @BeforeEach
  void open() throws Exception {
    host = new ServerSocket(0, 50, InetAddress.getByName("127.76.0.1"));
    host.setSoTimeout(PATIENCE_MS);
    link =
        new Link(
            emulatorLoop,
            Ports.free(76, 9_999),
            new InetSocketAddress(host.getInetAddress(), host.getLocalPort()),
            passages,
            "s1");
    // Without it the emulatorLoop takes itself for one that stands still, and what is read for long
    // sent.
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
      called.setSoTimeout(PATIENCE_MS);
      called.setTcpNoDelay(true);
      // Known to the relay from end to end.
      say(caller, 'c');
      hear(called, 'c');
      say(called, 'h');
      hear(caller, 'h');
    }

    @Override
    public void close() throws IOException {
      caller.close();
      called.close();
    }
  }

  /** The listener of the relay comes up and goes down on turns of the loop. */
  private Socket connect() throws Exception {
    long limit = System.nanoTime() + PATIENCE_MS * 1_000_000L;
    while (true) {
      Socket socket = new Socket();
      try {
        socket.connect(link.address(), SILENCE_MS);
        socket.setSoTimeout(PATIENCE_MS);
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
    long limit = System.nanoTime() + PATIENCE_MS * 1_000_000L;
    while (true) {
      assertThat(System.nanoTime()).as("no %s", expected).isLessThan(limit);
      try (Socket socket = new Socket()) {
        socket.connect(link.address(), SILENCE_MS);
      } catch (IOException e) {
        if (expected.isInstance(e)) {
          return;
        }
      }
      Thread.sleep(5);
    }
  }

  private static void say(Socket socket, char what) throws IOException {
    socket.getOutputStream().write(what);
  }

  private static void hear(Socket socket, char what) throws IOException {
    assertThat((char) socket.getInputStream().read()).isEqualTo(what);
  }

  private static void hearNothing(Socket socket) throws IOException {
    socket.setSoTimeout(SILENCE_MS);
    assertThatThrownBy(() -> socket.getInputStream().read())
        .isInstanceOf(SocketTimeoutException.class);
    socket.setSoTimeout(PATIENCE_MS);
  }

  private static void hearReset(Socket socket) {
    assertThatThrownBy(() -> socket.getInputStream().read()).isInstanceOf(SocketException.class);
  }

  @Test
  void anEndAndAResetArriveAsWhatTheyAre() throws Exception {
    try (Pair pair = new Pair()) {
      say(pair.caller, 'x');
      pair.caller.shutdownOutput();
      hear(pair.called, 'x');
      assertThat(pair.called.getInputStream().read()).as("an end").isNegative();
      say(pair.called, 'y');
      hear(pair.caller, 'y');
      pair.called.close();
      assertThat(pair.caller.getInputStream().read()).as("the other end").isNegative();
    }
    try (Pair pair = new Pair()) {
      pair.called.setSoLinger(true, 0);
      pair.called.close();
      hearReset(pair.caller);
    }
    long limit = System.nanoTime() + PATIENCE_MS * 1_000_000L;
    while (emulatorLoop.loop().submit(passages::size).syncUninterruptibly().getNow() > 0) {
      assertThat(System.nanoTime()).as("a passage is kept").isLessThan(limit);
      Thread.sleep(5);
    }
  }

  @Test
  void aHostThatRefusesOrHasVanishedIsSeenAsThatThroughTheRelay() throws Exception {
    on(l -> l.setHostAcceptMode(AcceptMode.REFUSING));
    awaitConnect(ConnectException.class);
    on(l -> l.setHostAcceptMode(AcceptMode.SILENT));
    awaitConnect(SocketTimeoutException.class);
    on(l -> l.setHostAcceptMode(AcceptMode.OPEN));
    new Pair().close();
  }

  @Test
  void aCutRefusesAndAResetEndsBothSides() throws Exception {
    Impairment cut = Impairment.cut();
    try (Pair pair = new Pair()) {
      on(l -> l.begin(cut));
      on(Link::reset);
      hearReset(pair.caller);
      hearReset(pair.called);
      awaitConnect(ConnectException.class);
    }
    on(l -> l.end(cut));
    new Pair().close();
  }

  /** What was said meanwhile arrives once it is over, in order, and so does an end. */
  @Test
  void eachDirectionIsSilencedByItself() throws Exception {
    for (boolean there : new boolean[] {true, false}) {
      Impairment silence = Impairment.silence(there, !there);
      try (Pair pair = new Pair()) {
        Socket lost = there ? pair.caller : pair.called;
        Socket other = there ? pair.called : pair.caller;
        on(l -> l.begin(silence));
        say(lost, '1');
        say(other, 'o');
        hear(lost, 'o');
        hearNothing(other);
        say(lost, '2');
        lost.shutdownOutput();
        hearNothing(other);
        awaitConnect(SocketTimeoutException.class);
        on(l -> l.end(silence));
        hear(other, '1');
        hear(other, '2');
        assertThat(other.getInputStream().read()).isNegative();
      }
      new Pair().close();
    }
  }

  @Test
  void overASilentWayNoResetIsHeard() throws Exception {
    Impairment silence = Impairment.silence(true, true);
    try (Pair pair = new Pair()) {
      on(l -> l.begin(silence));
      pair.called.setSoLinger(true, 0);
      pair.called.close();
      hearNothing(pair.caller);
      on(l -> l.end(silence));
      hearReset(pair.caller);
    }
  }

  @Test
  void ofAHalfOpenConnectionTheCallerHearsNothingUntilItIsOver() throws Exception {
    Runnable[] over = new Runnable[1];
    try (Pair pair = new Pair()) {
      on(l -> over[0] = l.resetHostEnds());
      hearReset(pair.called);
      say(pair.caller, 'x');
      hearNothing(pair.caller);
      new Pair().close();
      on(l -> over[0].run());
      hearReset(pair.caller);
    }
  }

  /** And the host's reader can tell when that was sent which has come so late. */
  @Test
  void aSlowWayDelaysBytesAndKeepsWhenTheyWereSent() throws Exception {
    on(l -> l.begin(Impairment.delay(SILENCE_MS)));
    try (Pair pair = new Pair()) {
      double before = emulatorLoop.now();
      say(pair.caller, 'x');
      hear(pair.called, 'x');
      double after = emulatorLoop.now();
      assertThat(after - before).isGreaterThanOrEqualTo(SILENCE_MS);
      assertThat(sentAt(pair)).isLessThanOrEqualTo(after - SILENCE_MS + 1);
    }
  }

  /**
   * Nor can the relay know when that was sent which it did not read: at any time of the silence.
   */
  @Test
  void whatWasSentIntoASilenceCountsAsSentWhenThatBegan() throws Exception {
    Impairment silence = Impairment.silence(true, true);
    try (Pair pair = new Pair()) {
      on(l -> l.begin(silence));
      double begun = emulatorLoop.now();
      say(pair.caller, 'x');
      hearNothing(pair.called);
      on(l -> l.end(silence));
      hear(pair.called, 'x');
      assertThat(sentAt(pair)).isLessThanOrEqualTo(begun);
      double over = emulatorLoop.now();
      // From then on it knows again; a stall of its own may put that off for a moment.
      long limit = System.nanoTime() + PATIENCE_MS * 1_000_000L;
      do {
        assertThat(System.nanoTime()).isLessThan(limit);
        Thread.sleep(5);
        say(pair.caller, 'y');
        hear(pair.called, 'y');
      } while (sentAt(pair) < over);
      on(l -> l.begin(silence));
      double again = emulatorLoop.now();
      say(pair.caller, 'z');
      pair.caller.shutdownOutput();
      hearNothing(pair.called);
      on(l -> l.end(silence));
      hear(pair.called, 'z');
      assertThat(pair.called.getInputStream().read()).isNegative();
      assertThat(sentAt(pair)).as("and not when its end was read").isLessThanOrEqualTo(again);
    }
  }

  private double sentAt(Pair pair) {
    return emulatorLoop
        .loop()
        .submit(() -> passages.get(pair.called.getRemoteSocketAddress()).lastSentAt())
        .syncUninterruptibly()
        .getNow();
  }

  /** Much more than fits any buffer, against a reader that begins late. */
  @Test
  void whatIsLargeArrivesWholeAndHoldsUpItsSender() throws Exception {
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
                  // The reader then misses it.
                }
              });
      writer.start();
      writer.join(SILENCE_MS);
      assertThat(writer.isAlive()).as("nobody takes it yet").isTrue();
      on(l -> l.end(silence));
      assertThat(pair.called.getInputStream().readAllBytes()).isEqualTo(large);
      writer.join(PATIENCE_MS);
    }
  }
}
