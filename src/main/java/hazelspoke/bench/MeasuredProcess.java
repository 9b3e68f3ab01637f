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

/** A measured process, gateway or relay, pinned to one core where possible. */
final class MeasuredProcess implements AutoCloseable {
  private static final long START_TIMEOUT_S = 30;
  private static final long SHUTDOWN_TIMEOUT_S = 20;
  private static final long POLL_INTERVAL_MS = 20;

  private final String name;
  private final Process process;
  private final GcLog gc;
  private final InetSocketAddress address;

  private MeasuredProcess(String name, Process process, GcLog gc, InetSocketAddress address) {
    this.name = name;
    this.process = process;
    this.gc = gc;
    this.address = address;
  }

  /**
   * Starts {@code java} with these arguments and waits until it listens.
   *
   * @param port the port it will listen at
   * @throws IOException if it does not start; the message contains its log
   */
  static MeasuredProcess start(
      String name, Pinning pinning, Path home, Path folder, List<String> arguments, int port)
      throws IOException, InterruptedException {
    Path gcFile = folder.resolve(name + ".gc");
    Path log = folder.resolve(name + ".log");
    List<String> command = new ArrayList<>(pinning.commandPrefix());
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
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_S);
    while (!isListening(address)) {
      if (!process.isAlive() || System.nanoTime() > end) {
        process.destroyForcibly();
        throw new IOException("the " + name + " does not start: " + Files.readString(log));
      }
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
    }
    return new MeasuredProcess(name, process, new GcLog(gcFile), address);
  }

  private static boolean isListening(InetSocketAddress address) {
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

  /** Returns the CPU seconds of all threads so far; the system counts in steps of 10 ms. */
  double cpuS() {
    return process.info().totalCpuDuration().orElse(Duration.ZERO).toNanos() / 1e9;
  }

  @Override
  public void close() {
    // SIGTERM first, as a flight recording is written on exit.
    process.destroy();
    try {
      if (!process.waitFor(SHUTDOWN_TIMEOUT_S, TimeUnit.SECONDS)) {
        process.destroyForcibly().waitFor();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
