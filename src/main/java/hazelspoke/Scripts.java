package hazelspoke;

import hazelspoke.emulator.model.World;
import hazelspoke.emulator.report.HtmlReport;
import hazelspoke.emulator.report.JsonReport;
import hazelspoke.emulator.report.Results;
import hazelspoke.emulator.report.TextReport;
import hazelspoke.emulator.run.EmulatorWarmUp;
import hazelspoke.emulator.run.GatewayLauncher;
import hazelspoke.emulator.run.HostProcesses;
import hazelspoke.emulator.run.InProcessGatewayLauncher;
import hazelspoke.emulator.run.ProcessGatewayLauncher;
import hazelspoke.emulator.run.Rehearsal;
import hazelspoke.emulator.script.ScriptException;
import hazelspoke.emulator.script.ScriptReader;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Shared steps of the commands that run scripts. */
final class Scripts {
  static final int RULES_KEPT = 0;
  static final int BAD_SCRIPT = 1;
  static final int RULE_VIOLATED = 3;
  static final int RAN_LATE = 4;

  private Scripts() {}

  /** Reads a script and draws its world; returns null, after one error line, if it is invalid. */
  static World world(Path script, long seed, PrintStream err) {
    try {
      return World.draw(ScriptReader.read(script.toString(), Files.readString(script)), seed);
    } catch (ScriptException e) {
      err.println("pumicetray: " + e.getMessage());
    } catch (IOException e) {
      err.println("pumicetray: " + script + ": cannot be read");
    }
    return null;
  }

  /** Runs the emulator until its code is compiled, before anything is measured. */
  static void warmUp(PrintStream progress) throws IOException, InterruptedException {
    progress.println("warming up the emulator, 4 s");
    inTemporaryFolder(
        folder -> {
          EmulatorWarmUp.run(folder);
          return null;
        });
  }

  private interface FolderAction {
    Results apply(Path folder) throws IOException, InterruptedException;
  }

  /** Runs an action in a temporary folder, which is deleted afterwards. */
  private static Results inTemporaryFolder(FolderAction action)
      throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("rehearsal");
    try {
      return action.apply(folder);
    } finally {
      try (Stream<Path> files = Files.walk(folder)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.deleteIfExists(file);
        }
      }
    }
  }

  /** Runs a world once in a temporary folder. */
  static Results run(World world, Path script, PrintStream progress)
      throws IOException, InterruptedException {
    return inTemporaryFolder(folder -> run(world, script, progress, folder));
  }

  private static Results run(World world, Path script, PrintStream progress, Path folder)
      throws IOException, InterruptedException {
    Files.copy(script, folder.resolve("script.toml"));
    Path home = Path.of(System.getProperty("pumicetray.home", "."));
    GatewayLauncher launcher =
        world.script().fleet().inProcess()
            ? new InProcessGatewayLauncher()
            : new ProcessGatewayLauncher(home, world.script().fleet().sockets());
    List<String> javaCommand =
        List.of(
            ProcessHandle.current().info().command().orElse("java"),
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("java.class.path"),
            "hazelspoke.Main");
    HostProcesses apart = new HostProcesses(javaCommand, folder, world.seed());
    return new Rehearsal(world, launcher, apart, folder, progress).run();
  }

  /** Prints the results, writes the requested files, and returns the exit status. */
  static int report(Results results, Path json, Path html, PrintStream out) throws IOException {
    new TextReport(out).print(results);
    if (json != null) {
      write(json, JsonReport.write(results));
      out.println("JSON: " + json);
    }
    if (html != null) {
      write(html, HtmlReport.write(results));
      out.println("page: " + html.toAbsolutePath());
    }
    return status(results);
  }

  static int status(Results results) {
    return results.emulatorLag().ranLate()
        ? RAN_LATE
        : results.allRulesKept() ? RULES_KEPT : RULE_VIOLATED;
  }

  private static void write(Path file, String text) throws IOException {
    Path folder = file.toAbsolutePath().getParent();
    Files.createDirectories(folder);
    Files.writeString(file, text);
  }
}
