package hazelspoke;

import hazelspoke.emulator.model.World;
import hazelspoke.emulator.report.Results;
import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The options that all commands for running one script share. */
final class RunOptions {
  @Parameters(paramLabel = "SCRIPT", description = "A script in TOML.")
  private Path script;

  @Option(
      names = "--seed",
      paramLabel = "N",
      description = "Random seed; default ${DEFAULT-VALUE}.")
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

  /** Creates the world of the script; returns null, after one error line, if it is invalid. */
  World world() {
    return Scripts.world(script, seed, System.err);
  }

  /** Runs a world of this script once. */
  Results run(World world) throws IOException, InterruptedException {
    return Scripts.run(world, script, System.out);
  }

  /** Prints the results, writes the requested files, and returns the exit status. */
  int report(Results results) throws IOException {
    return Scripts.report(results, json, html, System.out);
  }
}
