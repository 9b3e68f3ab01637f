package hazelspoke;

import hazelspoke.emulator.model.World;
import hazelspoke.emulator.report.Comparison;
import hazelspoke.emulator.report.Results;
import hazelspoke.emulator.report.TextReport;
import hazelspoke.emulator.script.Fault;
import hazelspoke.emulator.script.Script;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Compares a script's emulated faults with real ones, or runs without and with a record. */
@Command(
    name = "compare",
    mixinStandardHelpOptions = true,
    description = {
      "Run a script with emulated crashes and freezes, and again with the same hosts as processes"
          + " that get SIGKILL, SIGSTOP and SIGCONT; print what the gateways did in both.",
      "With --record: run it without a record that the gateways share, and with one, and print what"
          + " that costs; the script's faults are in both.",
      "The runs alternate, so that other load on the machine affects both."
    },
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:no rule was violated in any run",
      "1:the script is invalid",
      "2:invalid arguments",
      "3:a rule was violated, or a gateway crashed",
      "4:the emulator itself ran late in a run"
    })
final class CompareCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Parameters(
      paramLabel = "SCRIPT",
      description = "A script whose faults at hosts are crashes and freezes.")
  private Path script;

  @Option(
      names = "--seed",
      paramLabel = "N",
      description = "Random seed; default ${DEFAULT-VALUE}.")
  private long seed = 1;

  @Option(
      names = "--plays",
      paramLabel = "N",
      description = "Runs of each variant; default ${DEFAULT-VALUE}.")
  private int runs = 3;

  @Option(
      names = "--record",
      paramLabel = "VOTERS",
      description = "Number of gateways that vote on the record: 1, 3, 5 or 7.")
  private Integer voters;

  @Override
  public Integer call() throws Exception {
    World world = Scripts.world(script, seed, System.err);
    if (world == null) {
      return Scripts.BAD_SCRIPT;
    }
    if (voters != null) {
      Script.Fleet fleet = world.script().fleet();
      if (voters < 1 || voters > Math.min(7, fleet.gateways()) || voters % 2 == 0) {
        throw new ParameterException(
            spec.commandLine(),
            "--record: expected 1, 3, 5 or 7, and no more than there are gateways");
      }
      return compare(
          "off", world.script().withRecord(0, 0), "on", world.script().withRecord(voters, 0));
    }
    TreeSet<String> affectedHosts = new TreeSet<>();
    for (int i = 0; i < world.affected().size(); i++) {
      Fault.Kind kind = world.script().faults().get(i).kind();
      if (kind == Fault.Kind.CRASH || kind == Fault.Kind.FREEZE) {
        affectedHosts.addAll(world.affected().get(i));
      } else if (kind.subject() == Fault.Subject.HOSTS) {
        System.err.println(
            "pumicetray: "
                + script
                + ":"
                + world.script().faults().get(i).line()
                + ": only crashes and freezes can be reproduced with signals");
        return Scripts.BAD_SCRIPT;
      }
    }
    return compare(
        "script",
        world.script().withSeparateProcessHosts(List.of()),
        "signals",
        world.script().withSeparateProcessHosts(List.copyOf(affectedHosts)));
  }

  private int compare(
      String firstVariant, Script firstScript, String secondVariant, Script secondScript)
      throws Exception {
    Scripts.warmUp(System.out);
    List<Results> firstResults = new ArrayList<>();
    List<Results> secondResults = new ArrayList<>();
    int status = Scripts.RULES_KEPT;
    for (int i = 0; i < Math.max(1, runs); i++) {
      firstResults.add(run(firstVariant, firstScript));
      secondResults.add(run(secondVariant, secondScript));
      status = Math.max(status, Scripts.status(firstResults.get(i)));
      status = Math.max(status, Scripts.status(secondResults.get(i)));
    }
    System.out.println(Comparison.of(firstVariant, firstResults, secondVariant, secondResults));
    return status;
  }

  private Results run(String variant, Script variantScript) throws Exception {
    Results results = Scripts.run(World.draw(variantScript, seed), script, System.out);
    new TextReport(System.out).verdict(results);
    System.out.println("variant: " + variant);
    return results;
  }
}
