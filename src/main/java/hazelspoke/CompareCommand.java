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

/** Holds a script's faults against real ones. */
@Command(
    name = "compare",
    mixinStandardHelpOptions = true,
    description = {
      "Play an incident with the script's own crashes and freezes, and again with the same hosts as"
          + " processes that get SIGKILL, SIGSTOP and SIGCONT; print what the gateways did in both.",
      "With --record: play it without a record that the gateways share, and with one, and print what"
          + " that costs; the script's faults are in both.",
      "The plays take turns, so that whatever else the machine does strikes both."
    },
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:every rule was kept in all plays",
      "1:the script cannot be played",
      "2:a wrong call",
      "3:a rule was broken, or a gateway crashed",
      "4:the emulator itself ran late in one of them"
    })
final class CompareCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Parameters(
      paramLabel = "SCRIPT",
      description = "A script whose faults of hosts are crashes and freezes.")
  private Path script;

  @Option(
      names = "--seed",
      paramLabel = "N",
      description = "What chance draws from; default ${DEFAULT-VALUE}.")
  private long seed = 1;

  @Option(
      names = "--plays",
      paramLabel = "N",
      description = "How often each is played; default ${DEFAULT-VALUE}.")
  private int plays = 3;

  @Option(
      names = "--record",
      paramLabel = "VOTERS",
      description = "So many gateways vote on the record: 1, 3, 5 or 7.")
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
            spec.commandLine(), "--record: 1, 3, 5 or 7, and no more than there are gateways");
      }
      return compare(
          "off", world.script().withRecord(0, 0), "on", world.script().withRecord(voters, 0));
    }
    TreeSet<String> struck = new TreeSet<>();
    for (int i = 0; i < world.affected().size(); i++) {
      Fault.Kind kind = world.script().faults().get(i).kind();
      if (kind == Fault.Kind.CRASH || kind == Fault.Kind.FREEZE) {
        struck.addAll(world.affected().get(i));
      } else if (kind.subject() == Fault.Subject.HOSTS) {
        System.err.println(
            "pumicetray: "
                + script
                + ":"
                + world.script().faults().get(i).line()
                + ": a signal can do no more than crash and freeze");
        return Scripts.BAD_SCRIPT;
      }
    }
    return compare(
        "script",
        world.script().withApart(List.of()),
        "signals",
        world.script().withApart(List.copyOf(struck)));
  }

  private int compare(String first, Script one, String second, Script other) throws Exception {
    Scripts.warmUp(System.out);
    List<Results> ones = new ArrayList<>();
    List<Results> others = new ArrayList<>();
    int status = Scripts.KEPT;
    for (int i = 0; i < Math.max(1, plays); i++) {
      ones.add(play(first, one));
      others.add(play(second, other));
      status = Math.max(status, Scripts.status(ones.get(i)));
      status = Math.max(status, Scripts.status(others.get(i)));
    }
    System.out.println(Comparison.of(first, ones, second, others));
    return status;
  }

  private Results play(String way, Script of) throws Exception {
    Results results = Scripts.play(World.draw(of, seed), script, System.out);
    new TextReport(System.out).verdict(results);
    System.out.println("that was: " + way);
    return results;
  }
}
