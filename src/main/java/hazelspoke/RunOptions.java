package hazelspoke;

import hazelspoke.emulator.model.World;
import hazelspoke.emulator.report.Results;
import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** What is said to every command that plays one script. */
final class RunOptions {
  @Parameters(paramLabel = "SCRIPT", description = "A script in TOML.")
  private Path script;

  @Option(
      names = "--seed",
      paramLabel = "N",
      description = "What chance draws from; default ${DEFAULT-VALUE}.")
  private long seed = 1;

  @Option(names = "--json", paramLabel = "FILE", description = "Write the results as JSON.")
  private Path json;

  @Option(
      names = "--html",
      paramLabel = "FILE",
      description = "Write a page with plots of outcomes, latencies, queues and processes.")
  private Path html;

  Path script() {
    return script;
  }

  long seed() {
    return seed;
  }

  /** The world of the script; null, after one line, for one that cannot be played. */
  World world() {
    return Scripts.world(script, seed, System.err);
  }

  /** Plays a world of this script once. */
  Results play(World world) throws IOException, InterruptedException {
    return Scripts.play(world, script, System.out);
  }

  /** Prints the results, writes the files that are asked for, and returns the exit status. */
  int report(Results results) throws IOException {
    return Scripts.report(results, json, html, System.out);
  }
}
