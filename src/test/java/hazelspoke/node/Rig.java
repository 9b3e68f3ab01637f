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

/** Test rig: a gateway between fake hosts and a fake discovery server, all on loopback. */
final class Rig implements AutoCloseable {
  /** Timeout of all waits, far longer than any expected event takes. */
  static final int PATIENCE_MS = 30_000;

  private static final AtomicInteger IDS = new AtomicInteger();

  final ByteArrayOutputStream log = new ByteArrayOutputStream();
  final Path file;
  final Map<String, String> environment;
  final Gateway gateway;
  final InetSocketAddress address;
  private final Path folder;
  final InetSocketAddress operators;
  private final String knownHosts;
  private boolean isShutDown;

  /** Starts a gateway whose configuration lists {@code hosts}. */
  Rig(int sockets, FakeServer discovery, FakeServer... hosts) throws Exception {
    this(sockets, discovery, config -> config, hosts);
  }

  /** Starts a gateway whose configuration is changed by {@code settings}. */
  Rig(int sockets, FakeServer discovery, UnaryOperator<String> settings, FakeServer... hosts)
      throws Exception {
    ResourceLeakDetector.setLevel(ResourceLeakDetector.Level.PARANOID);
    file = Files.createTempFile("gateway", ".json");
    environment = Map.of("NODE_CONFIG", file.toString(), "NODE_MANAGEMENT", "127.0.0.1:0");
    knownHosts = list(1, hosts);
    configure(settings.apply(config(sockets, discovery.address())));
    gateway =
        new Gateway(GatewayConfig.read(environment), new PrintStream(log, true), Transport.TCP);
    gateway.maxDeadlineMs = PATIENCE_MS;
    operators = gateway.openManagement();
    folder = Files.createTempDirectory("gateway");
    shareFiles(gateway, 1);
    address = (InetSocketAddress) gateway.start();
  }

  /**
   * Lets a gateway share the files of this rig's gateway, as a process with this id; all other
   * processes count as running.
   */
  void shareFiles(Gateway process, long id) {
    process.setPidFile(new ServingPidFile(folder, "here", id, other -> true));
    process.shareRequestIds(folder, "here");
  }

  void configure(String text) throws IOException {
    Files.writeString(file, text);
  }

  String config(int sockets, String discovery) {
    return config("127.0.0.1:0", sockets, discovery, knownHosts);
  }

  static String config(String listen, int sockets, String discovery, String knownHosts) {
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
        .formatted(listen, discovery, sockets, knownHosts);
  }

  static String list(int index, FakeServer... hosts) {
    List<String> entries = new ArrayList<>();
    for (FakeServer host : hosts) {
      entries.add(entry("h" + host.address(), host, "Ready", 0));
    }
    return "{\"index\":%d,\"snapshot\":true,\"endpoints\":[%s]}"
        .formatted(index, String.join(",", entries));
  }

  static String entry(String name, FakeServer host, String status, long startedMs) {
    return entry(host.address(), status)
        .replace("\"since_ms\":0", "\"since_ms\":" + startedMs)
        .replace("\"h" + host.address() + "\"", "\"" + name + "\"");
  }

  /** Entry of a host that started long ago and is named after its address. */
  static String entry(String address, String status) {
    return """
        {"name":"h%s","address":"%s","zone":"a","type":"k","group":0,"status":"%s","weight":1.0,\
        "since_ms":0}"""
        .formatted(address, address, status);
  }

  /** A complete list of such entries, or changes to a list. */
  static String list(int index, boolean isSnapshot, String... entries) {
    return "{\"index\":%d,\"snapshot\":%b,\"endpoints\":[%s]}"
        .formatted(index, isSnapshot, String.join(",", entries));
  }

  /** A discovery server that sends one list to each watch and nothing after it. */
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

  static String dispatch(String txn, String extraHeaders) {
    return "POST /dispatch HTTP/1.1\r\nHost: x\r\nX-Lane: dispatch\r\nX-Txn: "
        + txn
        + "\r\nX-Remaining: 20.0\r\n"
        + extraHeaders
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

  /**
   * Reads the next response on a connection: its head and body, or null if it closes without one.
   */
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

  /** Lets the gateway's event loop read all pending input and handle it. */
  void runLoopIterations() throws Exception {
    for (int i = 0; i < 3; i++) {
      gateway.loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).sync();
    }
  }

  /** Waits until connections to hosts may be reused after their last response. */
  void awaitReusableConnections() throws Exception {
    // Connections with a complete response are idle once this ran; the timer starts after it.
    gateway.loop.submit(() -> {}).sync();
    long reuseDelayMs = (long) HostClient.REUSE_DELAY_MS + 1;
    gateway.loop.schedule(() -> {}, reuseDelayMs, TimeUnit.MILLISECONDS).sync();
  }

  static String look(String txn, String extraHeaders) {
    return "GET /look HTTP/1.1\r\nHost: x\r\nX-Lane: look\r\nX-Txn: "
        + txn
        + "\r\nX-Remaining: 20.0\r\n"
        + extraHeaders
        + "\r\n";
  }

  /** Starts a shutdown and returns once the gateway has closed its idle connections. */
  Thread beginShutdown() throws Exception {
    Thread shutdown = new Thread(this::shutDown);
    shutdown.start();
    await("the shutdown begins", () -> log.toString().contains("taking leave"));
    CountDownLatch idleClosed = new CountDownLatch(1);
    // Timers run in order: the gateway's action at 500 ms has started by 700 ms, and is complete
    // once its sockets were read again.
    gateway.loop.schedule(idleClosed::countDown, 700, TimeUnit.MILLISECONDS);
    awaitLatch(idleClosed);
    runLoopIterations();
    return shutdown;
  }

  /** Sends one request on a new connection and returns its response. */
  String request(String request) throws IOException {
    try (Socket socket = connect()) {
      send(socket, request);
      return receive(socket);
    }
  }

  /** Sends one request to the operators' listener and returns the response's status and body. */
  String callOperators(String call) throws IOException {
    try (Socket socket = new Socket(operators.getAddress(), operators.getPort())) {
      socket.setSoTimeout(PATIENCE_MS);
      send(socket, call + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
      String answer = receive(socket);
      return answer.substring(9, 12) + " " + answer.substring(answer.indexOf("\r\n\r\n") + 4);
    }
  }

  /** Returns a metric of {@code /_vars}; -1 if it is missing. */
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

  /** The monotonic clock, in milliseconds. */
  static double nowMs() {
    return System.nanoTime() / 1e6;
  }

  static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + PATIENCE_MS * 1_000_000L;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("timed out waiting for: " + what);
      }
      Thread.sleep(5);
    }
  }

  /** Blocks the calling thread until the latch opens. */
  static void awaitLatch(CountDownLatch latch) {
    try {
      latch.await(PATIENCE_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A host that responds to requests with this path only once the latch opens. */
  static FakeServer blockingHost(String path, CountDownLatch latch) throws IOException {
    return new FakeServer(
        (head, out) -> {
          if (head.contains(path)) {
            awaitLatch(latch);
          }
          return FakeServer.respond(out, FakeServer.ok("done"));
        });
  }

  /** Shuts the gateway down as SIGTERM does; returns when it has stopped. */
  void shutDown() {
    if (!isShutDown) {
      isShutDown = true;
      gateway.drain();
    }
  }

  @Override
  public void close() throws Exception {
    shutDown();
    ResourceLeakDetector.setLevel(ResourceLeakDetector.Level.SIMPLE);
    Files.deleteIfExists(file);
    Files.deleteIfExists(folder.resolve("pumicetray-here.serving"));
    Files.deleteIfExists(folder.resolve("pumicetray-here.request-ids-1"));
    Files.delete(folder);
  }
}
