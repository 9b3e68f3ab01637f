import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-ins for the platform around a gateway, by the protocol page: discovery, hosts and usual
 * clients, all on 127.0.0.1, and the start of a gateway by the `run` command of the deploy file.
 */
class Standin {
  /** The protocol's slack on each time limit, in seconds. */
  static final double SLACK_S = 0.05;

  /** An answer up to this long after the request's time only earns nothing; later it is lost. */
  static final double LATE_S = 0.5;

  private static final long START_NANOS = System.nanoTime();
  private static final StringBuilder RECORD = new StringBuilder();

  static double now() {
    return (System.nanoTime() - START_NANOS) / 1e9;
  }

  /** Adds a line to the record. */
  static void record(String format, Object... values) {
    String line = String.format(Locale.ROOT, "%8.3f  ", now()) + String.format(Locale.ROOT, format, values);
    synchronized (RECORD) {
      RECORD.append(line).append('\n');
    }
  }

  static void say(String format, Object... values) {
    record(format, values);
    System.out.println(String.format(Locale.ROOT, format, values));
  }

  static void writeRecord(Path folder) throws IOException {
    synchronized (RECORD) {
      Files.writeString(folder.resolve("record.txt"), RECORD.toString());
    }
  }

  static void pause(double seconds) {
    try {
      Thread.sleep((long) (seconds * 1000));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static ExecutorService threads() {
    return Executors.newCachedThreadPool(task -> thread(task));
  }

  private static Thread thread(Runnable task) {
    Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
    thread.setDaemon(true);
    return thread;
  }

  static void daemon(Runnable task) {
    thread(task).start();
  }

  static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  /** A message of HTTP/1.1. */
  static final class Message {
    String first;
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    byte[] body = {};

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    String bodyText() {
      return new String(body, StandardCharsets.US_ASCII);
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int c;
    while ((c = in.read()) >= 0) {
      if (c == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(c);
    }
    return null;
  }

  /** Reads a message; null if the connection ends before its first byte. */
  static Message read(InputStream in) throws IOException {
    Message message = new Message();
    message.first = readLine(in);
    if (message.first == null) {
      return null;
    }
    String line;
    while (!(line = requireLine(in)).isEmpty()) {
      int colon = line.indexOf(':');
      message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
    }
    String length = message.headers.get("Content-Length");
    if (message.headers.containsKey("Transfer-Encoding")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      int size;
      while ((size = Integer.parseInt(requireLine(in).trim(), 16)) > 0) {
        body.write(in.readNBytes(size));
        requireLine(in);
      }
      requireLine(in);
      message.body = body.toByteArray();
    } else if (length != null) {
      message.body = in.readNBytes(Integer.parseInt(length));
      if (message.body.length < Integer.parseInt(length)) {
        throw new EOFException("the message is not whole");
      }
    }
    return message;
  }

  private static String requireLine(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      throw new EOFException("the message is not whole");
    }
    return line;
  }

  /** A host: three cores and a queue; turns away what its queue does not hold. */
  static final class Host {
    private static final int CORES = 3;
    private static final int QUEUE = 60;

    private final String name;
    private final String zone;
    private final int group;
    private final ServerSocket listener;
    private final Semaphore cores = new Semaphore(CORES, true);
    private final AtomicInteger held = new AtomicInteger();

    Host(String name, String zone, int group) throws IOException {
      this.name = name;
      this.zone = zone;
      this.group = group;
      listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
      daemon(this::accept);
    }

    String json() {
      return String.format(
          "{\"name\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"type\":\"large\","
              + "\"group\":%d,\"status\":\"Ready\",\"weight\":1.0,\"since_ms\":0}",
          name, listener.getLocalPort(), zone, group);
    }

    private void accept() {
      try {
        while (true) {
          Socket socket = listener.accept();
          socket.setTcpNoDelay(true);
          daemon(() -> serve(socket));
        }
      } catch (IOException e) {
        // The run is over.
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        Message request;
        while ((request = read(in)) != null) {
          String txn = request.headers.get("X-Txn");
          if (held.incrementAndGet() > CORES + QUEUE) {
            held.decrementAndGet();
            record("host %s turned away %s", name, txn);
            write(out, "503 Service Unavailable", "X-Turned-Away: 1\r\n", "full");
            continue;
          }
          cores.acquireUninterruptibly();
          record("host %s runs %s, told %s s", name, txn, request.headers.get("X-Remaining"));
          try {
            pause(0.06 + 0.08 * ThreadLocalRandom.current().nextDouble());
          } finally {
            cores.release();
            held.decrementAndGet();
          }
          write(out, "200 OK", "", "answer to " + txn);
        }
      } catch (IOException e) {
        // The gateway gave up the attempt.
      }
    }

    private static void write(OutputStream out, String status, String header, String body)
        throws IOException {
      out.write(
          ("HTTP/1.1 " + status + "\r\n" + header + "Content-Length: " + body.length() + "\r\n\r\n" + body)
              .getBytes(StandardCharsets.US_ASCII));
    }
  }

  /** Discovery that is asked: whole lists and watches, which have an empty line every 2 s. */
  static final class Discovery {
    private final ServerSocket listener;
    private final List<Host> hosts;

    Discovery(List<Host> hosts) throws IOException {
      this.hosts = hosts;
      listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
      daemon(
          () -> {
            try {
              while (true) {
                Socket socket = listener.accept();
                daemon(() -> serve(socket));
              }
            } catch (IOException e) {
              // The run is over.
            }
          });
    }

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    String list() {
      List<String> entries = new ArrayList<>();
      hosts.forEach(host -> entries.add(host.json()));
      return "{\"index\":1,\"snapshot\":true,\"endpoints\":[" + String.join(",", entries) + "]}";
    }

    private void serve(Socket socket) {
      try (socket) {
        Message request = read(socket.getInputStream());
        if (request == null) {
          return;
        }
        OutputStream out = socket.getOutputStream();
        if (!request.first.contains("watch=1")) {
          Host.write(out, "200 OK", "", list());
          return;
        }
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
        chunk(out, list() + "\n");
        while (true) {
          pause(2);
          chunk(out, "\n");
        }
      } catch (IOException e) {
        // The gateway ended the watch.
      }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
      out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
    }
  }

  /**
   * The configuration of the gateway: the example of the wire page for this site, with the limits
   * of the days that count.
   */
  static String config(String listen, Discovery discovery) {
    return """
        {"name":"n0","listen":"%s","discovery":"%s","seed":"8c1f30d27a5be964",
         "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
         "known":%s,
         "settings":{"areas":["eldorado","montecarlo","puerto-rico","posadas"],"az":0,
          "clients":{"marks_retry":false},"counted_by":"work","discovery":"on_request",
          "extra":{"warm_keys":true},"family":"proxy",
          "grades":[
           {"aim":500.0,"effect":"by_key","group":"zone","hard_limit":1500.0,"late_worth":0.0,
            "name":"reserve","stream":false,"window":1500.0,"worth":2.0},
           {"aim":600.0,"effect":"once","group":"all","hard_limit":1200.0,"late_worth":0.0,
            "name":"dispatch","stream":false,"window":5000.0,"worth":10.0}],
          "instances":1,"kinds":["large","medium","small"],"layer":0,
          "limits":{"cancelling":true,"conn_idle":5000.0,"connect_timeout":250.0,
           "cpu_us_per_request":0.0,"cpu_us_per_s":1116903,"max_retry_after":750.0,"may_probe":true,
           "multiplex":1,"open_cap":44676,"peers":false,"retry_after":true,"second_copies":true,
           "send_cap":5},
          "me":0,"over_share_worth":0.1,
          "prices":{"connection":0.0,"cross_zone":0.02,"discovery":0.0,"handshake":0.0,
           "late_fail":0.05,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.1},
          "quantum":5.0,"report":{"columns":["err_ps","concurrent"],"how":"pull"},
          "result_mix":{"whole":0.55,"worst_class":0.1,"worst_tenant":0.0,"worst_window":0.35},
          "rules":{"cold":8500.0,"cold_from":0.31,"drain_grace":1000.0,"fall":3000.0,
           "fall_multiple":3.0,"grace_to_answer":20.0,"must_ask_in":10000.0},
          "tenants":[],"tiers":["stock-servers"],"weight_kind":"silent"}}
        """
        .formatted(listen, discovery.address(), discovery.list());
  }

  /** A gateway process, started by the command of the deploy file from the root. */
  static final class GatewayProcess {
    final String address;
    private final Process process;
    private final Path log;

    GatewayProcess(Path root, Path temporary, Discovery discovery) throws IOException {
      this(root, temporary, "n0", "127.0.0.1:" + freePort(), discovery, Map.of());
    }

    /** Starts a gateway of this name and address; a later one of the same name is its restart. */
    GatewayProcess(
        Path root,
        Path temporary,
        String name,
        String address,
        Discovery discovery,
        Map<String, String> more)
        throws IOException {
      this.address = address;
      Path file = temporary.resolve(name + ".json");
      Files.writeString(file, config(address, discovery).replace("\"n0\"", '"' + name + '"'));
      log = Files.createTempFile(temporary, name + "-", ".log");
      String run =
          Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
              .filter(line -> line.startsWith("run = \""))
              .map(line -> line.substring(7, line.length() - 1))
              .findFirst()
              .orElseThrow();
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
      builder.directory(root.toFile()).redirectErrorStream(true).redirectOutput(log.toFile());
      Map<String, String> environment = builder.environment();
      environment.remove("PUMICETRAY_CONFIG");
      environment.remove("PUMICETRAY_MEMBER");
      environment.remove("NODE_MANAGEMENT");
      environment.put("NODE_NAME", name);
      environment.put("NODE_LISTEN", address);
      environment.put("NODE_DISCOVERY", discovery.address());
      environment.put("NODE_CONFIG", file.toString());
      environment.put("TMPDIR", Files.createTempDirectory(temporary, "tmp").toString());
      environment.putAll(more);
      process = builder.start();
      Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    boolean isAlive() {
      return process.isAlive();
    }

    long pid() {
      return process.pid();
    }

    boolean isHealthy() {
      try (Socket socket = new Socket()) {
        socket.connect(Standin.address(address), 1_000);
        socket.setSoTimeout(1_000);
        socket
            .getOutputStream()
            .write("GET /healthz HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n".getBytes());
        Message answer = read(socket.getInputStream());
        return answer != null && answer.status() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    boolean awaitReady() {
      return awaitReady(30);
    }

    boolean awaitReady(double seconds) {
      double end = now() + seconds;
      while (now() < end && process.isAlive()) {
        if (isHealthy()) {
          return true;
        }
        pause(0.05);
      }
      return false;
    }

    void kill() throws InterruptedException {
      process.destroyForcibly().waitFor();
    }

    /** SIGTERM, and SIGKILL after the longest deadline and 0.7 s more, and some slack. */
    void end() throws InterruptedException, IOException {
      process.destroy();
      if (!process.waitFor(4, TimeUnit.SECONDS)) {
        process.destroyForcibly().waitFor();
      }
      List<String> lines = Files.readAllLines(log);
      lines.stream().limit(40).forEach(line -> record("gateway's log: %s", line));
    }
  }

  /**
   * The usual clients: arrivals at an even rate, 5 of 7 reserve, the others dispatch. One request at
   * a time on a connection; connections are kept and more are opened when all are busy, up to a
   * third of the gateway's descriptors.
   */
  static final class Clients {
    static final int MAX_CONNECTIONS = 1_024 / 3;

    private final String gateway;
    private final byte[] usualBody;
    private final byte[] longBody;
    private final ExecutorService threads = threads();
    private final ConcurrentLinkedDeque<Socket> idle = new ConcurrentLinkedDeque<>();
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger number = new AtomicInteger();
    private volatile boolean stopped;
    final AtomicInteger sent = new AtomicInteger();
    final AtomicInteger unsent = new AtomicInteger();
    final AtomicInteger lost = new AtomicInteger();
    final Map<String, Integer> ends = new ConcurrentSkipListMap<>();

    /** One request in four has the long body. */
    Clients(String gateway, int usualBytes, int longBytes) {
      this.gateway = gateway;
      usualBody = "b".repeat(usualBytes).getBytes(StandardCharsets.US_ASCII);
      longBody = "b".repeat(longBytes).getBytes(StandardCharsets.US_ASCII);
    }

    void start(double ratePerS) {
      daemon(
          () -> {
            double start = now();
            for (long i = 0; !stopped; i++) {
              double wait = start + i / ratePerS - now();
              if (wait > 0) {
                pause(wait);
              }
              threads.execute(this::ask);
            }
          });
    }

    /** Stops the arrivals and waits until every open request has its answer or its time is over. */
    void finish() {
      stopped = true;
      pause(1.5 + LATE_S + 2);
    }

    private void ask() {
      int n = number.incrementAndGet();
      boolean reserve = n % 7 < 5;
      double limitS = reserve ? 1.5 : 1.2;
      String txn = String.format("%016x", n * 0x9E3779B97F4A7C15L);
      String name = reserve ? "reserve" : "dispatch";
      byte[] body = n % 4 == 0 ? longBody : usualBody;
      String head =
          "POST /" + name + " HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + txn + "\r\nX-Lane: " + name
              + "\r\nX-Entity: line-" + n % 2_000 + "\r\nX-Remaining: " + limitS
              + "\r\nX-Estimate: 100000\r\n"
              + (reserve ? "Idempotency-Key: key-" + txn + "\r\n" : "")
              + "Content-Length: " + body.length + "\r\n\r\n";
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      bytes.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
      bytes.writeBytes(body);
      Socket kept = idle.pollFirst();
      if (kept != null && exchange(kept, true, txn, bytes.toByteArray(), limitS)) {
        return;
      }
      if (open.incrementAndGet() > MAX_CONNECTIONS) {
        open.decrementAndGet();
        unsent.incrementAndGet();
        return;
      }
      Socket fresh = new Socket();
      try {
        fresh.setTcpNoDelay(true);
        fresh.connect(Standin.address(gateway), 2_000);
      } catch (IOException e) {
        open.decrementAndGet();
        ends.merge("no connection", 1, Integer::sum);
        record("client of %s: no connection: %s", txn, e.getMessage());
        return;
      }
      exchange(fresh, false, txn, bytes.toByteArray(), limitS);
    }

    /** Returns false if a kept connection was closed as the request crossed: it is sent once more. */
    private boolean exchange(Socket socket, boolean kept, String txn, byte[] request, double limitS) {
      double writtenAt = -1;
      String end;
      boolean keep = false;
      try {
        socket.getOutputStream().write(request);
        writtenAt = now();
        if (!kept) {
          sent.incrementAndGet();
        }
        socket.setSoTimeout((int) (1_000 * (limitS + LATE_S + SLACK_S)));
        Message answer = read(socket.getInputStream());
        if (answer == null) {
          throw new EOFException("closed with no answer");
        }
        if (kept) {
          sent.incrementAndGet();
        }
        double tookS = now() - writtenAt;
        boolean wrong = answer.status() == 200 && !answer.bodyText().equals("answer to " + txn);
        boolean late = tookS > limitS + LATE_S + SLACK_S;
        end = answer.status() + (wrong ? " FOREIGN" : late ? " too late: lost" : "");
        if (wrong || late) {
          lost.incrementAndGet();
        }
        record("client of %s: %s after %.3f s of %.1f", txn, end, tookS, limitS);
        keep = !"close".equalsIgnoreCase(answer.headers.get("Connection"));
      } catch (java.net.SocketTimeoutException e) {
        if (kept) {
          sent.incrementAndGet();
        }
        lost.incrementAndGet();
        end = "no answer: lost";
        record(
            "client of %s: no answer %.3f s after its last byte, its time is %.1f s: lost",
            txn, now() - writtenAt, limitS);
      } catch (IOException e) {
        close(socket);
        if (kept) {
          return false;
        }
        end = writtenAt < 0 ? "not written" : "closed with no answer: lost";
        lost.addAndGet(writtenAt < 0 ? 0 : 1);
        record("client of %s: %s (%s)", txn, end, e.getMessage());
        ends.merge(end, 1, Integer::sum);
        return true;
      }
      ends.merge(end, 1, Integer::sum);
      if (keep) {
        idle.addFirst(socket);
      } else {
        close(socket);
      }
      return true;
    }

    private void close(Socket socket) {
      open.decrementAndGet();
      try {
        socket.close();
      } catch (IOException e) {
        // It is closed already.
      }
    }
  }
}
