package hazelspoke;

import hazelspoke.emulator.model.World;
import hazelspoke.emulator.report.Results;
import hazelspoke.emulator.report.Spread;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays a script against gateways. */
@Command(
    name = "rehearse",
    mixinStandardHelpOptions = true,
    sortOptions = false,
    description = {
      "Play a script: stock servers, clients, discovery and faults on loopback around real"
          + " gateways, and a judge who counts by himself.",
      "Scripts that come along are in rehearsals/."
    },
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:every rule was kept",
      "1:the script cannot be played",
      "2:a wrong call",
      "3:a rule was broken, or a gateway crashed",
      "4:the emulator itself ran late; the rehearsal counts for nothing"
    })
final class RehearseCommand implements Callable<Integer> {
  @Parameters(paramLabel = "SCRIPT", description = "A script in TOML.")
  private Path script;

  @Option(
      names = "--seed",
      paramLabel = "N",
      description = "What chance draws from; default ${DEFAULT-VALUE}.")
  private long seed = 1;

  @Option(
      names = "--repeat",
      paramLabel = "N",
      description = "Play it N times with one seed, and print how far the latencies lie apart.")
  private int repeat = 1;

  @Option(names = "--json", paramLabel = "FILE", description = "Write the results as JSON.")
  private Path json;

  @Option(
      names = "--html",
      paramLabel = "FILE",
      description = "Write a page with plots of outcomes, latencies and queues.")
  private Path html;

  @Override
  public Integer call() throws Exception {
    World world = Scripts.world(script, seed, System.err);
    if (world == null) {
      return Scripts.BAD_SCRIPT;
    }
    Scripts.warmUp(System.out);
    List<Results> all = new ArrayList<>();
    int status = Scripts.KEPT;
    for (int i = 0; i < Math.max(1, repeat); i++) {
      // Drawn anew: that the digests agree is something to be seen, not to be taken for granted.
      World again = i == 0 ? world : Scripts.world(script, seed, System.err);
      Results results = Scripts.play(again, script, System.out);
      all.add(results);
      status = Math.max(status, Scripts.report(results, json, html, System.out));
    }
    if (repeat > 1) {
      System.out.println(Spread.of(all));
    }
    return status;
  }
}
