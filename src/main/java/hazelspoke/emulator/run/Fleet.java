package hazelspoke.emulator.run;

import hazelspoke.emulator.judge.EventLog;
import hazelspoke.emulator.model.IdempotencyWindow;
import hazelspoke.emulator.model.Registry;
import hazelspoke.emulator.model.Registry.Entry;
import hazelspoke.emulator.model.Registry.Status;
import hazelspoke.emulator.model.ServerSpec;
import hazelspoke.emulator.model.World;
import hazelspoke.emulator.net.EmulatorLoop;
import hazelspoke.emulator.net.Host;
import hazelspoke.emulator.net.LedgerSink;
import hazelspoke.emulator.net.Links;
import hazelspoke.emulator.net.Ports;
import hazelspoke.emulator.net.StockHost;
import hazelspoke.emulator.script.Script;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The hosts of a rehearsal and their discovery entries. Confined to the emulator's event loop. */
final class Fleet {
  private static final int HOST_NET = 77;

  /** Relative variation of a request's work between attempts. */
  private static final double ATTEMPT_NOISE = 0.3;

  /** Time for which a gateway may keep sending after it was notified of a drain. */
  private static final double DRAIN_GRACE_MS = 1_000;

  private final EmulatorLoop emulatorLoop;
  private final Script script;
  private final Registry registry;
  private final Map<String, StockHost> hosts = new LinkedHashMap<>();
  private final Map<StockHost, Entry> entries = new LinkedHashMap<>();
  private int replacements;

  Fleet(
      EmulatorLoop emulatorLoop,
      World world,
      EventLog eventLog,
      Registry registry,
      Links links,
      HostProcesses hostProcesses)
      throws IOException {
    this.emulatorLoop = emulatorLoop;
    this.script = world.script();
    this.registry = registry;
    Host.Rules rules = rules(world, ConfigFile.FALL_MULTIPLE);
    List<IdempotencyWindow> idempotencyWindows = new ArrayList<>();
    for (int i = 0; i < script.fleet().sites().size(); i++) {
      idempotencyWindows.add(new IdempotencyWindow(idempotencyWindowMs(script)));
    }
    int number = 0;
    for (ServerSpec spec : world.servers()) {
      var address = Ports.free(HOST_NET, number++);
      StockHost host =
          script.fleet().separateProcessHosts().contains(spec.name())
              ? hostProcesses.host(emulatorLoop, spec, address, eventLog)
              : connected(
                  links,
                  new Host(
                      emulatorLoop,
                      spec,
                      address,
                      rules,
                      idempotencyWindows.get(spec.site()),
                      new LedgerSink(eventLog)));
      hosts.put(spec.name(), host);
    }
  }

  private static Host connected(Links links, Host host) throws IOException {
    if (links != null) {
      links.connectHost(host);
    }
    return host;
  }

  static Host.Rules rules(World world, double fallMultiple) {
    Script.Fleet fleet = world.script().fleet();
    return new Host.Rules(
        fleet.dropsCancelled(),
        fleet.dropsExpired(),
        fallMultiple,
        ConfigFile.FALL_MS,
        ATTEMPT_NOISE,
        world.seed());
  }

  static double idempotencyWindowMs(Script script) {
    return script.classes().stream()
        .filter(c -> c.effect() == Script.Effect.BY_KEY)
        .mapToDouble(Script.RequestClass::windowMs)
        .max()
        .orElse(0);
  }

  /** Starts all hosts warm and lists them in discovery. */
  void start() {
    for (StockHost host : hosts.values()) {
      host.start(false);
      Entry entry = entry(host, Status.READY, 0);
      entries.put(host, entry);
      registry.put(entry);
    }
  }

  StockHost host(String name) {
    return hosts.get(name);
  }

  /** Returns the hosts in their generated order; a replacement takes its predecessor's position. */
  List<StockHost> all() {
    return List.copyOf(hosts.values());
  }

  /** Kills the process; discovery removes the host after its detection delay. */
  void crash(StockHost host) {
    if (host.isUp()) {
      host.crash();
      announceRemoval(host, script.discovery().noticeMs());
    }
  }

  /** Makes the machine unresponsive, which discovery takes longer to detect. */
  void vanish(StockHost host) {
    if (host.isUp()) {
      host.vanish();
      announceRemoval(host, script.discovery().silentNoticeMs());
    }
  }

  /** Restarts the host cold. */
  void restart(StockHost host) {
    if (!host.isUp() && !host.hasFailedFromOverload()) {
      host.start(true);
      announce(
          host,
          entry(host, Status.READY, emulatorLoop.unixMs(emulatorLoop.now())),
          script.discovery().addMs());
    }
  }

  /**
   * Lists the host as terminating. It finishes its open requests and rejects new ones once every
   * gateway must have been notified: rejecting earlier would hit gateways that cannot know yet.
   */
  void drain(StockHost host) {
    if (host.isUp()) {
      double noticeMs = script.discovery().noticeMs();
      Entry draining = entry(host, Status.TERMINATING, entries.get(host).sinceMs());
      announce(host, draining, noticeMs);
      emulatorLoop.at(
          emulatorLoop.now() + noticeMs + DRAIN_GRACE_MS,
          () -> {
            if (entries.get(host) == draining) {
              host.drain();
            }
          });
    }
  }

  /** Ends the drain: stops the host and removes it from discovery. */
  void finishDrain(StockHost host) {
    if (host.isUp()) {
      host.crash();
      announceRemoval(host, script.discovery().noticeMs());
    }
  }

  /** Replaces the host by one with a new name at the same address. */
  void replace(StockHost host) {
    if (host.isUp()) {
      host.crash();
      announceRemoval(host, script.discovery().noticeMs());
      host.rename(host.spec().name() + "-r" + ++replacements);
      restart(host);
    }
  }

  private void announceRemoval(StockHost host, double afterMs) {
    announce(host, entry(host, Status.GONE, entries.get(host).sinceMs()), afterMs);
  }

  private void announce(StockHost host, Entry entry, double afterMs) {
    entries.put(host, entry);
    registry.announce(entry, emulatorLoop.now(), afterMs);
  }

  private Entry entry(StockHost host, Status status, long sinceMs) {
    ServerSpec spec = host.spec();
    return new Entry(
        host.name(),
        Ports.text(host.address()),
        script.fleet().sites().get(spec.site()),
        spec.kind(),
        spec.group(),
        status,
        sinceMs,
        0);
  }

  void close() {
    hosts.values().forEach(StockHost::close);
  }
}
