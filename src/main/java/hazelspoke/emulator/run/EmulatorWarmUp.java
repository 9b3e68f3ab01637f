package hazelspoke.emulator.run;

import hazelspoke.emulator.model.World;
import hazelspoke.emulator.script.ScriptException;
import hazelspoke.emulator.script.ScriptReader;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Path;

/**
 * Runs a short rehearsal and discards its results, so that the JVM compiles the emulator's code.
 * Otherwise its lag in the first seconds would be mistaken for slow gateways.
 */
public final class EmulatorWarmUp {
  private static final String SCRIPT =
      """
      length_s = 3
      [fleet]
      in_process = true
      servers = 8
      [load]
      rate = 1500
      [[class]]
      name = "reserve"
      work_ms = 4
      effect = "by_key"
      [[class]]
      name = "dispatch"
      work_ms = 4
      """;

  private EmulatorWarmUp() {}

  /**
   * @param folder existing folder for temporary files
   */
  public static void run(Path folder) throws IOException, InterruptedException {
    World world;
    try {
      world = World.draw(ScriptReader.read("warm-up", SCRIPT), 1);
    } catch (ScriptException e) {
      throw new IllegalStateException(e);
    }
    PrintStream nowhere = new PrintStream(OutputStream.nullOutputStream());
    new Rehearsal(world, new InProcessGatewayLauncher(), null, folder, nowhere).run();
  }
}
