package hazelspoke.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.tomlj.Toml;

/** A gateway as a process of its own, started by a shell as a platform would. */
final class ServeProcess implements AutoCloseable {
  /** What the deployment's command runs, which is the classes of this build here. */
  private static final String JAR = "-jar target/hazelspoke.jar";

  /** An address of its own, so that a port that was free a moment ago still is. */
  private static final String ADDRESS = "127.83.17.4";

  final Process process;
  private final Path folder;
  private final int port;
  private final int operators;
  private final UnaryOperator<String> settings;

  private ServeProcess(
      Path folder, Process process, int port, int operators, UnaryOperator<String> settings) {
    this.folder = folder;
    this.process = process;
    this.port = port;
    this.operators = operators;
    this.settings = settings;
  }

  /** The command of the deployment, which ends in {@code "$@"} in place of its archive. */
  static String deployed() throws IOException {
    String run = Toml.parse(Path.of("deploy/balancer.toml")).getString("run");
    assertThat(run).contains(JAR);
    return run.replace(JAR, "\"$@\"");
  }

  /**
   * Starts one that goes by this discovery and knows no host. Operators may call where a port is
   * kept for them.
   *
   * @param shell what the shell does, with {@code "$@"} for the arguments that name the program
   * @param more further arguments, for the Java
   */
  static ServeProcess start(
      Path folder, String shell, boolean operated, String discovery, String... more)
      throws IOException {
    return start(folder, shell, operated, discovery, config -> config, more);
  }

  /** The same with other settings. */
  static ServeProcess start(
      Path folder,
      String shell,
      boolean operated,
      String discovery,
      UnaryOperator<String> settings,
      String... more)
      throws IOException {
    int port;
    int operators;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(ADDRESS));
        ServerSocket another = new ServerSocket(0, 1, InetAddress.getByName(ADDRESS))) {
      port = free.getLocalPort();
      operators = operated ? another.getLocalPort() : 0;
    }
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", shell, "sh");
    builder.command().addAll(List.of(more));
    builder
        .command()
        .addAll(
            List.of(
                "-cp",
                System.getProperty("java.class.path")
                    + File.pathSeparator
                    + Path.of("target/classes").toAbsolutePath(),
                "hazelspoke.Main"));
    builder.environment().put("NODE_CONFIG", folder.resolve("config.json").toString());
    if (operated) {
      builder.environment().put("NODE_MANAGEMENT", ADDRESS + ":" + operators);
    }
    builder.environment().put("TMPDIR", Files.createDirectory(folder.resolve("tmp")).toString());
    builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
    ServeProcess started = new ServeProcess(folder, null, port, operators, settings);
    started.configure(discovery);
    return new ServeProcess(folder, builder.start(), port, operators, settings);
  }

  /** Writes its file anew, with another discovery. */
  void configure(String discovery) throws IOException {
    Files.writeString(
        folder.resolve("config.json"),
        settings.apply(Rig.config(ADDRESS + ":" + port, 160, discovery, Rig.list(1))));
  }

  String log() throws IOException {
    return Files.readString(folder.resolve("log"));
  }

  /** An answer, or null while nobody listens. */
  String ask() {
    return ask(port, Rig.dispatch(Rig.id(), ""));
  }

  /** A connection of a client's. */
  Socket connect() throws IOException {
    Socket socket = new Socket(ADDRESS, port);
    socket.setSoTimeout(Rig.PATIENCE_MS);
    return socket;
  }

  /** The figures that operators have. */
  String figures() {
    return ask(operators, "GET /_vars HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
  }

  private static String ask(int port, String request) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(ADDRESS, port));
      socket.setSoTimeout(Rig.PATIENCE_MS);
      Rig.send(socket, request);
      return Rig.receive(socket);
    } catch (IOException e) {
      return null;
    }
  }

  /** Sends the process itself a signal by its name. */
  void signal(String name) throws Exception {
    List<String> kill = new ArrayList<>(List.of("/bin/sh", "-c", "kill -$0 $1", name));
    kill.add(Long.toString(process.pid()));
    assertThat(new ProcessBuilder(kill).start().waitFor()).isZero();
  }

  /** Waits until it answers with this. */
  void awaitAnswer(String text) throws InterruptedException {
    Rig.await(
        "an answer: " + text,
        () -> {
          String answer = ask();
          return !process.isAlive() || answer != null && answer.endsWith(text);
        });
  }

  /** Told to leave, it has to. */
  @Override
  public void close() throws Exception {
    process.destroy();
    boolean left = process.waitFor(Rig.PATIENCE_MS, TimeUnit.MILLISECONDS);
    process.destroyForcibly().waitFor();
    assertThat(left).as("it left after SIGTERM").isTrue();
  }
}
