package hazelspoke;

import hazelspoke.bench.Relay;
import hazelspoke.bench.RelayBench;
import hazelspoke.bench.Report;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Measures what the gateway costs. */
@Command(
    name = "bench",
    mixinStandardHelpOptions = true,
    description = "Measure what the gateway costs, beside a control in the same run.",
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {BenchCommand.OfRelay.class, BenchCommand.RelayProcess.class})
final class BenchCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "say what to measure: relay");
  }

  /** The gateway against a relay. */
  @Command(
      name = "relay",
      mixinStandardHelpOptions = true,
      sortOptions = false,
      description = {
        "Load the gateway, with the flags of 'run' in deploy/balancer.toml, and a bare relay that"
            + " only passes bytes on, in turns: the same clients and hosts, one core.",
        "Prints CPU a request, requests a second, latencies, collections and bytes allocated:"
            + " medians, from least to most, and the ratio."
      },
      exitCodeListHeading = "Exit codes:%n",
      exitCodeList = {"0:it was measured", "1:a process did not come up", "2:a wrong call"})
  static final class OfRelay implements Callable<Integer> {
    @Option(names = "--hosts", paramLabel = "N", description = "Default ${DEFAULT-VALUE}.")
    private int hosts = 4;

    @Option(names = "--clients", paramLabel = "N", description = "Default ${DEFAULT-VALUE}.")
    private int clients = 16;

    @Option(
        names = "--rounds",
        paramLabel = "N",
        description = "How often each is measured; default ${DEFAULT-VALUE}.")
    private int rounds = 5;

    @Option(
        names = "--seconds",
        paramLabel = "S",
        description = "How long each time; default ${DEFAULT-VALUE}.")
    private double seconds = 5;

    @Option(
        names = "--deadline",
        paramLabel = "S",
        description = "How long clients wait, in seconds; default ${DEFAULT-VALUE}.")
    private double deadline = 1;

    @Option(names = "--json", paramLabel = "FILE", description = "Write the figures as JSON.")
    private Path json;

    @Option(
        names = "--jar",
        paramLabel = "FILE",
        description = "Measure the gateway of this jar, such as an older build's.")
    private Path jar;

    @Option(
        names = "--record",
        paramLabel = "FILE",
        description = "Let Java's flight recorder write a profile of the gateway (.jfr).")
    private Path recording;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
      if (hosts < 1 || clients < 1 || rounds < 1 || seconds <= 0 || deadline <= 0) {
        throw new ParameterException(spec.commandLine(), "all figures have to be above 0");
      }
      Path home = Path.of(System.getProperty("pumicetray.home", "."));
      Path own = ownJar();
      RelayBench.Plan plan =
          new RelayBench.Plan(
              hosts,
              clients,
              rounds,
              seconds,
              deadline,
              home,
              jar == null ? own : jar.toAbsolutePath(),
              own,
              recording);
      try {
        Report report = new RelayBench(plan, System.out).run();
        report.print(System.out);
        if (json != null) {
          report.write(json);
        }
        return 0;
      } catch (IOException e) {
        System.err.println("pumicetray: " + e.getMessage());
        return 1;
      }
    }

    private static Path ownJar() throws URISyntaxException {
      return Path.of(BenchCommand.class.getProtectionDomain().getCodeSource().getLocation().toURI())
          .toAbsolutePath();
    }
  }

  /** The relay's own process. */
  @Command(name = "relay-process", hidden = true, description = "Run the relay of 'bench relay'.")
  static final class RelayProcess implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "PORT", description = "Where it listens.")
    private int port;

    @Parameters(index = "1", paramLabel = "PORTS", split = ",", description = "Its hosts' ports.")
    private List<Integer> hosts;

    @Override
    public Integer call() throws InterruptedException {
      Relay.start(port, hosts);
      new CountDownLatch(1).await();
      return 0;
    }
  }
}
