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

/** The hosts of a rehearsal, and what discovery hears of them. On the stage's loop. */
final class Fleet {
  private static final int NET = 77;

  /** How much the work of one request differs from attempt to attempt. */
  private static final double ATTEMPT_NOISE = 0.3;

  /** How long a gateway that was told of a drain may go on sending. */
  private static final double DRAIN_GRACE_MS = 1_000;

  private final EmulatorLoop stage;
  private final Script script;
  private final Registry registry;
  private final Map<String, StockHost> hosts = new LinkedHashMap<>();
  private final Map<StockHost, Entry> listed = new LinkedHashMap<>();
  private int replaced;

  Fleet(
      EmulatorLoop stage,
      World world,
      EventLog ledger,
      Registry registry,
      Links links,
      ApartHosts apart)
      throws IOException {
    this.stage = stage;
    this.script = world.script();
    this.registry = registry;
    Host.Rules rules = rules(world, ConfigFile.FALL_MULTIPLE);
    List<IdempotencyWindow> repeats = new ArrayList<>();
    for (int i = 0; i < script.fleet().sites().size(); i++) {
      repeats.add(new IdempotencyWindow(window(script)));
    }
    int number = 0;
    for (ServerSpec spec : world.servers()) {
      var address = Ports.free(NET, number++);
      StockHost host =
          script.fleet().separateProcessHosts().contains(spec.name())
              ? apart.host(stage, spec, address, ledger)
              : joined(
                  links,
                  new Host(
                      stage,
                      spec,
                      address,
                      rules,
                      repeats.get(spec.site()),
                      new LedgerSink(ledger)));
      hosts.put(spec.name(), host);
    }
  }

  private static Host joined(Links links, Host host) throws IOException {
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

  static double window(Script script) {
    return script.classes().stream()
        .filter(c -> c.effect() == Script.Effect.BY_KEY)
        .mapToDouble(Script.RequestClass::windowMs)
        .max()
        .orElse(0);
  }

  /** All hosts are up, warm and listed. */
  void start() {
    for (StockHost host : hosts.values()) {
      host.start(false);
      Entry entry = entry(host, Status.READY, 0);
      listed.put(host, entry);
      registry.put(entry);
    }
  }

  StockHost host(String name) {
    return hosts.get(name);
  }

  /** The hosts as they were drawn; one that was replaced stands in its predecessor's place. */
  List<StockHost> all() {
    return List.copyOf(hosts.values());
  }

  /** The process dies, which discovery sees in a while. */
  void crash(StockHost host) {
    if (host.isUp()) {
      host.crash();
      gone(host, script.discovery().noticeMs());
    }
  }

  /** The machine vanishes, which discovery takes longer to see. */
  void vanish(StockHost host) {
    if (host.isUp()) {
      host.vanish();
      gone(host, script.discovery().silentNoticeMs());
    }
  }

  /** It starts again, cold. */
  void startAgain(StockHost host) {
    if (!host.isUp() && !host.hasFailedFromOverload()) {
      host.start(true);
      announce(
          host, entry(host, Status.READY, stage.unixMs(stage.now())), script.discovery().addMs());
    }
  }

  /**
   * It is to go: listed as terminating, finishes what it has, and turns away what is new once every
   * gateway must have heard of it. One that did so before would refuse those who cannot know.
   */
  void drain(StockHost host) {
    if (host.isUp()) {
      double noticeMs = script.discovery().noticeMs();
      Entry leaving = entry(host, Status.TERMINATING, listed.get(host).sinceMs());
      announce(host, leaving, noticeMs);
      stage.at(
          stage.now() + noticeMs + DRAIN_GRACE_MS,
          () -> {
            if (listed.get(host) == leaving) {
              host.drain();
            }
          });
    }
  }

  /** Its drain is over. */
  void leave(StockHost host) {
    if (host.isUp()) {
      host.crash();
      gone(host, script.discovery().noticeMs());
    }
  }

  /** Another host, under a new name, stands at its address from now on. */
  void replace(StockHost host) {
    if (host.isUp()) {
      host.crash();
      gone(host, script.discovery().noticeMs());
      host.rename(host.spec().name() + "-r" + ++replaced);
      startAgain(host);
    }
  }

  private void gone(StockHost host, double afterMs) {
    announce(host, entry(host, Status.GONE, listed.get(host).sinceMs()), afterMs);
  }

  private void announce(StockHost host, Entry entry, double afterMs) {
    listed.put(host, entry);
    registry.announce(entry, stage.now(), afterMs);
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
