import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
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
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Stand-ins for the cases of the second review: the platform that starts gateways, discovery, hosts
 * and clients, by the protocol of the operators' pages. Plain sockets on 127.0.0.1; no dependency.
 */
final class Lab implements Closeable {
  /** The gateway is ready within this time, or the case could not run. */
  private static final long READY_MS = 30_000;

  private static final long STARTED_NANOS = System.nanoTime();

  private final PrintStream record;
  private final List<Gateway> gateways = new CopyOnWriteArrayList<>();
  private final List<Closeable> servers = new CopyOnWriteArrayList<>();
  private final Path folder;

  Lab(String recordFile) throws IOException {
    record = new PrintStream(recordFile, StandardCharsets.UTF_8);
    folder = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  /** Whether the disruption is played. */
  static boolean hasTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  static long seed() {
    String seed = System.getenv("SEED");
    return seed == null || seed.isEmpty() ? 1 : Long.parseLong(seed);
  }

  /** Milliseconds since the start of the case. */
  static double nowMs() {
    return (System.nanoTime() - STARTED_NANOS) / 1e6;
  }

  static void sleepUntil(double ms) throws InterruptedException {
    while (nowMs() < ms) {
      Thread.sleep(Math.max(1, (long) (ms - nowMs())));
    }
  }

  /** Writes a line to the record, with the time in milliseconds. */
  void note(String line) {
    synchronized (record) {
      record.printf(Locale.ROOT, "%9.1f %s%n", nowMs(), line);
      record.flush();
    }
  }

  static Thread daemon(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // The peer has gone, or the case has ended.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  interface Task {
    void run() throws Exception;
  }

  private void endProcesses() {
    for (Gateway gateway : gateways) {
      if (gateway.process != null) {
        gateway.process.destroyForcibly();
      }
      if (gateway.successor != null) {
        gateway.successor.destroyForcibly();
      }
    }
  }

  @Override
  public void close() throws IOException {
    endProcesses();
    for (Gateway gateway : gateways) {
      try {
        if (gateway.process != null) {
          gateway.process.waitFor(10, TimeUnit.SECONDS);
        }
        if (gateway.successor != null) {
          gateway.successor.waitFor(10, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      note("log of " + gateway.name + ":");
      if (Files.exists(gateway.log())) {
        Files.readAllLines(gateway.log()).forEach(line -> note("  " + line));
      }
    }
    for (Closeable server : servers) {
      server.close();
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted((a, b) -> b.compareTo(a)).map(Path::toFile).forEach(File::delete);
    }
    record.close();
  }

  // ---- the platform

  /** One gateway, started by the command of the deploy file. */
  final class Gateway {
    final String name;
    final int port;
    private final Path home;
    private int starts;
    Process process;

    /** The operator's file and this member's name, which turn on the shared record; or null. */
    String operatorFile;

    /** The process of an upgrade that serves at the same address beside the older one, or null. */
    Process successor;

    /** When the process was started, on the clock of the case. */
    double startedAtMs;

    Gateway(String name) throws IOException {
      this.name = name;
      home = Files.createDirectory(folder.resolve(name));
      try (ServerSocket free = new ServerSocket(0, 1, loopback())) {
        port = free.getLocalPort();
      }
      gateways.add(this);
    }

    private Path log() {
      return home.resolve("log");
    }

    /** Writes the configuration file; {@code known} is a list in discovery's form. */
    void configure(String discovery, String known, String settings) throws IOException {
      Files.writeString(
          home.resolve("config.json"),
          "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
              + discovery + "\",\"seed\":\"" + Long.toHexString(0x8c1f30d27a5be964L + seed())
              + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"peers\":[],"
              + "\"known\":" + known + ",\"settings\":" + settings + "}");
    }

    void start() throws Exception {
      startedAtMs = nowMs();
      process = launch(Files.createDirectory(home.resolve("tmp" + starts++)), null);
      note("platform: started " + name + ", process " + process.pid());
    }

    /** Starts with an address for operators, as an upgrade needs it. */
    void startManaged(String management) throws Exception {
      startedAtMs = nowMs();
      process = launch(Files.createDirectories(home.resolve("shared")), management);
      note("platform: started " + name + ", process " + process.pid());
    }

    /** Starts the new process of an upgrade: same configuration and TMPDIR, another management. */
    void startSuccessor(String management) throws Exception {
      successor = launch(home.resolve("shared"), management);
      note("platform: started the successor of " + name + ", process " + successor.pid());
    }

    private Process launch(Path tmp, String management) throws Exception {
      String deploy = Files.readString(Path.of("deploy/balancer.toml"));
      Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
      if (!run.find()) {
        throw new IOException("no run command in the deploy file");
      }
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
      builder.environment().put("NODE_CONFIG", home.resolve("config.json").toString());
      builder.environment().put("NODE_NAME", name);
      builder.environment().put("TMPDIR", tmp.toString());
      builder.environment().remove("NODE_LISTEN");
      builder.environment().remove("NODE_DISCOVERY");
      builder.environment().remove("NODE_MANAGEMENT");
      if (management != null) {
        builder.environment().put("NODE_MANAGEMENT", management);
      }
      builder.environment().remove("PUMICETRAY_CONFIG");
      if (operatorFile != null) {
        builder.environment().put("PUMICETRAY_CONFIG", operatorFile);
        builder.environment().put("PUMICETRAY_MEMBER", name);
      }
      builder
          .redirectErrorStream(true)
          .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
      return builder.start();
    }

    /** Waits for yes from the operators' address of the process. */
    void awaitServing(String management) throws Exception {
      int port = Integer.parseInt(management.substring(management.indexOf(':') + 1));
      double until = nowMs() + READY_MS;
      while (nowMs() < until) {
        try (Client client = new Client(port)) {
          client.send("GET /_ready HTTP/1.1\r\nHost: operators\r\n\r\n");
          Message answer = client.receive(nowMs() + 1_000);
          if (answer != null && answer.status() == 200) {
            return;
          }
        } catch (IOException e) {
          // Not listening yet.
        }
        Thread.sleep(20);
      }
      throw new IOException("the successor of " + name + " does not serve after 30 s");
    }

    void terminate() {
      note("platform: SIGTERM to " + name);
      process.destroy();
    }

    /** Waits until the health check answers 200. */
    void awaitReady() throws Exception {
      double until = nowMs() + READY_MS;
      while (nowMs() < until) {
        try (Client client = new Client(port)) {
          client.send("GET /healthz HTTP/1.1\r\nHost: api.internal\r\n\r\n");
          Message answer = client.receive(nowMs() + 1_000);
          if (answer != null && answer.status() == 200) {
            note("platform: " + name + " is ready");
            return;
          }
        } catch (IOException e) {
          // Not listening yet.
        }
        Thread.sleep(20);
      }
      throw new IOException(name + " is not ready after 30 s");
    }

    /** A folder that outlasts the process. */
    Path dataFolder() throws IOException {
      return Files.createDirectories(home.resolve("data"));
    }

    void hangUp() throws Exception {
      note("platform: SIGHUP to " + name);
      new ProcessBuilder("/bin/sh", "-c", "kill -HUP " + process.pid()).start().waitFor();
    }
  }

  /** An address with a free port. */
  static String freeAddress() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, loopback())) {
      return "127.0.0.1:" + free.getLocalPort();
    }
  }

  static InetAddress loopback() throws IOException {
    return InetAddress.getByName("127.0.0.1");
  }

  /** One entry of a list of hosts. */
  record Entry(String name, String address, String zone, String kind, int group, String status) {
    Entry with(String next) {
      return new Entry(name, address, zone, kind, group, next);
    }

    @Override
    public String toString() {
      return "{\"name\":\"" + name + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
          + "\",\"type\":\"" + kind + "\",\"group\":" + group + ",\"status\":\"" + status
          + "\",\"weight\":1.0,\"since_ms\":0}";
    }
  }

  static String list(long index, boolean snapshot, Iterable<Entry> entries) {
    List<String> texts = new ArrayList<>();
    entries.forEach(entry -> texts.add(entry.toString()));
    return "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":["
        + String.join(",", texts) + "]}";
  }

  /** Discovery: answers calls with the whole list or the changes, and watches with each change. */
  final class Discovery implements Closeable {
    private volatile ServerSocket listener;
    private final Map<ServerSocket, List<Socket>> sockets = new ConcurrentHashMap<>();
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final TreeMap<Long, Entry> changes = new TreeMap<>();
    private final long firstIndex;
    private long index;

    /** How long a call waits before it is answered. */
    volatile long waitMs;

    Discovery(long index, Iterable<Entry> start) throws IOException {
      this.index = index;
      firstIndex = index;
      start.forEach(entry -> entries.put(entry.name(), entry));
      listen();
      servers.add(this);
    }

    private void listen() throws IOException {
      ServerSocket opened = new ServerSocket(0, 64, loopback());
      List<Socket> accepted = new CopyOnWriteArrayList<>();
      sockets.put(opened, accepted);
      listener = opened;
      daemon(
          () -> {
            while (true) {
              Socket socket = opened.accept();
              accepted.add(socket);
              daemon(() -> serve(socket));
            }
          });
    }

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    /**
     * The service moves to another address: the old one takes no new connection and closes the open
     * ones after 1.5 s.
     */
    void move() throws IOException {
      ServerSocket old = listener;
      listen();
      old.close();
      daemon(
          () -> {
            Thread.sleep(1_500);
            for (Socket socket : sockets.get(old)) {
              socket.close();
            }
          });
      note("discovery: is now at " + address());
    }

    synchronized void change(Entry entry) {
      index++;
      entries.put(entry.name(), entry);
      changes.put(index, entry);
      note("discovery: index " + index + ", " + entry.name() + " is " + entry.status());
      notifyAll();
    }

    private void serve(Socket socket) throws Exception {
      try (socket) {
        socket.setTcpNoDelay(true);
        Message request = Message.read(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        boolean isWatch = request.start().contains("watch=1");
        long from = 0;
        Matcher m = Pattern.compile("from=(\\d+)").matcher(request.start());
        if (m.find()) {
          from = Long.parseLong(m.group(1));
        }
        if (waitMs > 0) {
          note("discovery: a call for " + request.start() + " waits");
          Thread.sleep(waitMs);
        }
        out.write(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
        long told;
        String first;
        synchronized (this) {
          told = index;
          boolean whole = !isWatch || from < firstIndex || from > index;
          first = whole
              ? list(index, true, entries.values())
              : list(index, false, List.copyOf(changes.tailMap(from, false).values()));
        }
        chunk(out, first);
        if (!isWatch) {
          out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
          return;
        }
        while (true) {
          String line = "";
          synchronized (this) {
            if (told == index) {
              wait(2_000);
            }
            if (told < index) {
              line = list(index, false, List.copyOf(changes.tailMap(told, false).values()));
              told = index;
            }
          }
          chunk(out, line);
        }
      }
    }

    private void chunk(OutputStream out, String line) throws IOException {
      byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
      ByteArrayOutputStream chunk = new ByteArrayOutputStream();
      chunk.writeBytes((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
      chunk.writeBytes(bytes);
      chunk.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
      out.write(chunk.toByteArray());
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }

  // ---- hosts

  /** What a host does with a request whose last byte has come; false closes the connection. */
  interface Service {
    boolean handle(Host host, Message request, OutputStream out) throws Exception;
  }

  final class Host implements Closeable {
    final String name;
    private final ServerSocket listener;
    private final Service service;

    Host(String name, Service service) throws IOException {
      this.name = name;
      this.service = service;
      listener = new ServerSocket(0, 128, loopback());
      servers.add(this);
      daemon(
          () -> {
            while (true) {
              Socket socket = listener.accept();
              daemon(() -> serve(socket));
            }
          });
    }

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    private void serve(Socket socket) throws Exception {
      try (socket) {
        socket.setTcpNoDelay(true);
        InputStream in = socket.getInputStream();
        Message request;
        do {
          request = Message.read(in);
        } while (request != null && service.handle(this, request, socket.getOutputStream()));
      }
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }

  static boolean respond(OutputStream out, String status, String headers, String body)
      throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    out.write(
        ("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n"
                + body)
            .getBytes(StandardCharsets.UTF_8));
    return true;
  }

  // ---- messages and clients

  /** A complete HTTP/1.1 message. */
  record Message(String start, Map<String, String> headers, String body) {
    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    /** Returns null at the end of the connection before a message; fails in the middle of one. */
    static Message read(InputStream in) throws IOException {
      String start = line(in, true);
      if (start == null) {
        return null;
      }
      Map<String, String> headers = new LinkedHashMap<>();
      String line;
      while (!(line = line(in, false)).isEmpty()) {
        int colon = line.indexOf(':');
        headers.put(
            line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
      }
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
        int size;
        while ((size = Integer.parseInt(line(in, false), 16)) > 0) {
          body.writeBytes(exactly(in, size));
          line(in, false);
        }
        line(in, false);
      } else {
        body.writeBytes(exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0"))));
      }
      return new Message(start, headers, body.toString(StandardCharsets.UTF_8));
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
      byte[] bytes = in.readNBytes(length);
      if (bytes.length < length) {
        throw new EOFException("the message is not whole");
      }
      return bytes;
    }

    private static String line(InputStream in, boolean mayEnd) throws IOException {
      ByteArrayOutputStream text = new ByteArrayOutputStream();
      int c;
      while ((c = in.read()) != '\n') {
        if (c < 0) {
          if (mayEnd && text.size() == 0) {
            return null;
          }
          throw new EOFException("the message is not whole");
        }
        text.write(c);
      }
      return text.toString(StandardCharsets.ISO_8859_1).trim();
    }
  }

  /** A client's connection. */
  static final class Client implements Closeable {
    private final Socket socket = new Socket();

    Client(int port) throws IOException {
      socket.connect(new InetSocketAddress(loopback(), port), 2_000);
      socket.setTcpNoDelay(true);
    }

    void send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the answer, or null at the end of the connection; fails at the given time. */
    Message receive(double untilMs) throws IOException {
      socket.setSoTimeout((int) Math.max(1, untilMs - nowMs()));
      return Message.read(socket.getInputStream());
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
  static void main(String recordFile, Case test) {
    int code = 2;
    try (Lab lab = new Lab(recordFile)) {
      try {
        lab.note("seed " + seed() + ", trouble " + hasTrouble());
        List<String> broken = test.play(lab);
        broken.forEach(line -> lab.note("BROKEN " + line));
        String summary = broken.isEmpty() ? "the rule held" : "rule broken " + broken.size() + " times";
        lab.note(summary);
        System.out.println(summary + (broken.isEmpty() ? "" : ", first: " + broken.get(0)));
        code = broken.isEmpty() ? 0 : 1;
      } catch (Exception e) {
        lab.note("could not run: " + e);
        System.out.println("could not run: " + e);
      }
    } catch (IOException e) {
      System.out.println("could not run: " + e);
    }
    System.exit(code);
  }

  interface Case {
    /** Returns one line for each time that the rule was broken. */
    List<String> play(Lab lab) throws Exception;
  }
}
