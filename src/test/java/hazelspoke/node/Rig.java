package hazelspoke.node;

import hazelspoke.back.http.HostClient;
import hazelspoke.net.Transport;
import hazelspoke.takeover.ServingPidFile;
import io.netty.util.ResourceLeakDetector;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;

/** A gateway between fakes, all on loopback. */
final class Rig implements AutoCloseable {
  /** As good as for ever: what is waited for either comes soon or is broken. */
  static final int PATIENCE_MS = 30_000;

  private static final AtomicInteger IDS = new AtomicInteger();

  final ByteArrayOutputStream log = new ByteArrayOutputStream();
  final Path file;
  final Map<String, String> environment;
  final Gateway gateway;
  final InetSocketAddress address;
  private final Path folder;
  final InetSocketAddress operators;
  private final String known;
  private boolean left;

  /** {@code hosts} are what the gateway knows of at its start. */
  Rig(int sockets, FakeServer discovery, FakeServer... hosts) throws Exception {
    this(sockets, discovery, config -> config, hosts);
  }

  /** With other settings from the start. */
  Rig(int sockets, FakeServer discovery, UnaryOperator<String> settings, FakeServer... hosts)
      throws Exception {
    ResourceLeakDetector.setLevel(ResourceLeakDetector.Level.PARANOID);
    file = Files.createTempFile("gateway", ".json");
    environment = Map.of("NODE_CONFIG", file.toString(), "NODE_MANAGEMENT", "127.0.0.1:0");
    known = list(1, hosts);
    configure(settings.apply(config(sockets, discovery.address())));
    gateway =
        new Gateway(GatewayConfig.read(environment), new PrintStream(log, true), Transport.TCP);
    gateway.maxDeadlineMs = PATIENCE_MS;
    operators = gateway.openManagement();
    folder = Files.createTempDirectory("gateway");
    gateway.setPidFile(succession(1));
    address = (InetSocketAddress) gateway.start();
  }

  /** The place of a process with this id; all of them run. */
  ServingPidFile succession(long process) {
    return new ServingPidFile(folder, "here", process, id -> true);
  }

  void configure(String text) throws IOException {
    Files.writeString(file, text);
  }

  String config(int sockets, String discovery) {
    return config("127.0.0.1:0", sockets, discovery, known);
  }

  static String config(String listen, int sockets, String discovery, String known) {
    return """
        {"name":"n0","listen":"%s","discovery":"%s","seed":"1","limits":{"sockets":%d},
         "known":%s,"settings":{"areas":["a"],"az":0,"instances":1,"discovery":"pushed","quantum":1,
         "grades":[
          {"name":"reserve","effect":"by_key","group":"zone","aim":10000,"hard_limit":20000,
           "window":20000},
          {"name":"dispatch","effect":"once","group":"all","aim":10000,"hard_limit":20000},
          {"name":"look","effect":"repeatable","group":"all","aim":10000,"hard_limit":20000}],
         "limits":{"send_cap":5,"second_copies":true,"cancelling":true,"connect_timeout":5000,
          "conn_idle":60000},
         "rules":{"cold_from":0.9,"cold":1000,"fall_multiple":3,"fall":3000,"drain_grace":1000,
          "grace_to_answer":20,"must_ask_in":10000},"kinds":["k"]}}
        """
        .formatted(listen, discovery, sockets, known);
  }

  static String list(int index, FakeServer... hosts) {
    List<String> entries = new ArrayList<>();
    for (FakeServer host : hosts) {
      entries.add(entry("h" + host.address(), host, "Ready", 0));
    }
    return "{\"index\":%d,\"snapshot\":true,\"endpoints\":[%s]}"
        .formatted(index, String.join(",", entries));
  }

  static String entry(String name, FakeServer host, String status, long since) {
    return entry(host.address(), status)
        .replace("\"since_ms\":0", "\"since_ms\":" + since)
        .replace("\"h" + host.address() + "\"", "\"" + name + "\"");
  }

  /** One that started long ago and is named after its address. */
  static String entry(String address, String status) {
    return """
        {"name":"h%s","address":"%s","zone":"a","type":"k","group":0,"status":"%s","weight":1.0,\
        "since_ms":0}"""
        .formatted(address, address, status);
  }

  /** A list, or changes to it, of such entries. */
  static String list(int index, boolean whole, String... entries) {
    return "{\"index\":%d,\"snapshot\":%b,\"endpoints\":[%s]}"
        .formatted(index, whole, String.join(",", entries));
  }

  /** A discovery that tells one list to whoever watches, and then keeps silent. */
  static FakeServer discovery(String list) throws IOException {
    return new FakeServer(
        (head, out) ->
            FakeServer.respond(
                out,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + Integer.toHexString(list.length() + 1)
                    + "\r\n"
                    + list
                    + "\n\r\n"));
  }

  static String id() {
    return "txn" + IDS.incrementAndGet();
  }

  static String dispatch(String txn, String more) {
    return "POST /dispatch HTTP/1.1\r\nHost: x\r\nX-Lane: dispatch\r\nX-Txn: "
        + txn
        + "\r\nX-Remaining: 20.0\r\n"
        + more
        + "\r\n";
  }

  Socket connect() throws IOException {
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(PATIENCE_MS);
    return socket;
  }

  static void send(Socket socket, String text) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** The next answer on a connection: its head and body, or null when it ends without one. */
  static String receive(Socket socket) throws IOException {
    try {
      String head = FakeServer.head(socket.getInputStream());
      return head == null
          ? null
          : head
              + new String(
                  socket.getInputStream().readNBytes(FakeServer.contentLength(head)),
                  StandardCharsets.ISO_8859_1);
    } catch (java.net.SocketException e) {
      return null;
    }
  }

  /** Lets the gateway read all that lies at its sockets by now, and do what follows from it. */
  void runLoopIterations() throws Exception {
    for (int i = 0; i < 3; i++) {
      gateway.loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).sync();
    }
  }

  /** Waits until connections to hosts that have carried an answer may be used again. */
  void awaitReusableConnections() throws Exception {
    // Whatever rests since an answer has come to rest before this; what is timed comes behind it.
    gateway.loop.submit(() -> {}).sync();
    long restMs = (long) HostClient.REUSE_DELAY_MS + 1;
    gateway.loop.schedule(() -> {}, restMs, TimeUnit.MILLISECONDS).sync();
  }

  static String look(String txn, String more) {
    return "GET /look HTTP/1.1\r\nHost: x\r\nX-Lane: look\r\nX-Txn: "
        + txn
        + "\r\nX-Remaining: 20.0\r\n"
        + more
        + "\r\n";
  }

  /** Begins to take leave, and returns once the gateway has let go of what rests. */
  Thread beginShutdown() throws Exception {
    Thread leaving = new Thread(this::shutDown);
    leaving.start();
    await("told to leave", () -> log.toString().contains("taking leave"));
    CountDownLatch over = new CountDownLatch(1);
    // Its own timers come in their order: what it does at 500 ms has begun by then, and is done
    // once its sockets were read again.
    gateway.loop.schedule(over::countDown, 700, TimeUnit.MILLISECONDS);
    awaitLatch(over);
    runLoopIterations();
    return leaving;
  }

  /** One request on a connection of its own. */
  String request(String request) throws IOException {
    try (Socket socket = connect()) {
      send(socket, request);
      return receive(socket);
    }
  }

  /** One call of an operator's: the answer's status and body. */
  String callOperators(String call) throws IOException {
    try (Socket socket = new Socket(operators.getAddress(), operators.getPort())) {
      socket.setSoTimeout(PATIENCE_MS);
      send(socket, call + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
      String answer = receive(socket);
      return answer.substring(9, 12) + " " + answer.substring(answer.indexOf("\r\n\r\n") + 4);
    }
  }

  /** A figure of {@code /_vars}; -1 when it is not there. */
  long metric(String name) {
    try {
      return callOperators("GET /_vars")
          .lines()
          .map(line -> line.substring(line.lastIndexOf(' ') + 1))
          .filter(line -> line.startsWith("svc." + name + "="))
          .mapToLong(line -> Long.parseLong(line.substring(line.indexOf('=') + 1)))
          .findFirst()
          .orElse(-1);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + PATIENCE_MS * 1_000_000L;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("never came: " + what);
      }
      Thread.sleep(5);
    }
  }

  /** Holds a thread up until the test lets it go on. */
  static void awaitLatch(CountDownLatch until) {
    try {
      until.await(PATIENCE_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A host that answers well, and what has this path only once it may. */
  static FakeServer blockingHost(String path, CountDownLatch until) throws IOException {
    return new FakeServer(
        (head, out) -> {
          if (head.contains(path)) {
            awaitLatch(until);
          }
          return FakeServer.respond(out, FakeServer.ok("done"));
        });
  }

  /** Takes leave as after SIGTERM; the gateway is gone when this returns. */
  void shutDown() {
    if (!left) {
      left = true;
      gateway.drain();
    }
  }

  @Override
  public void close() throws Exception {
    shutDown();
    ResourceLeakDetector.setLevel(ResourceLeakDetector.Level.SIMPLE);
    Files.deleteIfExists(file);
    Files.deleteIfExists(folder.resolve("pumicetray-here.serving"));
    Files.delete(folder);
  }
}
