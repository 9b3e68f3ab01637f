package hazelspoke;

import hazelspoke.emulator.model.World;
import hazelspoke.emulator.report.HtmlReport;
import hazelspoke.emulator.report.JsonReport;
import hazelspoke.emulator.report.Results;
import hazelspoke.emulator.report.TextReport;
import hazelspoke.emulator.run.ApartHosts;
import hazelspoke.emulator.run.EmulatorWarmUp;
import hazelspoke.emulator.run.GatewayLauncher;
import hazelspoke.emulator.run.LocalGateways;
import hazelspoke.emulator.run.ProcessGateways;
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

/** What the commands that play scripts have in common. */
final class Scripts {
  static final int KEPT = 0;
  static final int BAD_SCRIPT = 1;
  static final int BROKEN = 3;
  static final int RAN_LATE = 4;

  private Scripts() {}

  /** Reads a script and draws its world; null, after one line, for one that cannot be played. */
  static World world(Path script, long seed, PrintStream err) {
    try {
      return World.draw(ScriptReader.read(script.toString(), Files.readString(script)), seed);
    } catch (ScriptException e) {
      err.println("pumicetray: " + e.getMessage());
    } catch (IOException e) {
      err.println("pumicetray: " + script + ": this file cannot be read");
    }
    return null;
  }

  /** Lets the emulator's own code be compiled before anything counts. */
  static void warmUp(PrintStream progress) throws IOException, InterruptedException {
    progress.println("warming up the emulator, 4 s");
    inFolder(
        folder -> {
          EmulatorWarmUp.run(folder);
          return null;
        });
  }

  private interface Play {
    Results in(Path folder) throws IOException, InterruptedException;
  }

  /** A folder that goes with what was done in it. */
  private static Results inFolder(Play play) throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("rehearsal");
    try {
      return play.in(folder);
    } finally {
      try (Stream<Path> files = Files.walk(folder)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.deleteIfExists(file);
        }
      }
    }
  }

  /** Plays a world once, in a folder of its own that goes with it. */
  static Results play(World world, Path script, PrintStream progress)
      throws IOException, InterruptedException {
    return inFolder(folder -> play(world, script, progress, folder));
  }

  private static Results play(World world, Path script, PrintStream progress, Path folder)
      throws IOException, InterruptedException {
    Files.copy(script, folder.resolve("script.toml"));
    Path home = Path.of(System.getProperty("pumicetray.home", "."));
    GatewayLauncher launcher =
        world.script().fleet().inProcess()
            ? new LocalGateways()
            : new ProcessGateways(home, world.script().fleet().sockets());
    List<String> self =
        List.of(
            ProcessHandle.current().info().command().orElse("java"),
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("java.class.path"),
            "hazelspoke.Main");
    ApartHosts apart = new ApartHosts(self, folder, world.seed());
    return new Rehearsal(world, launcher, apart, folder, progress).run();
  }

  /** Prints the results, writes the files that are asked for, and returns the exit status. */
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
    return results.late().ranLate() ? RAN_LATE : results.kept() ? KEPT : BROKEN;
  }

  private static void write(Path file, String text) throws IOException {
    Path folder = file.toAbsolutePath().getParent();
    Files.createDirectories(folder);
    Files.writeString(file, text);
  }
}
