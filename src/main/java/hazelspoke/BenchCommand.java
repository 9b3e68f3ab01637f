package hazelspoke;

import hazelspoke.bench.Relay;
import hazelspoke.bench.RelayBench;
import hazelspoke.bench.Report;
import hazelspoke.bench.scale.ScaleBench;
import hazelspoke.bench.scale.Voter;
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
    subcommands = {
      BenchCommand.OfRelay.class,
      BenchCommand.OfScale.class,
      BenchCommand.RelayProcess.class,
      BenchCommand.ScaleVoter.class
    })
final class BenchCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "say what to measure: relay or scale");
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
  }

  private static Path ownJar() throws URISyntaxException {
    return Path.of(BenchCommand.class.getProtectionDomain().getCodeSource().getLocation().toURI())
        .toAbsolutePath();
  }

  /** Slopes by the size of the fleet and of its lists. */
  @Command(
      name = "scale",
      mixinStandardHelpOptions = true,
      sortOptions = false,
      description = {
        "Measure what grows with the fleet, at several sizes: the record that gateways share, with"
            + " five voters as processes and all other members hollow on loopback; one gateway's"
            + " list and decisions by hosts, classes and tenants.",
        "Prints a line a figure: the median at each size and the slope through all rounds. Times"
            + " of the processor are the threads' own."
      },
      exitCodeListHeading = "Exit codes:%n",
      exitCodeList = {"0:it was measured", "1:a process did not come up", "2:a wrong call"})
  static final class OfScale implements Callable<Integer> {
    private static final int LEAST_MEMBERS = 10;
    private static final int MOST_MEMBERS = 1_500;
    private static final int MOST_HOSTS = 20_000;

    @Option(
        names = "--members",
        split = ",",
        paramLabel = "N",
        description = "Sizes of the fleet; default ${DEFAULT-VALUE}.")
    private List<Integer> members = List.of(135, 270, 540, 1_080);

    @Option(
        names = "--hosts",
        split = ",",
        paramLabel = "N",
        description = "Lengths of the list; default ${DEFAULT-VALUE}.")
    private List<Integer> hosts = List.of(1_150, 2_300, 4_600, 9_200);

    @Option(
        names = "--rounds",
        paramLabel = "N",
        description = "How often each, in turn; default ${DEFAULT-VALUE}.")
    private int rounds = 2;

    @Option(
        names = "--idle",
        paramLabel = "S",
        description = "How long a fleet is watched at rest; default ${DEFAULT-VALUE}.")
    private double idle = 10;

    @Option(names = "--json", paramLabel = "FILE", description = "Write all rounds as JSON.")
    private Path json;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
      if (rounds < 1
          || idle <= 0
          || members.stream().anyMatch(n -> n < LEAST_MEMBERS || n > MOST_MEMBERS)
          || hosts.stream().anyMatch(n -> n < 1 || n > MOST_HOSTS)) {
        throw new ParameterException(
            spec.commandLine(),
            "members are from 10 to 1500, hosts from 1 to 20000, and the rest above 0");
      }
      ScaleBench bench =
          new ScaleBench(new ScaleBench.Plan(members, hosts, rounds, idle, ownJar()), System.out);
      try {
        bench.run();
        bench.report(System.out, json);
        return 0;
      } catch (IOException e) {
        System.err.println("pumicetray: " + e.getMessage());
        return 1;
      }
    }
  }

  /** A voter's own process. */
  @Command(name = "scale-voter", hidden = true, description = "Run a voter of 'bench scale'.")
  static final class ScaleVoter implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "MEMBERS")
    private int members;

    @Parameters(index = "1", paramLabel = "VOTERS")
    private int voters;

    @Parameters(index = "2", paramLabel = "BLOCK")
    private int block;

    @Parameters(index = "3", paramLabel = "MEMBER")
    private int member;

    @Parameters(index = "4", paramLabel = "FOLDER")
    private Path data;

    @Override
    public Integer call() throws IOException {
      Voter.run(members, voters, block, member, data, System.out);
      return 0;
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
