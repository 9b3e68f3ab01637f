package hazelspoke;

import hazelspoke.emulator.model.World;
import hazelspoke.emulator.report.Results;
import hazelspoke.emulator.script.Fault;
import hazelspoke.emulator.script.Script;
import hazelspoke.emulator.script.ScriptException;
import hazelspoke.emulator.script.ScriptReader;
import hazelspoke.emulator.script.ScriptWriter;
import hazelspoke.emulator.torment.FaultGenerator;
import hazelspoke.emulator.torment.Shrinker;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Runs a script with random faults at its processes and in their connections. */
@Command(
    name = "torment",
    mixinStandardHelpOptions = true,
    sortOptions = false,
    description = {
      "Run a script's fleet and load with each gateway as a process, a relay between each gateway"
          + " and each server, and faults drawn from a seed: at processes and in their connections.",
      "If a rule is violated, subsets of the faults are run again, and a small set that"
          + " still violates it is printed as a script."
    },
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:no rule was violated",
      "1:the script is invalid",
      "2:invalid arguments",
      "3:a rule was violated, or a gateway crashed",
      "4:the emulator itself ran late; the result is not valid"
    })
final class TormentCommand implements Callable<Integer> {
  private static final double MS_PER_S = 1_000;

  @Spec private CommandSpec spec;

  @Mixin private RunOptions options;

  @Option(
      names = "--processes",
      paramLabel = "N",
      description = "Number of gateways, 1 to 200; default: from the script.")
  private Integer processes;

  @Option(
      names = "--for",
      paramLabel = "SECONDS",
      description = "Duration, 5 to 7200; default: from the script.")
  private Double seconds;

  @Option(
      names = "--shrink",
      paramLabel = "N",
      description = "Maximum number of runs to find the required faults; default ${DEFAULT-VALUE}.")
  private int shrink = 12;

  @Option(
      names = "--needed",
      paramLabel = "FILE",
      description = "File for the script with the required faults; default: it is printed.")
  private Path outputFile;

  @Override
  public Integer call() throws Exception {
    World read = options.world();
    if (read == null) {
      return Scripts.BAD_SCRIPT;
    }
    Script script = withDrawnFaults(read.script());
    Scripts.warmUp(System.out);
    Results results = options.run(World.draw(script, options.seed()));
    int status = options.report(results);
    if (status == Scripts.RULE_VIOLATED) {
      shrink(script);
    }
    return status;
  }

  private Script withDrawnFaults(Script base) {
    double ms = seconds == null ? base.lengthMs() : MS_PER_S * seconds;
    int gateways = processes == null ? base.fleet().gateways() : processes;
    require(ms >= 5 * MS_PER_S && ms <= 7_200 * MS_PER_S, "--for: expected 5 to 7200 seconds");
    require(
        gateways >= base.fleet().sites().size() && gateways <= 200,
        "--processes: expected at least one for each site, and 200 at most");
    require(
        base.fleet().separateProcessHosts().isEmpty(),
        options.script() + ": fleet.apart: must be empty");
    Script longer = base.withProcesses(gateways, ms);
    List<Fault> faults = new ArrayList<>(base.faults());
    faults.addAll(FaultGenerator.generate(longer, options.seed()));
    faults.sort(Comparator.comparingDouble(Fault::atMs));
    try {
      // Written and read again, so that the script printed after a violation is the one that ran
      // and is validated.
      String text = ScriptWriter.write(longer.withFaults(faults));
      return ScriptReader.read(options.script() + " with these options", text);
    } catch (ScriptException e) {
      throw new ParameterException(spec.commandLine(), e.getMessage());
    }
  }

  private void require(boolean condition, String message) {
    if (!condition) {
      throw new ParameterException(spec.commandLine(), message);
    }
  }

  private void shrink(Script script) throws InterruptedException, IOException {
    PrintStream quiet = new PrintStream(OutputStream.nullOutputStream());
    int[] run = new int[1];
    Shrinker<Fault> shrinker =
        new Shrinker<>(
            faults -> {
              boolean violated = violatesRule(script.withFaults(faults), quiet);
              System.out.printf(
                  "  run %d, %d faults: %s%n",
                  ++run[0], faults.size(), violated ? "rule violated" : "rules kept");
              return violated;
            },
            shrink);
    System.out.printf(
        "a rule was violated: searching for the required ones of %d faults%n",
        script.faults().size());
    Shrinker.Found<Fault> found = shrinker.shrink(script.faults());
    System.out.printf(
        "%d of %d faults, after %d runs%s%n",
        found.causes().size(),
        script.faults().size(),
        found.tries(),
        found.minimal()
            ? ": minimal, with any one less the rules were kept"
            : "; fewer may suffice: see --shrink");
    String text = ScriptWriter.write(script.withFaults(found.causes()));
    if (outputFile == null) {
      System.out.println(text);
    } else {
      Files.writeString(outputFile, text);
      System.out.println(
          "script: " + outputFile + ", to be run with rehearse --seed " + options.seed());
    }
  }

  private boolean violatesRule(Script reduced, PrintStream quiet) throws InterruptedException {
    try {
      return Scripts.status(
              Scripts.run(World.draw(reduced, options.seed()), options.script(), quiet))
          == Scripts.RULE_VIOLATED;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
