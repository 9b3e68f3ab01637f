package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.core.Clock;
import hazelspoke.core.Log;
import hazelspoke.core.Names;
import hazelspoke.discovery.DiscoveryClient;
import hazelspoke.net.Transport;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Discovery that is asked, and each way in which it may fail a call: the list is heard in the time
 * after which it counts as told. The settings allow 20 minutes without asking, so that whatever
 * goes by a part of those never comes while a test waits; the order of all else is forced by the
 * peer.
 */
class DiscoveryTermsTest {
  private static final String READY = "Ready";
  private static final Names NO_NAMES =
      new Names(List.of(), List.of(), List.of(), List.of(), List.of());
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final UnaryOperator<String> ASKED =
      config ->
          config
              .replace("\"pushed\"", "\"on_request\"")
              .replace("\"must_ask_in\":10000", "\"must_ask_in\":1200000");

  private final FakeServer host =
      new FakeServer((head, out) -> FakeServer.respond(out, FakeServer.ok("done")));
  private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final FakeServer nobody = Rig.discovery(Rig.list(1));
  private final Rig rig = new Rig(160, nobody, ASKED);
  private final List<Socket> calls = new ArrayList<>();
  private final AtomicInteger failures = new AtomicInteger();
  private final AtomicInteger updates = new AtomicInteger();

  DiscoveryTermsTest() throws Exception {
    listener.setSoTimeout(Rig.PATIENCE_MS);
  }

  @AfterEach
  void close() throws Exception {
    rig.close();
    for (Socket call : calls) {
      call.close();
    }
    listener.close();
    nobody.close();
    host.close();
  }

  /** A new configuration calls at once; the first call of a start would be minutes off. */
  private void move() throws Exception {
    rig.configure(ASKED.apply(rig.config(160, "127.0.0.1:" + listener.getLocalPort())));
    rig.gateway.reload(rig.environment);
  }

  /** The next call, once its head has come. */
  private Socket call() throws Exception {
    Socket call = listener.accept();
    calls.add(call);
    call.setSoTimeout(Rig.PATIENCE_MS);
    assertThat(FakeServer.head(call.getInputStream())).contains("watch=1&from=");
    return call;
  }

  private void tell(Socket call, String list) throws Exception {
    Rig.send(call, HEAD + Integer.toHexString(list.length() + 1) + "\r\n" + list + "\n\r\n");
  }

  private void tellsAll(Socket call, int hosts) throws Exception {
    tell(call, Rig.list(hosts, true, Rig.entry(host.address(), READY)));
    Rig.await("the list", () -> rig.metric("known_hosts") == 1);
  }

  private static void reset(Socket call) throws SocketException {
    call.setSoLinger(true, 0);
  }

  /** Whether the gateway still holds this call open; what it said so far was read. */
  private static boolean isOpen(Socket call) throws Exception {
    call.setSoTimeout(1);
    try {
      return call.getInputStream().read() >= 0;
    } catch (java.net.SocketTimeoutException e) {
      return true;
    } catch (SocketException e) {
      return false;
    } finally {
      call.setSoTimeout(Rig.PATIENCE_MS);
    }
  }

  @Test
  void resetsAgainAndAgain() throws Exception {
    move();
    for (int i = 0; i < 6; i++) {
      Socket call = call();
      reset(call);
      call.close();
    }
    tellsAll(call(), 1);
  }

  /** After SIGHUP 4 s are all: the first failure is followed by a call that waits for no timer. */
  @Test
  void aFirstCallThatFailsAfterAMoveIsMadeAgainWithNoBackOff() throws Exception {
    moveAClientWhoseModuleNeverCalls();
    Socket first = call();
    reset(first);
    first.close();
    Socket second = call();
    assertThat(failures).hasValue(0);
    reset(second);
    second.close();
    Rig.await("the second is the module's", () -> failures.get() == 1);
  }

  /** However long the module backs off: the time of the calls that fail counts too. */
  @Test
  void twoCallsThatFailInARowAreFollowedByAThirdWhateverTheModuleDoes() throws Exception {
    moveAClientWhoseModuleNeverCalls();
    Socket first = call();
    reset(first);
    first.close();
    for (int i = 1; i <= 2; i++) {
      int failed = i;
      try (Socket call = call()) {
        Rig.send(call, "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n");
        Rig.await("told to the module", () -> failures.get() == failed);
      }
    }
    tell(call(), Rig.list(1, true));
    Rig.await("the list", () -> updates.get() == 1);
  }

  /** It is told of failures and calls nobody: what calls is the client itself. */
  private void moveAClientWhoseModuleNeverCalls() throws Exception {
    DiscoveryClient client =
        new DiscoveryClient(
            rig.gateway.loop,
            Transport.TCP,
            new DiscoveryClient.InitialState(
                new InetSocketAddress("127.0.0.1", 1), false, NO_NAMES, 0),
            new Clock(),
            new Log(new PrintStream(rig.log, true), new Clock()),
            update -> updates.incrementAndGet(),
            silent -> failures.incrementAndGet());
    InetSocketAddress next = new InetSocketAddress("127.0.0.1", listener.getLocalPort());
    rig.gateway.loop.submit(() -> client.moveTo(next)).sync();
  }

  @Test
  void turnedAwayAgainAndAgain() throws Exception {
    move();
    for (int i = 0; i < 6; i++) {
      try (Socket call = call()) {
        Rig.send(call, "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n");
      }
    }
    tellsAll(call(), 1);
  }

  @Test
  void refusedUntilItListens() throws Exception {
    int port = listener.getLocalPort();
    listener.close();
    Rig.await("nobody listens", () -> FakeServer.refuses("127.0.0.1:" + port));
    move();
    Rig.await(
        "calls that were refused",
        () -> rig.log.toString().lines().filter(l -> l.contains("a watch failed")).count() >= 5);
    try (ServerSocket back = new ServerSocket(port, 50, InetAddress.getLoopbackAddress())) {
      Socket call = back.accept();
      calls.add(call);
      FakeServer.head(call.getInputStream());
      tellsAll(call, 1);
    }
  }

  /** What ends without having told anything is a failure, each time anew. */
  @Test
  void endsInPlaceOfNews() throws Exception {
    move();
    for (int i = 0; i < 6; i++) {
      Socket call = call();
      Rig.send(call, HEAD + "0\r\n\r\n");
    }
    tellsAll(call(), 1);
  }

  /** And one that told its list and an empty line ends when there would have been news. */
  @Test
  void endsInPlaceOfChanges() throws Exception {
    move();
    for (int i = 1; i <= 4; i++) {
      Socket call = call();
      tellsAll(call, i);
      Rig.send(call, "1\r\n\n\r\n0\r\n\r\n");
    }
    // A whole list: what it leaves out is gone.
    tell(call(), Rig.list(5, true));
    Rig.await("a list of none", () -> rig.metric("known_hosts") == 0);
  }

  /**
   * The first call hears nothing: another comes beside it, which is still open, and is answered.
   */
  @Test
  void silentFromTheBeginning() throws Exception {
    move();
    Socket silent = call();
    Socket beside = call();
    assertThat(isOpen(silent)).isTrue();
    assertThat(rig.log.toString()).doesNotContain("a watch failed");
    tellsAll(beside, 1);
    Rig.await("the silent one is let go", () -> !opens(silent));
  }

  /** The one that waited longer may be answered just as well. */
  @Test
  void lateAndAnsweredAfterAll() throws Exception {
    move();
    Socket late = call();
    Socket beside = call();
    tellsAll(late, 1);
    Rig.await("the one beside it is let go", () -> !opens(beside));
  }

  /** However long it says nothing, two calls wait at most. */
  @Test
  void silentForLong() throws Exception {
    move();
    Socket first = call();
    Socket second = call();
    Socket third = call();
    Rig.await("the first is let go", () -> !opens(first));
    assertThat(isOpen(second)).isTrue();
    assertThat(isOpen(third)).isTrue();
    tellsAll(second, 1);
  }

  /** One of two is turned away: the other still waits, and no failure is told to back off from. */
  @Test
  void silentAndThenTurnedAwayBesideIt() throws Exception {
    move();
    Socket silent = call();
    try (Socket beside = call()) {
      Rig.send(beside, "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n");
      Socket third = call();
      assertThat(isOpen(silent)).isTrue();
      tellsAll(third, 1);
    }
  }

  private static boolean opens(Socket call) {
    try {
      return isOpen(call);
    } catch (Exception e) {
      return false;
    }
  }

  /** A watch that told its list and falls silent. */
  @Test
  void aWatchThatFallsSilent() throws Exception {
    move();
    Socket watch = call();
    tellsAll(watch, 1);
    Socket again = call();
    tell(again, Rig.list(2, true));
    Rig.await("a list of none", () -> rig.metric("known_hosts") == 0);
    assertThat(isOpen(watch)).isFalse();
  }
}
