package hazelspoke.bench;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/** Measures gateway and relay in alternating rounds. */
public final class RelayBench {
  private static final int EVENT_LOOPS = 2;
  private static final double WARM_UP_S = 4;
  private static final double UNCOUNTED_LEAD_S = 0.5;

  private static final String CONFIG =
      """
      {"name":"bench","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"b",
       "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,
       "settings":{"areas":["a"],"az":0,"instances":1,"kinds":["k"],"discovery":"pushed",
        "quantum":1,"tenants":[{"name":"mill","share":1.0}],
        "grades":[{"name":"reserve","effect":"by_key","group":"zone","aim":500,"hard_limit":%d,
         "window":1500}],
        "limits":{"send_cap":5,"second_copies":true,"cancelling":true,"connect_timeout":1000,
         "conn_idle":5000},
        "rules":{"cold_from":0.31,"cold":8500,"fall_multiple":3,"fall":3000,"drain_grace":1000,
         "grace_to_answer":20,"must_ask_in":10000}}}
      """;

  /**
   * Parameters of a benchmark run.
   *
   * @param hosts number of hosts behind the gateway
   * @param clients number of closed-loop clients
   * @param rounds number of rounds for each of the two
   * @param seconds length of a round, in seconds
   * @param deadlineS how long clients wait, in seconds
   * @param home project folder, which contains deploy/balancer.toml
   * @param jar the gateway's jar, of this build or of another
   * @param ownJar the relay's jar, always of this build
   * @param recording file of the flight recording of the gateway, or null
   */
  public record Plan(
      int hosts,
      int clients,
      int rounds,
      double seconds,
      double deadlineS,
      Path home,
      Path jar,
      Path ownJar,
      Path recording) {}

  private final Plan plan;
  private final PrintStream progress;

  public RelayBench(Plan plan, PrintStream progress) {
    this.plan = plan;
    this.progress = progress;
  }

  /**
   * Runs all rounds.
   *
   * @throws IOException if one of the processes does not start
   */
  public Report run() throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("bench");
    EventLoopGroup loops = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    try {
      return run(folder, loops);
    } finally {
      loops.shutdownGracefully().awaitUninterruptibly();
      try (var files = Files.walk(folder)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.deleteIfExists(file);
        }
      }
    }
  }

  private Report run(Path folder, EventLoopGroup loops) throws IOException, InterruptedException {
    Pinning pinning = Pinning.begin();
    StubHosts hosts = new StubHosts(loops, plan.hosts());
    int gatewayPort = freePort();
    int relayPort = freePort();
    Files.writeString(
        folder.resolve("config.json"),
        CONFIG.formatted(
            gatewayPort,
            hosts.discovery().getPort(),
            hosts.list(),
            (long) (plan.deadlineS() * 1_000)));
    List<String> flags = RunFlags.read(plan.home().resolve("deploy/balancer.toml"));
    try (MeasuredProcess gateway =
            MeasuredProcess.start(
                "gateway",
                pinning,
                plan.home(),
                folder,
                with(withRecording(flags), "-jar", plan.jar().toString(), "serve"),
                gatewayPort);
        MeasuredProcess relay =
            MeasuredProcess.start(
                "relay",
                pinning,
                plan.home(),
                folder,
                with(
                    flags,
                    "-jar",
                    plan.ownJar().toString(),
                    "bench",
                    "relay-process",
                    Integer.toString(relayPort),
                    hosts.hosts().stream()
                        .map(address -> Integer.toString(address.getPort()))
                        .collect(Collectors.joining(","))),
                relayPort)) {
      progress.println(
          plan.hosts() + " hosts, " + plan.clients() + " clients; " + pinning.description());
      for (MeasuredProcess process : List.of(gateway, relay)) {
        progress.println("warming up the " + process.name());
        new LoadGenerator(loops, process.address(), plan.deadlineS())
            .run(plan.clients(), WARM_UP_S, 0, () -> {});
      }
      List<Round> gatewayRounds = new ArrayList<>();
      List<Round> relayRounds = new ArrayList<>();
      for (int i = 1; i <= plan.rounds(); i++) {
        gatewayRounds.add(round(gateway, loops, i));
        relayRounds.add(round(relay, loops, i));
      }
      return new Report(plan, pinning.description(), gatewayRounds, relayRounds);
    }
  }

  private Round round(MeasuredProcess process, EventLoopGroup loops, int number)
      throws IOException, InterruptedException {
    double[] cpuS = new double[1];
    int[] lines = new int[1];
    LoadGenerator.Result result =
        new LoadGenerator(loops, process.address(), plan.deadlineS())
            .run(
                plan.clients(),
                UNCOUNTED_LEAD_S,
                plan.seconds(),
                () -> {
                  cpuS[0] = process.cpuS();
                  lines[0] = process.gc().lines();
                });
    double usedCpuS = process.cpuS() - cpuS[0];
    Round round = Round.of(result, usedCpuS, process.gc().between(lines[0], process.gc().lines()));
    progress.println("round " + number + ": " + process.name() + " " + round.summary());
    return round;
  }

  /** Adds flight recording, and removes the metaspace limit, which is too low for it. */
  private List<String> withRecording(List<String> flags) {
    if (plan.recording() == null) {
      return flags;
    }
    return with(
        flags.stream().filter(flag -> !flag.contains("MaxMetaspaceSize")).toList(),
        "-XX:StartFlightRecording=settings=profile,filename=" + plan.recording().toAbsolutePath());
  }

  private static List<String> with(List<String> flags, String... more) {
    List<String> all = new ArrayList<>(flags);
    all.addAll(List.of(more));
    return all;
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
