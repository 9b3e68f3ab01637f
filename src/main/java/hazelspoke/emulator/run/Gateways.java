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
 * The gateways of a rehearsal: started, sent signals and looked at by threads of their own, as none
 * of that may hold up the stage's loop. Everything but that happens on the loop.
 */
final class Gateways implements AutoCloseable {
  /** What the lines of a gateway's log begin with that tell of a violation. */
  private static final String VIOLATION = "violation: ";

  private static final double MICROS_PER_MS = 1_000;

  private static final int GATEWAY_NET = 79;
  private static final int DISCOVERY_NET = 78;
  private static final int RECORD_NET = 77;

  /** The front layer learns of a death after a time from one to the other. */
  private static final double NOTICE_LEAST_MS = 1_200;

  private static final double NOTICE_MOST_MS = 3_600;

  /** New connections go on coming for this long after SIGTERM. */
  private static final double LEAVE_MS = 300;

  /** What a gateway that had been stopped has still to catch up with. */
  private static final double CATCH_UP_MS = 500;

  private static final int PROBE_TIMEOUT_MS = 500;
  private static final long PROBE_EVERY_MS = 50;
  private static final long START_PATIENCE_MS = 30_000;
  private static final int OPERATOR_PATIENCE_MS = 2_000;
  private static final int VOTER_PATIENCE_MS = 10_000;

  private final EmulatorLoop stage;
  private final World world;
  private final EventLog ledger;
  private final Registry registry;
  private final Discovery discovery;
  private final Links links;
  private final GatewayLauncher launcher;
  private final Path folder;
  private final List<Gate> gates = new ArrayList<>();
  private final ExecutorService operators =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "operator");
            thread.setDaemon(true);
            return thread;
          });
  private final AtomicInteger replaced = new AtomicInteger();
  private int moves;
  private volatile boolean closing;

  /** One gateway, and what is known of its process. */
  static final class Gate {
    final GatewayEndpoint seat;
    final Path config;
    final Map<String, String> environment = new HashMap<>();
    final Path log;
    String discovery;
    volatile GatewayHandle handle;
    volatile Samples.Sample sample;
    double outSince = Double.NaN;
    boolean wanted = true;
    int crashes;
    int outages;
    int starts;

    /** Where it listens for the other gateways; null where they share no record. */
    InetSocketAddress record;

    Gate(GatewayEndpoint seat, Path folder) {
      this.seat = seat;
      String name = "g" + (seat.gateway() + 1);
      config = folder.resolve(name + ".json");
      log = folder.resolve(name + ".log");
    }
  }

  Gateways(
      EmulatorLoop stage,
      World world,
      EventLog ledger,
      Registry registry,
      Discovery discovery,
      Links links,
      GatewayLauncher launcher,
      Path folder)
      throws IOException {
    this.stage = stage;
    this.world = world;
    this.ledger = ledger;
    this.registry = registry;
    this.discovery = discovery;
    this.links = links;
    this.launcher = launcher;
    this.folder = folder;
    for (int i = 0; i < world.gatewaySites().size(); i++) {
      InetSocketAddress listen = Ports.free(GATEWAY_NET, i);
      InetSocketAddress list = Ports.free(DISCOVERY_NET, i);
      Gate gate = new Gate(new GatewayEndpoint(i, world.gatewaySites().get(i), listen), folder);
      gate.discovery = Ports.text(list);
      discovery.open(i, list);
      gates.add(gate);
    }
  }

  /** Where the gateways share a record: each is told of the others at its own ways to them. */
  void shareRecord() throws IOException {
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (Gate gate : gates) {
      gate.record = Ports.free(RECORD_NET, gate.seat.gateway());
      addresses.add(gate.record);
    }
    links.connectGateways(addresses);
    for (Gate gate : gates) {
      int g = gate.seat.gateway();
      Path file = folder.resolve("g" + (g + 1) + ".toml");
      Files.writeString(file, RecordFile.write(g, addresses, links, world.script(), folder));
      gate.environment.put("PUMICETRAY_CONFIG", file.toString());
    }
  }

  List<Gate> all() {
    return gates;
  }

  Gate gate(String name) {
    return gates.get(Integer.parseInt(name.substring(1)) - 1);
  }

  /** Starts all of them at once and returns when every one is ready. */
  void start() throws IOException, InterruptedException {
    for (Gate gate : gates) {
      stage.loop().submit(() -> writeConfig(gate)).syncUninterruptibly();
      launch(gate);
    }
    for (Gate gate : gates) {
      if (!awaitReady(gate)) {
        throw new IOException(
            "g"
                + (gate.seat.gateway() + 1)
                + " was not ready within 30 s; its log: "
                + tail(gate.log));
      }
      stage.loop().execute(() -> gate.seat.setInRotation(true));
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

  private void writeConfig(Gate gate) {
    int i = gate.seat.gateway();
    String text =
        ConfigFile.write(
            world,
            i,
            Ports.text(gate.seat.address()),
            gate.discovery,
            SeededRandom.mix(world.seed() + 1_000L * i + gate.starts),
            registry.index(),
            links == null ? registry.all() : links.entriesFor(i, registry.all()));
    try {
      Path fresh = Files.createTempFile(folder, "config", ".json");
      Files.writeString(fresh, text);
      Files.move(fresh, gate.config, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException e) {
      stage.fail("a configuration cannot be written", e);
    }
  }

  private void launch(Gate gate) throws IOException {
    String name = "g" + (gate.seat.gateway() + 1);
    gate.starts++;
    Path temporary = Files.createTempDirectory(folder, name + "-tmp");
    gate.environment.put("NODE_CONFIG", gate.config.toString());
    gate.environment.put("NODE_NAME", name);
    gate.environment.put("NODE_LISTEN", Ports.text(gate.seat.address()));
    gate.environment.put("NODE_DISCOVERY", gate.discovery);
    gate.environment.put("TMPDIR", temporary.toString());
    gate.handle = launcher.launch(name, gate.environment, gate.log);
  }

  private boolean awaitReady(Gate gate) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_PATIENCE_MS);
    while (System.nanoTime() < end && !closing && gate.handle.isAlive()) {
      if (isReady(gate.seat.address())) {
        return true;
      }
      Thread.sleep(PROBE_EVERY_MS);
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

  /** SIGKILL; what it held is its clients' to retry. */
  void kill(Gate gate) {
    gate.wanted = false;
    out(gate);
    signal(gate, Signal.KILL);
    undealLater(gate);
  }

  /** Its machine is cut off: it says nothing more, and is ended for good when it starts again. */
  void vanish(Gate gate) {
    if (gate.handle.pid() < 0) {
      // Without a process of its own there is nothing that could stand still.
      kill(gate);
    } else {
      gate.wanted = false;
      stop(gate);
    }
  }

  /** SIGTERM, as at a planned restart. */
  void term(Gate gate) {
    gate.wanted = false;
    signal(gate, Signal.TERM);
    stage.at(stage.now() + LEAVE_MS, () -> gate.seat.setInRotation(false));
  }

  /** Nothing more can be written at it, to whatever file. */
  void fillDisk(Gate gate) {
    GatewayHandle handle = gate.handle;
    operators.execute(() -> handle.diskFull(true));
  }

  /** Starts one again that was ended; what still runs of it is killed first. */
  void startAgain(Gate gate) {
    startAgain(gate, null);
  }

  /**
   * The same.
   *
   * @param strike what has happened to its disk meanwhile; null for nothing
   */
  void startAgain(Gate gate, Fault.Kind strike) {
    out(gate);
    writeConfig(gate);
    SplittableRandom random =
        SeededRandom.stream(world.seed(), "disk" + gate.seat.gateway() + "/" + gate.starts);
    operators.execute(
        () -> {
          try {
            gate.handle.close();
            if (strike != null) {
              new RecordDisk(dataOf(gate)).strike(strike, random);
            }
            launch(gate);
            if (strike != null && strike.losesVote()) {
              operators.execute(() -> replace(gate));
            }
            if (awaitReady(gate)) {
              stage.loop().execute(() -> back(gate));
            } else if (!closing) {
              stage.fail(
                  "a gateway did not come back; its log: " + tail(gate.log), new IOException());
            }
          } catch (IOException e) {
            stage.fail("a gateway cannot be started again", e);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  private Path dataOf(Gate gate) {
    return folder.resolve("g" + (gate.seat.gateway() + 1) + "-data");
  }

  /** As an operator would: says that the process before is over, and gives the new disk a vote. */
  private void replace(Gate gate) {
    String name = "g" + (gate.seat.gateway() + 1);
    boolean votes = gate.seat.gateway() < world.script().fleet().voters();
    boolean over = false;
    for (int i = 0; !closing; i++) {
      InetSocketAddress at = gates.get(i % gates.size()).record;
      try (OperatorClient client = new OperatorClient(at, RecordFile.FLEET)) {
        Command.Vouch gone = new Command.Vouch(name);
        Command.Numbered vouch = new Command.Numbered("operator/" + name + "/" + i, 1, gone);
        // Not of the one that has come since: once is enough.
        over = over || client.command(vouch, OPERATOR_PATIENCE_MS).succeeded();
        if (over && (!votes || client.voter(true, name, VOTER_PATIENCE_MS).succeeded())) {
          replaced.incrementAndGet();
          return;
        }
      } catch (IOException e) {
        // Cut off, or without a leader: another one is asked.
      }
      try {
        Thread.sleep(PROBE_EVERY_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /** How many disks were put in the place of lost ones, and vote where those did. */
  int replaced() {
    return replaced.get();
  }

  private void back(Gate gate) {
    gate.wanted = true;
    ledger.outage(gate.seat.gateway(), gate.outSince, stage.now());
    gate.outSince = Double.NaN;
    discovery.gatewayRestarted(gate.seat.gateway());
    gate.seat.setInRotation(true);
  }

  /** SIGSTOP. */
  void stop(Gate gate) {
    out(gate);
    signal(gate, Signal.STOP);
    undealLater(gate);
  }

  /**
   * SIGSTOP and, once the time is up, SIGCONT. Nothing that is lost meanwhile is excused, and the
   * front does not notice.
   */
  void pause(Gate gate, double forMs) {
    GatewayHandle handle = gate.handle;
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

  /** What its process has said must never happen, a line each; none where it keeps no log. */
  List<String> violations(Gate gate) {
    if (!Files.exists(gate.log)) {
      return List.of();
    }
    try {
      return Files.readAllLines(gate.log).stream()
          .filter(line -> line.contains(VIOLATION))
          .toList();
    } catch (IOException e) {
      throw new UncheckedIOException("a gateway's log cannot be judged", e);
    }
  }

  /** SIGCONT. */
  void goOn(Gate gate) {
    signal(gate, Signal.CONT);
    ledger.outage(gate.seat.gateway(), gate.outSince, stage.now() + CATCH_UP_MS);
    gate.outSince = Double.NaN;
    stage.at(stage.now() + CATCH_UP_MS, () -> gate.seat.setInRotation(true));
  }

  void hangUp(Gate gate) {
    signal(gate, Signal.HUP);
  }

  /** Discovery is elsewhere from now on: configurations are replaced, and SIGHUP says so. */
  void moveDiscovery() {
    moves++;
    for (Gate gate : gates) {
      try {
        InetSocketAddress next =
            Ports.free(DISCOVERY_NET, moves * gates.size() + gate.seat.gateway());
        gate.discovery = Ports.text(next);
        discovery.move(gate.seat.gateway(), next);
        writeConfig(gate);
        signal(gate, Signal.HUP);
      } catch (IOException e) {
        stage.fail("discovery cannot move", e);
      }
    }
  }

  private void out(Gate gate) {
    if (Double.isNaN(gate.outSince)) {
      gate.outSince = stage.now();
    }
  }

  private void undealLater(Gate gate) {
    double unit = SeededRandom.unit(world.seed(), gate.seat.gateway(), gate.outages++);
    double notice = NOTICE_LEAST_MS + unit * (NOTICE_MOST_MS - NOTICE_LEAST_MS);
    double since = gate.outSince;
    stage.at(
        stage.now() + notice,
        () -> {
          if (gate.outSince == since) {
            gate.seat.setInRotation(false);
          }
        });
  }

  private void signal(Gate gate, Signal signal) {
    GatewayHandle handle = gate.handle;
    operators.execute(() -> handle.signal(signal));
  }

  /** Looks at every process, and notes those that have ended by themselves. */
  void look() {
    for (Gate gate : gates) {
      GatewayHandle handle = gate.handle;
      if (gate.wanted && !handle.isAlive()) {
        gate.wanted = false;
        gate.crashes++;
        out(gate);
        undealLater(gate);
      }
      operators.execute(() -> gate.sample = Samples.of(handle.pid()));
    }
  }

  /** Notes the outages that last to the end. */
  void settle() {
    for (Gate gate : gates) {
      if (!Double.isNaN(gate.outSince)) {
        ledger.outage(gate.seat.gateway(), gate.outSince, Double.POSITIVE_INFINITY);
      }
    }
  }

  @Override
  public void close() {
    closing = true;
    operators.shutdown();
    for (Gate gate : gates) {
      if (gate.handle != null) {
        gate.handle.close();
      }
    }
  }
}
