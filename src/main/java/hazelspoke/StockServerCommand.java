package hazelspoke;

import hazelspoke.emulator.model.World;
import hazelspoke.emulator.run.StockServerProcess;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs one stock server of a script until it is killed; started by rehearsals. */
@Command(
    name = "stock-server",
    mixinStandardHelpOptions = true,
    description = {
      "Run one stock server of a script as a separate process, until it is killed.",
      "A rehearsal starts these itself, for the hosts that its script lists under apart."
    })
final class StockServerCommand implements Callable<Integer> {
  @Parameters(paramLabel = "SCRIPT", description = "The script that the server belongs to.")
  private Path script;

  @Option(names = "--seed", description = "Seed of the rehearsal; default ${DEFAULT-VALUE}.")
  private long seed = 1;

  @Option(names = "--name", required = true, description = "Name of the server in the script.")
  private String name;

  @Option(
      names = "--listen",
      required = true,
      paramLabel = "IP:PORT",
      description = "Address to listen on.")
  private String listen;

  @Option(names = "--zero", description = "Start of the rehearsal on the monotonic clock, in ns.")
  private long zero = System.nanoTime();

  @Option(names = "--cold", description = "Start cold.")
  private boolean cold;

  @Override
  public Integer call() throws Exception {
    World world = Scripts.world(script, seed, System.err);
    if (world == null) {
      return 1;
    }
    int colon = listen.lastIndexOf(':');
    InetSocketAddress address =
        new InetSocketAddress(
            listen.substring(0, Math.max(0, colon)), Integer.parseInt(listen.substring(colon + 1)));
    StockServerProcess.start(world, name, address, zero, cold, new PrintStream(System.out, true));
    Thread.currentThread().join();
    return 0;
  }
}
