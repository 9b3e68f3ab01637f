package hazelspoke;

import hazelspoke.emulator.model.World;
import hazelspoke.emulator.report.Results;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the demo rehearsal. */
@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description = {
      "Run a short rehearsal: 2 gateways, 12 stock servers and 20 s of traffic, with a server"
          + " that freezes and one that crashes.",
      "Prints a summary and the path of a page with plots."
    })
final class DemoCommand implements Callable<Integer> {
  @Option(
      names = "--html",
      paramLabel = "FILE",
      description = "File for the page; default ${DEFAULT-VALUE}.")
  private Path html = Path.of("target/demo.html");

  @Override
  public Integer call() throws Exception {
    Path script =
        Path.of(System.getProperty("pumicetray.home", ".")).resolve("rehearsals/demo.toml");
    World world = Scripts.world(script, 1, System.err);
    if (world == null) {
      return Scripts.BAD_SCRIPT;
    }
    Scripts.warmUp(System.out);
    Results results = Scripts.run(world, script, System.out);
    return Scripts.report(results, null, html, System.out);
  }
}
