package hazelspoke.emulator.run;

import hazelspoke.emulator.model.World;
import hazelspoke.emulator.script.ScriptException;
import hazelspoke.emulator.script.ScriptReader;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Path;

/**
 * A short play whose results nobody sees: the JVM compiles the emulator's code, which would
 * otherwise be late in the first seconds and be taken for slowness of the gateways.
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
   * @param folder for its files; must exist
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
