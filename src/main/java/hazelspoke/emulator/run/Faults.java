package hazelspoke.emulator.run;

import hazelspoke.emulator.model.Registry;
import hazelspoke.emulator.model.World;
import hazelspoke.emulator.net.Discovery;
import hazelspoke.emulator.net.EmulatorLoop;
import hazelspoke.emulator.net.Links;
import hazelspoke.emulator.net.StockHost;
import hazelspoke.emulator.script.Fault;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/** Makes happen what the script says, at its moments, on the stage's loop. */
final class Faults {
  private final EmulatorLoop stage;
  private final World world;
  private final Fleet fleet;
  private final Gateways gateways;
  private final LinkFaults links;
  private final Discovery discovery;
  private final Registry registry;
  private final Consumer<String> progress;

  Faults(
      EmulatorLoop stage,
      World world,
      Fleet fleet,
      Gateways gateways,
      Links links,
      Discovery discovery,
      Registry registry,
      Consumer<String> progress) {
    this.stage = stage;
    this.world = world;
    this.fleet = fleet;
    this.gateways = gateways;
    this.links = new LinkFaults(stage, links);
    this.discovery = discovery;
    this.registry = registry;
    this.progress = progress;
  }

  /** Plans all of them for a load that starts at {@code base}. */
  void plan(double base) {
    List<Fault> faults = world.script().faults();
    for (int i = 0; i < faults.size(); i++) {
      Fault fault = faults.get(i);
      List<String> struck = world.affected().get(i);
      stage.at(
          base + fault.atMs(),
          () -> {
            progress.accept(describe(fault, struck));
            begin(fault, struck, base);
          });
      if (fault.kind().hasDuration()) {
        stage.at(base + fault.endMs(), () -> end(fault, struck));
      }
    }
  }

  /** A fault in a few words. */
  static String describe(Fault fault, List<String> struck) {
    String what = fault.kind().name().toLowerCase(Locale.ROOT).replace('_', ' ');
    String whom =
        struck.size() > 4
            ? struck.size() + " of them"
            : struck.isEmpty() ? fault.requestClass() : String.join(", ", struck);
    String length =
        fault.forMs() > 0 ? String.format(Locale.ROOT, " for %.1f s", fault.forMs() / 1_000) : "";
    return (what + " " + whom).trim() + length;
  }

  private void begin(Fault fault, List<String> struck, double base) {
    switch (fault.kind().subject()) {
      case HOSTS -> struck.forEach(name -> begin(fault, fleet.host(name), base));
      case GATEWAYS -> struck.forEach(name -> begin(fault, gateways.gate(name)));
      case LINKS -> struck.forEach(name -> links.begin(fault, name, base + fault.endMs()));
      case SITE -> {
        for (String name : struck) {
          if (name.startsWith("g") && fault.silent()) {
            gateways.vanish(gateways.gate(name));
          } else if (name.startsWith("g")) {
            gateways.kill(gateways.gate(name));
          } else if (fault.silent()) {
            fleet.vanish(fleet.host(name));
          } else {
            fleet.crash(fleet.host(name));
          }
        }
      }
      case DISCOVERY -> {
        switch (fault.kind()) {
          case DISCOVERY_LATE -> registry.setAnnouncementDelay(1_000 * fault.factor());
          case DISCOVERY_DOWN -> discovery.setUnavailable(true);
          default -> gateways.moveDiscovery();
        }
      }
      default -> {
        // The load was drawn with it.
      }
    }
  }

  private void begin(Fault fault, StockHost host, double base) {
    double now = stage.now();
    switch (fault.kind()) {
      case CRASH -> fleet.crash(host);
      case HANG -> host.hang();
      case FREEZE -> host.freeze();
      case PAUSES -> pause(fault, host, base + fault.endMs());
      case SLOW -> host.setSlowdown(fault.factor());
      case ERRORS ->
          host.setErrorRate(
              at ->
                  fault.from()
                      + (fault.to() - fault.from()) * Math.min(1, (at - now) / fault.forMs()));
      case RESET -> host.setResetRate(fault.to());
      case REFUSE -> host.setRefusing(true);
      case RESTART -> {
        fleet.crash(host);
        fleet.startAgain(host);
      }
      case DRAIN, RELEASE, SHRINK -> fleet.drain(host);
      case REPLACE -> fleet.replace(host);
      default -> throw new IllegalStateException(fault.kind() + " strikes no host");
    }
  }

  private void pause(Fault fault, StockHost host, double until) {
    if (stage.now() >= until) {
      return;
    }
    host.hang();
    stage.at(stage.now() + fault.factor(), host::resume);
    stage.at(stage.now() + fault.every(), () -> pause(fault, host, until));
  }

  private void begin(Fault fault, Gateways.Gate gate) {
    switch (fault.kind()) {
      case GATEWAY_TERM -> gateways.term(gate);
      case GATEWAY_KILL, DISK_TORN, DISK_FLIPPED, DISK_LOST -> gateways.kill(gate);
      case DISK_FULL -> gateways.fillDisk(gate);
      case GATEWAY_STOP -> gateways.stop(gate);
      case GATEWAY_PAUSE -> gateways.pause(gate, fault.forMs());
      default -> gateways.hangUp(gate);
    }
  }

  private void end(Fault fault, List<String> struck) {
    switch (fault.kind().subject()) {
      case HOSTS -> struck.forEach(name -> end(fault, fleet.host(name)));
      case GATEWAYS -> {
        for (String name : struck) {
          Gateways.Gate gate = gateways.gate(name);
          if (fault.kind() == Fault.Kind.GATEWAY_STOP) {
            gateways.goOn(gate);
          } else if (fault.kind() != Fault.Kind.GATEWAY_PAUSE) {
            if (fault.kind() == Fault.Kind.DISK_FULL) {
              gateways.kill(gate);
            }
            gateways.startAgain(gate, fault.kind());
          }
        }
      }
      case LINKS -> struck.forEach(name -> links.end(fault, name));
      case SITE -> {
        for (String name : struck) {
          if (name.startsWith("g")) {
            gateways.startAgain(gateways.gate(name));
          } else {
            fleet.startAgain(fleet.host(name));
          }
        }
      }
      case DISCOVERY -> {
        if (fault.kind() == Fault.Kind.DISCOVERY_LATE) {
          registry.setAnnouncementDelay(0);
        } else {
          discovery.setUnavailable(false);
        }
      }
      default -> {
        // Drawn with the load.
      }
    }
  }

  private void end(Fault fault, StockHost host) {
    switch (fault.kind()) {
      case CRASH -> fleet.startAgain(host);
      case HANG -> host.resume();
      case FREEZE -> host.thaw();
      case SLOW -> host.setSlowdown(1);
      case ERRORS -> host.setErrorRate(at -> 0);
      case RESET -> host.setResetRate(0);
      case REFUSE -> host.setRefusing(false);
      case DRAIN, SHRINK -> fleet.leave(host);
      case RELEASE -> fleet.replace(host);
      default -> {
        // Ends by itself.
      }
    }
  }
}
