package hazelspoke.emulator.run;

import hazelspoke.agreement.net.OperatorClient;
import hazelspoke.agreement.record.Command;
import hazelspoke.emulator.judge.EventLog;
import hazelspoke.emulator.model.Registry;
import hazelspoke.emulator.model.SeededRandom;
import hazelspoke.emulator.model.World;
import hazelspoke.emulator.net.Discovery;
import hazelspoke.emulator.net.EmulatorLoop;
import hazelspoke.emulator.net.GatewayEndpoint;
import hazelspoke.emulator.net.Links;
import hazelspoke.emulator.net.Ports;
import hazelspoke.emulator.run.GatewayHandle.Signal;
import hazelspoke.emulator.script.Fault;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The gateways of a rehearsal. Starting, signalling and sampling them blocks, so it runs on
 * separate threads; everything else runs on the emulator's event loop.
 */
final class Gateways implements AutoCloseable {
  /** Prefix of a gateway's log lines that report a violation of an invariant. */
  private static final String VIOLATION = "violation: ";

  private static final double MICROS_PER_MS = 1_000;

  private static final int GATEWAY_NET = 79;
  private static final int DISCOVERY_NET = 78;
  private static final int RECORD_NET = 77;

  /** Bounds of the delay after which the front layer detects that a gateway is down. */
  private static final double MIN_DETECTION_MS = 1_200;

  private static final double MAX_DETECTION_MS = 3_600;

  /** New connections keep arriving for this long after SIGTERM. */
  private static final double SIGTERM_ROTATION_DELAY_MS = 300;

  /** Time that a gateway needs after SIGCONT to process its backlog. */
  private static final double CATCH_UP_MS = 500;

  private static final int PROBE_TIMEOUT_MS = 500;
  private static final long PROBE_INTERVAL_MS = 50;
  private static final long START_TIMEOUT_MS = 30_000;
  private static final int OPERATOR_TIMEOUT_MS = 2_000;
  private static final int VOTER_TIMEOUT_MS = 10_000;

  private final EmulatorLoop emulatorLoop;
  private final World world;
  private final EventLog eventLog;
  private final Registry registry;
  private final Discovery discovery;
  private final Links links;
  private final GatewayLauncher launcher;
  private final Path folder;
  private final List<GatewayProcess> gateways = new ArrayList<>();
  private final ExecutorService operators =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "operator");
            thread.setDaemon(true);
            return thread;
          });
  private final AtomicInteger replacedDisks = new AtomicInteger();
  private int moves;
  private volatile boolean closing;

  /** A gateway, its files and the observed state of its process. */
  static final class GatewayProcess {
    final GatewayEndpoint endpoint;
    final Path config;
    final Map<String, String> environment = new HashMap<>();
    final Path log;
    String discovery;
    volatile GatewayHandle handle;
    volatile ProcessStats.Sample sample;
    double downSince = Double.NaN;
    boolean expectedUp = true;
    int crashes;
    int outages;
    int starts;

    /** Listen address for the other gateways; null if the gateways share no record. */
    InetSocketAddress recordAddress;

    GatewayProcess(GatewayEndpoint endpoint, Path folder) {
      this.endpoint = endpoint;
      String name = "g" + (endpoint.gateway() + 1);
      config = folder.resolve(name + ".json");
      log = folder.resolve(name + ".log");
    }
  }

  Gateways(
      EmulatorLoop emulatorLoop,
      World world,
      EventLog eventLog,
      Registry registry,
      Discovery discovery,
      Links links,
      GatewayLauncher launcher,
      Path folder)
      throws IOException {
    this.emulatorLoop = emulatorLoop;
    this.world = world;
    this.eventLog = eventLog;
    this.registry = registry;
    this.discovery = discovery;
    this.links = links;
    this.launcher = launcher;
    this.folder = folder;
    for (int i = 0; i < world.gatewaySites().size(); i++) {
      InetSocketAddress listen = Ports.free(GATEWAY_NET, i);
      InetSocketAddress list = Ports.free(DISCOVERY_NET, i);
      GatewayProcess gateway =
          new GatewayProcess(new GatewayEndpoint(i, world.gatewaySites().get(i), listen), folder);
      gateway.discovery = Ports.text(list);
      discovery.open(i, list);
      gateways.add(gateway);
    }
  }

  /** Writes each gateway's record configuration, in which the others are reached through links. */
  void shareRecord() throws IOException {
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (GatewayProcess gateway : gateways) {
      gateway.recordAddress = Ports.free(RECORD_NET, gateway.endpoint.gateway());
      addresses.add(gateway.recordAddress);
    }
    links.connectGateways(addresses);
    for (GatewayProcess gateway : gateways) {
      int g = gateway.endpoint.gateway();
      Path file = folder.resolve("g" + (g + 1) + ".toml");
      Files.writeString(file, RecordFile.write(g, addresses, links, world.script(), folder));
      gateway.environment.put("PUMICETRAY_CONFIG", file.toString());
    }
  }

  List<GatewayProcess> all() {
    return gateways;
  }

  GatewayProcess gateway(String name) {
    return gateways.get(Integer.parseInt(name.substring(1)) - 1);
  }

  /** Starts all gateways at once and returns when every one is ready. */
  void start() throws IOException, InterruptedException {
    for (GatewayProcess gateway : gateways) {
      emulatorLoop.loop().submit(() -> writeConfig(gateway)).syncUninterruptibly();
      launch(gateway);
    }
    for (GatewayProcess gateway : gateways) {
      if (!awaitReady(gateway)) {
        throw new IOException(
            "g"
                + (gateway.endpoint.gateway() + 1)
                + " was not ready within 30 s; its log: "
                + tail(gateway.log));
      }
      emulatorLoop.loop().execute(() -> gateway.endpoint.setInRotation(true));
    }
  }

  private static String tail(Path log) {
    try {
      List<String> lines = Files.readAllLines(log);
      return String.join(" | ", lines.subList(Math.max(0, lines.size() - 3), lines.size()));
    } catch (IOException e) {
      return "none";
    }
  }

  private void writeConfig(GatewayProcess gateway) {
    int i = gateway.endpoint.gateway();
    String text =
        ConfigFile.write(
            world,
            i,
            Ports.text(gateway.endpoint.address()),
            gateway.discovery,
            SeededRandom.mix(world.seed() + 1_000L * i + gateway.starts),
            registry.index(),
            links == null ? registry.all() : links.entriesFor(i, registry.all()));
    try {
      Path fresh = Files.createTempFile(folder, "config", ".json");
      Files.writeString(fresh, text);
      Files.move(fresh, gateway.config, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException e) {
      emulatorLoop.fail("a configuration cannot be written", e);
    }
  }

  private void launch(GatewayProcess gateway) throws IOException {
    String name = "g" + (gateway.endpoint.gateway() + 1);
    gateway.starts++;
    Path temporary = Files.createTempDirectory(folder, name + "-tmp");
    gateway.environment.put("NODE_CONFIG", gateway.config.toString());
    gateway.environment.put("NODE_NAME", name);
    gateway.environment.put("NODE_LISTEN", Ports.text(gateway.endpoint.address()));
    gateway.environment.put("NODE_DISCOVERY", gateway.discovery);
    gateway.environment.put("TMPDIR", temporary.toString());
    gateway.handle = launcher.launch(name, gateway.environment, gateway.log);
  }

  private boolean awaitReady(GatewayProcess gateway) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
    while (System.nanoTime() < end && !closing && gateway.handle.isAlive()) {
      if (isReady(gateway.endpoint.address())) {
        return true;
      }
      Thread.sleep(PROBE_INTERVAL_MS);
    }
    return false;
  }

  private static boolean isReady(InetSocketAddress address) {
    try (Socket socket = new Socket()) {
      socket.connect(address, PROBE_TIMEOUT_MS);
      socket.setSoTimeout(PROBE_TIMEOUT_MS);
      socket
          .getOutputStream()
          .write(
              "GET /healthz HTTP/1.1\r\nHost: front\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      byte[] start = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
      return new String(start, StandardCharsets.US_ASCII).equals("HTTP/1.1 200");
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends SIGKILL; clients retry the requests that the gateway held. */
  void kill(GatewayProcess gateway) {
    gateway.expectedUp = false;
    markDown(gateway);
    signal(gateway, Signal.KILL);
    removeFromRotationLater(gateway);
  }

  /** Simulates the loss of its machine: the process is stopped, and killed before a restart. */
  void vanish(GatewayProcess gateway) {
    if (gateway.handle.pid() < 0) {
      // An in-process gateway cannot be stopped.
      kill(gateway);
    } else {
      gateway.expectedUp = false;
      stop(gateway);
    }
  }

  /** Sends SIGTERM, as at a planned restart. */
  void term(GatewayProcess gateway) {
    gateway.expectedUp = false;
    signal(gateway, Signal.TERM);
    emulatorLoop.at(
        emulatorLoop.now() + SIGTERM_ROTATION_DELAY_MS,
        () -> gateway.endpoint.setInRotation(false));
  }

  /** Makes every file write of the gateway fail. */
  void fillDisk(GatewayProcess gateway) {
    GatewayHandle handle = gateway.handle;
    operators.execute(() -> handle.diskFull(true));
  }

  /** Restarts a gateway; a process that still runs is killed first. */
  void restart(GatewayProcess gateway) {
    restart(gateway, null);
  }

  /**
   * Restarts a gateway after a fault of its disk.
   *
   * @param diskFault the fault to apply to its disk before the restart; null for none
   */
  void restart(GatewayProcess gateway, Fault.Kind diskFault) {
    markDown(gateway);
    writeConfig(gateway);
    SplittableRandom random =
        SeededRandom.stream(
            world.seed(), "disk" + gateway.endpoint.gateway() + "/" + gateway.starts);
    operators.execute(
        () -> {
          try {
            gateway.handle.close();
            if (diskFault != null) {
              new RecordDiskFaults(dataOf(gateway)).apply(diskFault, random);
            }
            launch(gateway);
            if (diskFault != null && diskFault.losesVote()) {
              operators.execute(() -> replaceVoter(gateway));
            }
            if (awaitReady(gateway)) {
              emulatorLoop.loop().execute(() -> markRestarted(gateway));
            } else if (!closing) {
              emulatorLoop.fail(
                  "a gateway was not ready after its restart; its log: " + tail(gateway.log),
                  new IOException());
            }
          } catch (IOException e) {
            emulatorLoop.fail("a gateway cannot be restarted", e);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  private Path dataOf(GatewayProcess gateway) {
    return folder.resolve("g" + (gateway.endpoint.gateway() + 1) + "-data");
  }

  /**
   * Acts as an operator: confirms that the old process has ended and adds the new disk as a voter.
   */
  private void replaceVoter(GatewayProcess gateway) {
    String name = "g" + (gateway.endpoint.gateway() + 1);
    boolean isVoter = gateway.endpoint.gateway() < world.script().fleet().voters();
    boolean confirmed = false;
    for (int i = 0; !closing; i++) {
      InetSocketAddress at = gateways.get(i % gateways.size()).recordAddress;
      try (OperatorClient client = new OperatorClient(at, RecordFile.FLEET)) {
        Command.Vouch command = new Command.Vouch(name);
        Command.Numbered confirmation =
            new Command.Numbered("operator/" + name + "/" + i, 1, command);
        // Confirmed once only, as a second command would refer to the process that has started
        // since.
        confirmed = confirmed || client.command(confirmation, OPERATOR_TIMEOUT_MS).succeeded();
        if (confirmed && (!isVoter || client.voter(true, name, VOTER_TIMEOUT_MS).succeeded())) {
          replacedDisks.incrementAndGet();
          return;
        }
      } catch (IOException e) {
        // Partitioned, or without a leader: the next gateway is tried.
      }
      try {
        Thread.sleep(PROBE_INTERVAL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /** Returns the number of lost disks that were replaced and, if they voted, vote again. */
  int replacedDisks() {
    return replacedDisks.get();
  }

  private void markRestarted(GatewayProcess gateway) {
    gateway.expectedUp = true;
    eventLog.outage(gateway.endpoint.gateway(), gateway.downSince, emulatorLoop.now());
    gateway.downSince = Double.NaN;
    discovery.gatewayRestarted(gateway.endpoint.gateway());
    gateway.endpoint.setInRotation(true);
  }

  /** Sends SIGSTOP. */
  void stop(GatewayProcess gateway) {
    markDown(gateway);
    signal(gateway, Signal.STOP);
    removeFromRotationLater(gateway);
  }

  /**
   * Sends SIGSTOP and, after the given time, SIGCONT. The pause is not recorded as an outage, so
   * losses during it count as violations, and the front layer does not detect it.
   */
  void pause(GatewayProcess gateway, double forMs) {
    GatewayHandle handle = gateway.handle;
    operators.execute(
        () -> {
          handle.signal(Signal.STOP);
          try {
            TimeUnit.MICROSECONDS.sleep((long) (forMs * MICROS_PER_MS));
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          handle.signal(Signal.CONT);
        });
  }

  /** Returns the log lines that report a violation; none if the gateway has no log. */
  List<String> violations(GatewayProcess gateway) {
    if (!Files.exists(gateway.log)) {
      return List.of();
    }
    try {
      return Files.readAllLines(gateway.log).stream()
          .filter(line -> line.contains(VIOLATION))
          .toList();
    } catch (IOException e) {
      throw new UncheckedIOException("a gateway's log cannot be read", e);
    }
  }

  /** Sends SIGCONT. */
  void resume(GatewayProcess gateway) {
    signal(gateway, Signal.CONT);
    eventLog.outage(
        gateway.endpoint.gateway(), gateway.downSince, emulatorLoop.now() + CATCH_UP_MS);
    gateway.downSince = Double.NaN;
    emulatorLoop.at(emulatorLoop.now() + CATCH_UP_MS, () -> gateway.endpoint.setInRotation(true));
  }

  void reload(GatewayProcess gateway) {
    signal(gateway, Signal.HUP);
  }

  /** Moves discovery to new addresses, rewrites the configurations and sends SIGHUP. */
  void moveDiscovery() {
    moves++;
    for (GatewayProcess gateway : gateways) {
      try {
        InetSocketAddress next =
            Ports.free(DISCOVERY_NET, moves * gateways.size() + gateway.endpoint.gateway());
        gateway.discovery = Ports.text(next);
        discovery.move(gateway.endpoint.gateway(), next);
        writeConfig(gateway);
        signal(gateway, Signal.HUP);
      } catch (IOException e) {
        emulatorLoop.fail("discovery cannot move to a new address", e);
      }
    }
  }

  private void markDown(GatewayProcess gateway) {
    if (Double.isNaN(gateway.downSince)) {
      gateway.downSince = emulatorLoop.now();
    }
  }

  private void removeFromRotationLater(GatewayProcess gateway) {
    double unit = SeededRandom.unit(world.seed(), gateway.endpoint.gateway(), gateway.outages++);
    double detectionMs = MIN_DETECTION_MS + unit * (MAX_DETECTION_MS - MIN_DETECTION_MS);
    double since = gateway.downSince;
    emulatorLoop.at(
        emulatorLoop.now() + detectionMs,
        () -> {
          if (gateway.downSince == since) {
            gateway.endpoint.setInRotation(false);
          }
        });
  }

  private void signal(GatewayProcess gateway, Signal signal) {
    GatewayHandle handle = gateway.handle;
    operators.execute(() -> handle.signal(signal));
  }

  /** Samples every process and counts unexpected exits as crashes. */
  void sampleProcesses() {
    for (GatewayProcess gateway : gateways) {
      GatewayHandle handle = gateway.handle;
      if (gateway.expectedUp && !handle.isAlive()) {
        gateway.expectedUp = false;
        gateway.crashes++;
        markDown(gateway);
        removeFromRotationLater(gateway);
      }
      operators.execute(() -> gateway.sample = ProcessStats.of(handle.pid()));
    }
  }

  /** Records the outages that last until the end of the rehearsal. */
  void recordOpenOutages() {
    for (GatewayProcess gateway : gateways) {
      if (!Double.isNaN(gateway.downSince)) {
        eventLog.outage(gateway.endpoint.gateway(), gateway.downSince, Double.POSITIVE_INFINITY);
      }
    }
  }

  @Override
  public void close() {
    closing = true;
    operators.shutdown();
    for (GatewayProcess gateway : gateways) {
      if (gateway.handle != null) {
        gateway.handle.close();
      }
    }
  }
}
