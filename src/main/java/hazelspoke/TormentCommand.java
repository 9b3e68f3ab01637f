package hazelspoke;

import hazelspoke.emulator.model.World;
import hazelspoke.emulator.report.Results;
import hazelspoke.emulator.script.Fault;
import hazelspoke.emulator.script.Script;
import hazelspoke.emulator.script.ScriptException;
import hazelspoke.emulator.script.ScriptReader;
import hazelspoke.emulator.script.ScriptWriter;
import hazelspoke.emulator.torment.FaultDraw;
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

/** Plays a script with faults drawn between and at its processes. */
@Command(
    name = "torment",
    mixinStandardHelpOptions = true,
    sortOptions = false,
    description = {
      "Play a script's fleet and load with every gateway a process, a relay between each gateway and"
          + " each server, and faults drawn from a seed: at processes and between them.",
      "If a rule breaks, the faults are tried again in parts, and the few that are needed are"
          + " printed as a script."
    },
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:every rule was kept",
      "1:the script cannot be played",
      "2:a wrong call",
      "3:a rule was broken, or a gateway crashed",
      "4:the emulator itself ran late; the play counts for nothing"
    })
final class TormentCommand implements Callable<Integer> {
  private static final double MS = 1_000;

  @Spec private CommandSpec spec;

  @Mixin private RunOptions options;

  @Option(
      names = "--processes",
      paramLabel = "N",
      description = "So many gateways, 1 to 200; default: as the script has it.")
  private Integer processes;

  @Option(
      names = "--for",
      paramLabel = "SECONDS",
      description = "How long it lasts, 5 to 7200; default: as the script has it.")
  private Double seconds;

  @Option(
      names = "--shrink",
      paramLabel = "N",
      description = "So many plays at most to find the faults needed; default ${DEFAULT-VALUE}.")
  private int shrink = 12;

  @Option(
      names = "--needed",
      paramLabel = "FILE",
      description = "Where the script with the faults needed goes; default: it is printed.")
  private Path needed;

  @Override
  public Integer call() throws Exception {
    World read = options.world();
    if (read == null) {
      return Scripts.BAD_SCRIPT;
    }
    Script all = tormented(read.script());
    Scripts.warmUp(System.out);
    Results results = options.play(World.draw(all, options.seed()));
    int status = options.report(results);
    if (status == Scripts.BROKEN) {
      shrink(all);
    }
    return status;
  }

  private Script tormented(Script as) {
    double ms = seconds == null ? as.lengthMs() : MS * seconds;
    int gateways = processes == null ? as.fleet().gateways() : processes;
    require(ms >= 5 * MS && ms <= 7_200 * MS, "--for: expected 5 to 7200 seconds");
    require(
        gateways >= as.fleet().sites().size() && gateways <= 200,
        "--processes: expected one for each site at least, and 200 at most");
    require(
        as.fleet().apart().isEmpty(), options.script() + ": fleet.apart: expected it to be empty");
    Script longer = as.withProcesses(gateways, ms);
    List<Fault> faults = new ArrayList<>(as.faults());
    faults.addAll(FaultDraw.draw(longer, options.seed()));
    faults.sort(Comparator.comparingDouble(Fault::atMs));
    try {
      // Read again, so that what a broken play prints is what was played, and is checked as such.
      String text = ScriptWriter.write(longer.withFaults(faults));
      return ScriptReader.read(options.script() + " with these options", text);
    } catch (ScriptException e) {
      throw new ParameterException(spec.commandLine(), e.getMessage());
    }
  }

  private void require(boolean holds, String otherwise) {
    if (!holds) {
      throw new ParameterException(spec.commandLine(), otherwise);
    }
  }

  private void shrink(Script all) throws InterruptedException, IOException {
    PrintStream quiet = new PrintStream(OutputStream.nullOutputStream());
    int[] play = new int[1];
    Shrinker<Fault> shrinker =
        new Shrinker<>(
            faults -> {
              boolean broken = breaks(all.withFaults(faults), quiet);
              System.out.printf(
                  "  play %d, %d faults: %s%n",
                  ++play[0], faults.size(), broken ? "broken" : "kept");
              return broken;
            },
            shrink);
    System.out.printf("a rule was broken: which of %d faults does it take?%n", all.faults().size());
    Shrinker.Found<Fault> found = shrinker.shrink(all.faults());
    System.out.printf(
        "%d of %d faults, after %d plays%s%n",
        found.causes().size(),
        all.faults().size(),
        found.tries(),
        found.minimal() ? ": with one less it was kept" : "; fewer may do: see --shrink");
    String text = ScriptWriter.write(all.withFaults(found.causes()));
    if (needed == null) {
      System.out.println(text);
    } else {
      Files.writeString(needed, text);
      System.out.println(
          "script: " + needed + ", to be played with rehearse --seed " + options.seed());
    }
  }

  private boolean breaks(Script less, PrintStream quiet) throws InterruptedException {
    try {
      return Scripts.status(Scripts.play(World.draw(less, options.seed()), options.script(), quiet))
          == Scripts.BROKEN;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
