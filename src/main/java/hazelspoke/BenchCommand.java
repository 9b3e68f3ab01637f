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

/** Measures the gateway's use of CPU, memory and network. */
@Command(
    name = "bench",
    mixinStandardHelpOptions = true,
    description = "Measure the gateway's overhead, next to a control in the same run.",
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      BenchCommand.RelayCommand.class,
      BenchCommand.ScaleCommand.class,
      BenchCommand.RelayProcess.class,
      BenchCommand.ScaleVoter.class
    })
final class BenchCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a command is missing: relay or scale");
  }

  /** Compares the gateway with a plain TCP relay. */
  @Command(
      name = "relay",
      mixinStandardHelpOptions = true,
      sortOptions = false,
      description = {
        "Load the gateway, with the flags of 'run' in deploy/balancer.toml, and a TCP relay that"
            + " only forwards bytes, in alternating rounds: the same clients and hosts, one core.",
        "Prints CPU per request, requests per second, latencies, garbage collections and bytes"
            + " allocated: medians, minima and maxima, and the ratio."
      },
      exitCodeListHeading = "Exit codes:%n",
      exitCodeList = {"0:completed", "1:a process did not start", "2:invalid arguments"})
  static final class RelayCommand implements Callable<Integer> {
    @Option(names = "--hosts", paramLabel = "N", description = "Default ${DEFAULT-VALUE}.")
    private int hosts = 4;

    @Option(names = "--clients", paramLabel = "N", description = "Default ${DEFAULT-VALUE}.")
    private int clients = 16;

    @Option(
        names = "--rounds",
        paramLabel = "N",
        description = "Rounds of each; default ${DEFAULT-VALUE}.")
    private int rounds = 5;

    @Option(
        names = "--seconds",
        paramLabel = "S",
        description = "Duration of a round; default ${DEFAULT-VALUE}.")
    private double seconds = 5;

    @Option(
        names = "--deadline",
        paramLabel = "S",
        description = "Deadline of the clients' requests; default ${DEFAULT-VALUE}.")
    private double deadline = 1;

    @Option(names = "--json", paramLabel = "FILE", description = "Write the metrics as JSON.")
    private Path json;

    @Option(
        names = "--jar",
        paramLabel = "FILE",
        description = "Measure the gateway of this jar, for example of an older build.")
    private Path jar;

    @Option(
        names = "--record",
        paramLabel = "FILE",
        description = "Write a Java Flight Recorder profile of the gateway (.jfr).")
    private Path recording;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
      if (hosts < 1 || clients < 1 || rounds < 1 || seconds <= 0 || deadline <= 0) {
        throw new ParameterException(spec.commandLine(), "all values must be above 0");
      }
      Path home = Path.of(System.getProperty("pumicetray.home", "."));
      Path currentJar = currentJar();
      RelayBench.Plan plan =
          new RelayBench.Plan(
              hosts,
              clients,
              rounds,
              seconds,
              deadline,
              home,
              jar == null ? currentJar : jar.toAbsolutePath(),
              currentJar,
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

  private static Path currentJar() throws URISyntaxException {
    return Path.of(BenchCommand.class.getProtectionDomain().getCodeSource().getLocation().toURI())
        .toAbsolutePath();
  }

  /** Measures how costs grow with the size of the fleet and of its host list. */
  @Command(
      name = "scale",
      mixinStandardHelpOptions = true,
      sortOptions = false,
      description = {
        "Measure what grows with the fleet, at several sizes: the record that gateways share, with"
            + " five voters as processes and all other members simulated on loopback; one gateway's"
            + " list and decisions by hosts, classes and tenants.",
        "Prints a line per metric: the median at each size and the slope through all rounds. CPU"
            + " times are per thread."
      },
      exitCodeListHeading = "Exit codes:%n",
      exitCodeList = {"0:completed", "1:a process did not start", "2:invalid arguments"})
  static final class ScaleCommand implements Callable<Integer> {
    private static final int MIN_MEMBERS = 10;
    private static final int MAX_MEMBERS = 1_500;
    private static final int MAX_HOSTS = 20_000;

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
        description = "Rounds of each size, interleaved; default ${DEFAULT-VALUE}.")
    private int rounds = 2;

    @Option(
        names = "--idle",
        paramLabel = "S",
        description = "How long an idle fleet is measured; default ${DEFAULT-VALUE}.")
    private double idle = 10;

    @Option(names = "--json", paramLabel = "FILE", description = "Write all rounds as JSON.")
    private Path json;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
      if (rounds < 1
          || idle <= 0
          || members.stream().anyMatch(n -> n < MIN_MEMBERS || n > MAX_MEMBERS)
          || hosts.stream().anyMatch(n -> n < 1 || n > MAX_HOSTS)) {
        throw new ParameterException(
            spec.commandLine(),
            "members must be from 10 to 1500, hosts from 1 to 20000, and all other values above 0");
      }
      ScaleBench bench =
          new ScaleBench(
              new ScaleBench.Plan(members, hosts, rounds, idle, currentJar()), System.out);
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

  /** Runs one voter as a process. */
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

  /** Runs the relay as a process. */
  @Command(name = "relay-process", hidden = true, description = "Run the relay of 'bench relay'.")
  static final class RelayProcess implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "PORT", description = "Port to listen on.")
    private int port;

    @Parameters(index = "1", paramLabel = "PORTS", split = ",", description = "Ports of the hosts.")
    private List<Integer> hosts;

    @Override
    public Integer call() throws InterruptedException {
      Relay.start(port, hosts);
      new CountDownLatch(1).await();
      return 0;
    }
  }
}
