package hazelspoke.bench.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A voter that was started as a process, and is asked for readings. */
final class VoterProcess implements AutoCloseable {
  private static final long END_S = 10;

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
   * Starts one with the heap of a gateway's process.
   *
   * @param jar of the version that is measured
   */
  static VoterProcess start(Places places, int member, Path jar, Path data) throws IOException {
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
                    Integer.toString(places.members()),
                    Integer.toString(places.voters()),
                    Integer.toString(places.block()),
                    Integer.toString(member),
                    data.toString()))
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start());
  }

  /**
   * How it is.
   *
   * @param collected whether what nobody needs is taken out of its heap first
   * @throws IOException if it has ended
   */
  Reading read(boolean collected) throws IOException {
    out.println(collected ? "collect" : "read");
    String line = in.readLine();
    while (line != null && !line.startsWith(Voter.MARK)) {
      line = in.readLine();
    }
    if (line == null) {
      throw new IOException("a voter's process has ended");
    }
    return Reading.read(line.substring(Voter.MARK.length()));
  }

  @Override
  public void close() {
    out.close();
    try {
      if (!process.waitFor(END_S, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    } catch (InterruptedException e) {
      process.destroyForcibly();
      Thread.currentThread().interrupt();
    }
  }
}
