package hazelspoke.emulator.run;

import hazelspoke.emulator.judge.EventLog;
import hazelspoke.emulator.judge.FaultEffect;
import hazelspoke.emulator.judge.RecordMetrics;
import hazelspoke.emulator.judge.Rule;
import hazelspoke.emulator.judge.RuleChecker;
import hazelspoke.emulator.judge.Violation;
import hazelspoke.emulator.model.Arrival;
import hazelspoke.emulator.model.Outcome;
import hazelspoke.emulator.model.Registry;
import hazelspoke.emulator.model.World;
import hazelspoke.emulator.net.Clients;
import hazelspoke.emulator.net.Discovery;
import hazelspoke.emulator.net.EmulatorLoop;
import hazelspoke.emulator.net.GatewayEndpoint;
import hazelspoke.emulator.net.Host;
import hazelspoke.emulator.net.Links;
import hazelspoke.emulator.net.StockHost;
import hazelspoke.emulator.report.OutcomeStatistics;
import hazelspoke.emulator.report.ProcessTimeline;
import hazelspoke.emulator.report.Results;
import hazelspoke.emulator.script.Fault;
import hazelspoke.emulator.script.Script;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Runs one world once, from the start of the fleet to the results. */
public final class Rehearsal {
  private static final double MS_PER_S = 1_000;
  private static final double SAMPLE_INTERVAL_MS = 1_000;

  /** Delay between the readiness of all processes and the first request. */
  private static final double START_DELAY_MS = 300;

  /** Time beyond the deadline that is allowed for requests open at the end of the load. */
  private static final double DEADLINE_SLACK_MS = 1_000;

  private static final long RUN_TIMEOUT_MARGIN_S = 120;

  private final World world;
  private final Script script;
  private final GatewayLauncher launcher;
  private final HostProcesses hostProcesses;
  private final Path folder;
  private final PrintStream progress;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EmulatorLoop emulatorLoop = new EmulatorLoop(group.next());
  private final EventLog eventLog = new EventLog();
  private final Registry registry = new Registry();
  private final List<Clients> clients = new ArrayList<>();
  private final List<Outcome> outcomes = new ArrayList<>();
  private final LagStatistics arrivalLags = new LagStatistics();
  private final LagStatistics loopLags = new LagStatistics();
  private final List<int[]> queues = new ArrayList<>();
  private final List<List<ProcessStats.Sample>> samples = new ArrayList<>();
  private final CompletableFuture<Void> allDone = new CompletableFuture<>();
  private Fleet fleet;

  /** Clients of the gateways' record; null if the gateways share none. */
  private RecordClients recordClients;

  private RecordMonitor monitor;
  private RecordMetrics recordMetrics;

  /** Null if gateways call hosts directly. */
  private Links links;

  private Gateways gateways;
  private double startMs;
  private int nextArrival;
  private int served;
  private int refused;
  private int failed;

  /**
   * @param folder existing folder for configurations and logs
   * @param hostProcesses starts the hosts that run in processes of their own; null if the script
   *     has none
   * @param progress receives progress lines during the run
   */
  public Rehearsal(
      World world,
      GatewayLauncher launcher,
      HostProcesses hostProcesses,
      Path folder,
      PrintStream progress) {
    this.world = world;
    this.script = world.script();
    this.launcher = launcher;
    this.hostProcesses = hostProcesses;
    this.folder = folder;
    this.progress = progress;
  }

  /**
   * Runs the rehearsal. May be called once only.
   *
   * @throws IOException if the fleet cannot be started
   * @throws IllegalStateException if the emulator itself fails
   */
  public Results run() throws IOException, InterruptedException {
    boolean sharesRecord = script.fleet().voters() > 0;
    if (sharesRecord
        || script.faults().stream().anyMatch(f -> f.kind().subject() == Fault.Subject.LINKS)) {
      links = new Links(emulatorLoop, world.gatewaySites().size());
    }
    Discovery discovery =
        new Discovery(
            emulatorLoop, eventLog, registry, links, script.discovery(), ConfigFile.MUST_ASK_MS);
    try {
      fleet = new Fleet(emulatorLoop, world, eventLog, registry, links, hostProcesses);
      gateways =
          new Gateways(emulatorLoop, world, eventLog, registry, discovery, links, launcher, folder);
      if (sharesRecord) {
        emulatorLoop
            .loop()
            .submit(
                () -> {
                  gateways.shareRecord();
                  return null;
                })
            .syncUninterruptibly();
      }
      onLoop(
          () -> {
            fleet.start();
            discovery.start();
            for (Gateways.GatewayProcess gateway : gateways.all()) {
              discovery.recordConfiguredHosts(gateway.endpoint.gateway());
            }
          });
      progress.printf(
          Locale.ROOT,
          "%s: %d hosts, %d gateways, %d requests in %.0f s, seed %d, digest %s%n",
          script.title(),
          world.servers().size(),
          world.gatewaySites().size(),
          world.arrivals().size(),
          script.lengthMs() / MS_PER_S,
          world.seed(),
          world.digest());
      gateways.start();
      onLoop(() -> startLoad(discovery));
      if (sharesRecord && script.fleet().operators() > 0) {
        recordClients =
            new RecordClients(
                gateways.all().stream().map(g -> g.recordAddress).toList(),
                script.fleet().operators(),
                world.seed());
        recordClients.start();
        long zero = System.nanoTime() + (long) ((startMs - emulatorLoop.now()) * 1e6);
        monitor =
            new RecordMonitor(gateways.all().stream().map(g -> g.recordAddress).toList(), zero);
      }
      await();
      if (recordClients != null) {
        monitor.stop();
        recordMetrics =
            recordClients
                .stop()
                .withObservations(monitor.lead(script.lengthMs()), gateways.replacedDisks());
      }
      onLoop(gateways::recordOpenOutages);
      gateways.close();
      onLoop(() -> clients.forEach(Clients::close));
      onLoop(() -> eventLog.shiftTimes(-startMs));
      // Runs on the loop, as the lag monitor still updates its samples there.
      return emulatorLoop.loop().submit(this::results).syncUninterruptibly().getNow();
    } finally {
      if (monitor != null) {
        monitor.stop();
      }
      if (recordClients != null) {
        recordClients.stop();
      }
      if (gateways != null) {
        gateways.close();
      }
      if (links != null) {
        onLoop(links::close);
      }
      if (fleet != null) {
        onLoop(fleet::close);
      }
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
  }

  private void onLoop(Runnable task) {
    emulatorLoop.loop().submit(task).syncUninterruptibly();
  }

  private void await() throws InterruptedException {
    double maxMs =
        script.lengthMs()
            + START_DELAY_MS
            + DEADLINE_SLACK_MS
            + script.checker().slackMs()
            + script.classes().stream()
                .mapToDouble(Script.RequestClass::deadlineMs)
                .max()
                .orElse(0);
    try {
      CompletableFuture.anyOf(allDone, emulatorLoop.failure())
          .get((long) (maxMs / MS_PER_S) + RUN_TIMEOUT_MARGIN_S, TimeUnit.SECONDS);
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause().getMessage(), e.getCause());
    } catch (TimeoutException e) {
      throw new IllegalStateException("the rehearsal did not finish in time", e);
    }
  }

  /** Schedules the load, the faults and the sampling. */
  private void startLoad(Discovery discovery) {
    startMs = emulatorLoop.now() + START_DELAY_MS;
    for (int site = 0; site < script.fleet().sites().size(); site++) {
      int at = site;
      List<GatewayEndpoint> endpoints =
          gateways.all().stream().map(g -> g.endpoint).filter(s -> s.site() == at).toList();
      clients.add(
          new Clients(
              emulatorLoop,
              script,
              world.seed(),
              eventLog,
              endpoints,
              script.fleet().sockets() / 3,
              this::onOutcome));
    }
    new Faults(emulatorLoop, world, fleet, gateways, links, discovery, registry, this::reportFault)
        .schedule(startMs);
    emulatorLoop.monitorLag(loopLags::add);
    scheduleSample(0);
    scheduleProgress(1);
    startDueRequests();
  }

  /** Starts all due requests and sets one timer for the next arrival. */
  private void startDueRequests() {
    while (nextArrival < world.arrivals().size()) {
      Arrival arrival = world.arrivals().get(nextArrival).later(startMs);
      double now = emulatorLoop.now();
      if (arrival.atMs() > now) {
        emulatorLoop.at(arrival.atMs(), this::startDueRequests);
        return;
      }
      nextArrival++;
      arrivalLags.add(now - arrival.atMs());
      clients.get(arrival.site()).start(arrival);
    }
    if (world.arrivals().size() == 0) {
      emulatorLoop.at(startMs + script.lengthMs(), () -> allDone.complete(null));
    }
  }

  private void onOutcome(Outcome outcome) {
    Arrival arrival = world.arrivals().get(outcome.arrival().number());
    outcomes.add(new Outcome(arrival, outcome.tries(), outcome.result(), outcome.latencyMs()));
    switch (outcome.result()) {
      case SERVED -> served++;
      case REFUSED -> refused++;
      case FAILED -> failed++;
    }
    if (outcomes.size() == world.arrivals().size()) {
      // Open attempts may still report their end, and the script runs for its full length.
      double end = Math.max(startMs + script.lengthMs(), emulatorLoop.now() + DEADLINE_SLACK_MS);
      emulatorLoop.at(end, () -> allDone.complete(null));
    }
  }

  private void reportFault(String what) {
    progress.printf(
        Locale.ROOT, "%6.1f s  * %s%n", (emulatorLoop.now() - startMs) / MS_PER_S, what);
  }

  private void scheduleProgress(int window) {
    double at = startMs + window * OutcomeStatistics.WINDOW_MS;
    if (at > startMs + script.lengthMs()) {
      return;
    }
    emulatorLoop.at(
        at,
        () -> {
          int held = fleet.all().stream().mapToInt(h -> Math.max(0, h.heldRequests())).sum();
          progress.printf(
              Locale.ROOT,
              "%6.1f s  asked %d  served %d  refused %d  failed %d  at hosts %d%n",
              (emulatorLoop.now() - startMs) / MS_PER_S,
              nextArrival,
              served,
              refused,
              failed,
              held);
          scheduleProgress(window + 1);
        });
  }

  private void scheduleSample(int n) {
    if (n * SAMPLE_INTERVAL_MS > script.lengthMs()) {
      return;
    }
    emulatorLoop.at(
        startMs + n * SAMPLE_INTERVAL_MS,
        () -> {
          queues.add(
              fleet.all().stream().mapToInt(h -> h.isUp() ? h.heldRequests() : -1).toArray());
          samples.add(new ArrayList<>(gateways.all().stream().map(g -> g.sample).toList()));
          gateways.sampleProcesses();
          scheduleSample(n + 1);
        });
  }

  private Results results() {
    OutcomeStatistics statistics = new OutcomeStatistics(script, outcomes);
    double lateMs = script.checker().lateMs();
    Results.EmulatorLag late =
        new Results.EmulatorLag(
            arrivalLags.p99() > lateMs || loopLags.p99() > lateMs,
            arrivalLags.p99(),
            arrivalLags.max(),
            loopLags.p99(),
            loopLags.max());
    List<Results.FaultSummary> faults = new ArrayList<>();
    for (int i = 0; i < script.faults().size(); i++) {
      var fault = script.faults().get(i);
      faults.add(
          new Results.FaultSummary(
              fault.atMs(),
              fault.endMs(),
              Faults.describe(fault, world.affected().get(i)),
              effects(fault, world.affected().get(i))));
    }
    long repeats =
        fleet.all().stream()
            .mapToLong(h -> h instanceof Host host ? host.suppressedDuplicates() : 0)
            .sum();
    return new Results(
        script,
        world.seed(),
        world.digest(),
        statistics.windows(OutcomeStatistics.WINDOW_MS),
        statistics.windows(OutcomeStatistics.PLOT_MS),
        statistics.classes(),
        violations(),
        gateways.all().stream().mapToInt(g -> g.crashes).sum(),
        late,
        gatewayResults(),
        faults,
        ProcessTimeline.of(
            world.gatewaySites().size(),
            script.faults(),
            world.affected(),
            eventLog.outages(),
            monitor == null ? Map.of() : monitor.leads()),
        fleet.all().stream().map(StockHost::name).toList(),
        queues,
        eventLog.attemptCount(),
        repeats,
        recordMetrics);
  }

  private List<Violation> violations() {
    List<Violation> all = new ArrayList<>(RuleChecker.check(script, eventLog));
    if (recordMetrics != null) {
      recordMetrics
          .violations()
          .forEach(
              what -> all.add(new Violation(Rule.RECORD, script.lengthMs(), "", what, List.of())));
    }
    for (Gateways.GatewayProcess gateway : gateways.all()) {
      for (String line : gateways.violations(gateway)) {
        all.add(new Violation(Rule.VIOLATION, script.lengthMs(), "", line, List.of()));
      }
    }
    return List.copyOf(all);
  }

  private List<FaultEffect> effects(Fault fault, List<String> affected) {
    return fault.kind().subject() == Fault.Subject.HOSTS && fault.kind().hasDuration()
        ? affected.stream()
            .map(h -> FaultEffect.of(eventLog, h, fault.atMs(), fault.endMs()))
            .toList()
        : List.of();
  }

  private List<Results.GatewayResult> gatewayResults() {
    int n = gateways.all().size();
    int[] asked = new int[n];
    int[] answered = new int[n];
    for (EventLog.ClientAttempt t : eventLog.clientAttempts()) {
      asked[t.gateway]++;
      answered[t.gateway] += t.end == EventLog.ClientAttemptEnd.ANSWERED ? 1 : 0;
    }
    List<Results.GatewayResult> out = new ArrayList<>();
    for (int g = 0; g < n; g++) {
      double[] cpu = new double[samples.size()];
      double[] memory = new double[samples.size()];
      double[] descriptors = new double[samples.size()];
      for (int i = 0; i < samples.size(); i++) {
        ProcessStats.Sample now = samples.get(i).get(g);
        ProcessStats.Sample before = i == 0 ? null : samples.get(i - 1).get(g);
        boolean sameProcess = now != null && before != null && now.cpuS() >= before.cpuS();
        cpu[i] =
            sameProcess ? (now.cpuS() - before.cpuS()) * MS_PER_S / SAMPLE_INTERVAL_MS : Double.NaN;
        memory[i] = now == null ? Double.NaN : now.memoryMb();
        descriptors[i] = now == null ? Double.NaN : now.descriptors();
      }
      out.add(
          new Results.GatewayResult(
              "g" + (g + 1),
              script.fleet().sites().get(world.gatewaySites().get(g)),
              asked[g],
              answered[g],
              cpu,
              memory,
              descriptors));
    }
    return out;
  }
}
