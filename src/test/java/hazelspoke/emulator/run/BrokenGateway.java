package hazelspoke.emulator.run;

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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A minimal gateway with one thread per connection that keeps every rule or deliberately breaks
 * one, to test the checker.
 */
final class BrokenGateway implements GatewayLauncher {
  enum Fault {
    NONE,
    DROPS_ANSWERS,
    ANSWERS_TWICE,
    MAKES_ANSWERS_UP,
    SENDS_AFTER_THE_END,
    SENDS_DISPATCHES_TWICE,
    REFUSES_WHAT_RAN,
    SENDS_TO_DRAINED,
    RUSHES_COLD,
    MAKES_SIX_ATTEMPTS
  }

  private static final Pattern ENTRY =
      Pattern.compile(
          "\"name\":\"([^\"]+)\",\"address\":\"([^\"]+)\"[^}]*\"status\":\"([^\"]+)\""
              + "[^}]*\"since_ms\":([0-9]+)");
  private static final int REQUESTS_PER_FAULT = 5;
  private static final int LATE_SEND_DELAY_MS = 1_500;

  private final Fault fault;

  BrokenGateway(Fault fault) {
    this.fault = fault;
  }

  @Override
  public GatewayHandle launch(String name, Map<String, String> environment, Path log)
      throws IOException {
    return new RunningGateway(environment);
  }

  private final class RunningGateway implements GatewayHandle {
    private final Map<String, String> hosts = new LinkedHashMap<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ServerSocket listener;
    private String coldHost;
    private int count;
    private volatile boolean alive = true;

    RunningGateway(Map<String, String> environment) throws IOException {
      String config = Files.readString(Path.of(environment.get("NODE_CONFIG")));
      updateHosts(config);
      InetSocketAddress listen = address(environment.get("NODE_LISTEN"));
      listener = new ServerSocket(listen.getPort(), 200, listen.getAddress());
      InetSocketAddress discovery = address(environment.get("NODE_DISCOVERY"));
      daemon(() -> watch(discovery));
      daemon(this::accept);
    }

    private static InetSocketAddress address(String text) throws IOException {
      String[] parts = text.split(":");
      return new InetSocketAddress(InetAddress.getByName(parts[0]), Integer.parseInt(parts[1]));
    }

    private void daemon(Runnable task) {
      Thread thread = new Thread(task);
      thread.setDaemon(true);
      thread.start();
    }

    private synchronized void updateHosts(String text) {
      Matcher m = ENTRY.matcher(text);
      while (m.find()) {
        if (m.group(3).equals("Ready")) {
          hosts.put(m.group(1), m.group(2));
          if (!m.group(4).equals("0")) {
            coldHost = m.group(1);
          }
        } else if (fault != Fault.SENDS_TO_DRAINED) {
          hosts.remove(m.group(1));
        }
      }
    }

    private void watch(InetSocketAddress discovery) {
      try (Socket socket = new Socket(discovery.getAddress(), discovery.getPort())) {
        sockets.add(socket);
        socket
            .getOutputStream()
            .write("GET /v1/servers?watch=1&from=0 HTTP/1.1\r\nHost: d\r\n\r\n".getBytes());
        String line;
        while ((line = line(socket.getInputStream())) != null) {
          updateHosts(line);
        }
      } catch (IOException e) {
        // The gateway was closed.
      }
    }

    private static String line(InputStream in) throws IOException {
      StringBuilder out = new StringBuilder();
      int c;
      while ((c = in.read()) != '\n') {
        if (c < 0) {
          return null;
        }
        if (c != '\r') {
          out.append((char) c);
        }
      }
      return out.toString();
    }

    private void accept() {
      try {
        while (true) {
          Socket socket = listener.accept();
          sockets.add(socket);
          daemon(() -> serve(socket));
        }
      } catch (IOException e) {
        // The gateway was closed.
      }
    }

    /** Reads a message's head and body unchanged; returns null at the end of the connection. */
    private static String message(InputStream in) throws IOException {
      StringBuilder out = new StringBuilder();
      int length = 0;
      String line;
      while ((line = line(in)) != null) {
        out.append(line).append("\r\n");
        if (line.toLowerCase().startsWith("content-length:")) {
          length = Integer.parseInt(line.substring(15).trim());
        }
        if (line.isEmpty()) {
          return out.append(new String(in.readNBytes(length), StandardCharsets.UTF_8)).toString();
        }
      }
      return null;
    }

    private void serve(Socket client) {
      try (client) {
        String request;
        while ((request = message(client.getInputStream())) != null) {
          if (request.startsWith("GET /healthz")) {
            write(client, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
          } else if (!serveOne(client, request)) {
            return;
          }
        }
      } catch (IOException e) {
        // The client has disconnected.
      }
    }

    private static void write(Socket to, String text) throws IOException {
      OutputStream out = to.getOutputStream();
      out.write(text.getBytes(StandardCharsets.UTF_8));
      out.flush();
    }

    private static String answer(int status, String body) {
      return "HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Serves one request; returns false if the connection is to be closed. */
    private boolean serveOne(Socket client, String request) throws IOException {
      int n = nextNumber();
      boolean isFaulty = n % REQUESTS_PER_FAULT == 0;
      boolean dispatch = request.startsWith("POST /dispatch");
      if (isFaulty && fault == Fault.MAKES_ANSWERS_UP) {
        write(client, answer(200, "served by nobody"));
        return true;
      }
      if (isFaulty && fault == Fault.SENDS_AFTER_THE_END) {
        write(client, answer(502, ""));
        pause();
        attempt(request);
        return true;
      }
      String answer = attempt(request);
      if (isFaulty && dispatch && fault == Fault.SENDS_DISPATCHES_TWICE) {
        answer = attempt(request);
      }
      if (!dispatch && fault == Fault.MAKES_SIX_ATTEMPTS) {
        for (int i = 1; i < 6; i++) {
          answer = attempt(request);
        }
      }
      if (isFaulty && fault == Fault.DROPS_ANSWERS) {
        return false;
      }
      if (isFaulty && fault == Fault.REFUSES_WHAT_RAN) {
        answer = answer(503, "");
      }
      write(client, answer);
      if (isFaulty && fault == Fault.ANSWERS_TWICE) {
        write(client, answer);
      }
      return true;
    }

    private static void pause() {
      try {
        Thread.sleep(LATE_SEND_DELAY_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private synchronized int nextNumber() {
      return count++;
    }

    private synchronized String choose() {
      if (fault == Fault.RUSHES_COLD && coldHost != null) {
        return hosts.get(coldHost);
      }
      if (hosts.isEmpty()) {
        return null;
      }
      return List.copyOf(hosts.values()).get(count % hosts.size());
    }

    /** Makes one attempt over a new connection. */
    private String attempt(String request) {
      String host = choose();
      if (host == null) {
        return answer(503, "");
      }
      boolean sent = false;
      try {
        InetSocketAddress address = address(host);
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
          sent = true;
          write(socket, request);
          String answer = message(socket.getInputStream());
          if (answer == null) {
            return answer(502, "");
          }
          return answer.contains("X-Turned-Away") ? answer(503, "") : answer;
        }
      } catch (IOException e) {
        return answer(sent ? 502 : 503, "");
      }
    }

    @Override
    public void signal(Signal signal) {
      close();
    }

    @Override
    public boolean isAlive() {
      return alive;
    }

    @Override
    public long pid() {
      return -1;
    }

    @Override
    public void close() {
      alive = false;
      try {
        listener.close();
        for (Socket socket : sockets) {
          socket.close();
        }
      } catch (IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    }
  }
}
