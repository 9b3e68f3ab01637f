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
  @Mixin private RunOptions options;

  @Option(
      names = "--repeat",
      paramLabel = "N",
      description = "Play it N times with one seed, and print how far the latencies lie apart.")
  private int repeat = 1;

  @Override
  public Integer call() throws Exception {
    World world = options.world();
    if (world == null) {
      return Scripts.BAD_SCRIPT;
    }
    Scripts.warmUp(System.out);
    List<Results> all = new ArrayList<>();
    int status = Scripts.KEPT;
    for (int i = 0; i < Math.max(1, repeat); i++) {
      // Drawn anew: that the digests agree is something to be seen, not to be taken for granted.
      World again = i == 0 ? world : options.world();
      Results results = options.play(again);
      all.add(results);
      status = Math.max(status, options.report(results));
    }
    if (repeat > 1) {
      System.out.println(Spread.of(all));
    }
    return status;
  }
}
