package hazelspoke;

import hazelspoke.emulator.model.World;
import hazelspoke.emulator.report.Results;
import hazelspoke.emulator.report.Spread;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs a script against gateways. */
@Command(
    name = "rehearse",
    mixinStandardHelpOptions = true,
    sortOptions = false,
    description = {
      "Run a script: stock servers, clients, discovery and faults on loopback around real"
          + " gateways, and an independent checker of their rules.",
      "Example scripts are in rehearsals/."
    },
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:no rule was violated",
      "1:the script is invalid",
      "2:invalid arguments",
      "3:a rule was violated, or a gateway crashed",
      "4:the emulator itself ran late; the result is not valid"
    })
final class RehearseCommand implements Callable<Integer> {
  @Mixin private RunOptions options;

  @Option(
      names = "--repeat",
      paramLabel = "N",
      description = "Run it N times with one seed, and print the spread of the latencies.")
  private int repeat = 1;

  @Override
  public Integer call() throws Exception {
    World world = options.world();
    if (world == null) {
      return Scripts.BAD_SCRIPT;
    }
    Scripts.warmUp(System.out);
    List<Results> allResults = new ArrayList<>();
    int status = Scripts.RULES_KEPT;
    for (int i = 0; i < Math.max(1, repeat); i++) {
      // Drawn again for each run, so that equal digests show that the draw is deterministic.
      World freshWorld = i == 0 ? world : options.world();
      Results results = options.run(freshWorld);
      allResults.add(results);
      status = Math.max(status, options.report(results));
    }
    if (repeat > 1) {
      System.out.println(Spread.of(allResults));
    }
    return status;
  }
}
