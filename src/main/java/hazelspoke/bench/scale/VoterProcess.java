package hazelspoke.bench.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A voter in a child process, which reports readings on request. */
final class VoterProcess implements AutoCloseable {
  private static final long SHUTDOWN_TIMEOUT_S = 10;

  private final Process process;
  private final BufferedReader in;
  private final PrintWriter out;

  private VoterProcess(Process process) {
    this.process = process;
    in =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.US_ASCII));
    out = new PrintWriter(process.getOutputStream(), true, StandardCharsets.US_ASCII);
  }

  /**
   * Starts a voter with the same heap limits as a gateway process.
   *
   * @param jar the jar of the measured version
   */
  static VoterProcess start(FleetLayout layout, int member, Path jar, Path data)
      throws IOException {
    return new VoterProcess(
        new ProcessBuilder(
                List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-XX:+UseSerialGC",
                    "-Xms56m",
                    "-Xmx192m",
                    "-XX:TieredStopAtLevel=1",
                    "-Dio.netty.leakDetection.level=disabled",
                    "-jar",
                    jar.toString(),
                    "bench",
                    "scale-voter",
                    Integer.toString(layout.members()),
                    Integer.toString(layout.voters()),
                    Integer.toString(layout.block()),
                    Integer.toString(member),
                    data.toString()))
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start());
  }

  /**
   * Requests a reading.
   *
   * @param collectFirst whether the voter runs a garbage collection first
   * @throws IOException if the process has ended
   */
  Reading read(boolean collectFirst) throws IOException {
    out.println(collectFirst ? "collect" : "read");
    String line = in.readLine();
    while (line != null && !line.startsWith(Voter.READING_PREFIX)) {
      line = in.readLine();
    }
    if (line == null) {
      throw new IOException("voter process ended before it sent a reading");
    }
    return Reading.parse(line.substring(Voter.READING_PREFIX.length()));
  }

  @Override
  public void close() {
    out.close();
    try {
      if (!process.waitFor(SHUTDOWN_TIMEOUT_S, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    } catch (InterruptedException e) {
      process.destroyForcibly();
      Thread.currentThread().interrupt();
    }
  }
}
