package hazelspoke.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process that is measured: the gateway or the relay, held to one core where that can be done.
 */
final class Subject implements AutoCloseable {
  private static final long START_S = 30;
  private static final long END_S = 20;
  private static final long STEP_MS = 20;

  private final String name;
  private final Process process;
  private final GcLog gc;
  private final InetSocketAddress address;

  private Subject(String name, Process process, GcLog gc, InetSocketAddress address) {
    this.name = name;
    this.process = process;
    this.gc = gc;
    this.address = address;
  }

  /**
   * Starts {@code java} with these arguments and waits until it listens.
   *
   * @param port the port it will listen at
   * @throws IOException when it does not come up; its log says why
   */
  static Subject start(
      String name, Pinning pinning, Path home, Path folder, List<String> arguments, int port)
      throws IOException, InterruptedException {
    Path gcFile = folder.resolve(name + ".gc");
    Path log = folder.resolve(name + ".log");
    List<String> command = new ArrayList<>(pinning.ofSubject());
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add("-Xlog:gc:file=" + gcFile);
    command.addAll(arguments);
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.directory(home.toFile());
    builder.environment().put("NODE_CONFIG", folder.resolve("config.json").toString());
    builder.environment().put("TMPDIR", folder.toString());
    builder.redirectErrorStream(true).redirectOutput(log.toFile());
    Process process = builder.start();
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_S);
    while (!listens(address)) {
      if (!process.isAlive() || System.nanoTime() > end) {
        process.destroyForcibly();
        throw new IOException("the " + name + " does not come up: " + Files.readString(log));
      }
      TimeUnit.MILLISECONDS.sleep(STEP_MS);
    }
    return new Subject(name, process, new GcLog(gcFile), address);
  }

  private static boolean listens(InetSocketAddress address) {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      return socket.isConnected();
    } catch (IOException e) {
      return false;
    }
  }

  String name() {
    return name;
  }

  InetSocketAddress address() {
    return address;
  }

  GcLog gc() {
    return gc;
  }

  /** CPU time used so far, in seconds, by all threads; the system counts in steps of 10 ms. */
  double cpuS() {
    return process.info().totalCpuDuration().orElse(Duration.ZERO).toNanos() / 1e9;
  }

  @Override
  public void close() {
    // By SIGTERM first, as a recording is written at the end.
    process.destroy();
    try {
      if (!process.waitFor(END_S, TimeUnit.SECONDS)) {
        process.destroyForcibly().waitFor();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
