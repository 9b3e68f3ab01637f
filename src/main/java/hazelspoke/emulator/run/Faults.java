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

/** Injects the script's faults at their scheduled times, on the emulator's event loop. */
final class Faults {
  private final EmulatorLoop emulatorLoop;
  private final World world;
  private final Fleet fleet;
  private final Gateways gateways;
  private final LinkFaults links;
  private final Discovery discovery;
  private final Registry registry;
  private final Consumer<String> progress;

  Faults(
      EmulatorLoop emulatorLoop,
      World world,
      Fleet fleet,
      Gateways gateways,
      Links links,
      Discovery discovery,
      Registry registry,
      Consumer<String> progress) {
    this.emulatorLoop = emulatorLoop;
    this.world = world;
    this.fleet = fleet;
    this.gateways = gateways;
    this.links = new LinkFaults(emulatorLoop, links);
    this.discovery = discovery;
    this.registry = registry;
    this.progress = progress;
  }

  /** Schedules all faults for a load that starts at {@code base}. */
  void schedule(double base) {
    List<Fault> faults = world.script().faults();
    for (int i = 0; i < faults.size(); i++) {
      Fault fault = faults.get(i);
      List<String> affected = world.affected().get(i);
      emulatorLoop.at(
          base + fault.atMs(),
          () -> {
            progress.accept(describe(fault, affected));
            begin(fault, affected, base);
          });
      if (fault.kind().hasDuration()) {
        emulatorLoop.at(base + fault.endMs(), () -> end(fault, affected));
      }
    }
  }

  /** Returns a short description of a fault. */
  static String describe(Fault fault, List<String> affected) {
    String what = fault.kind().name().toLowerCase(Locale.ROOT).replace('_', ' ');
    String subjects =
        affected.size() > 4
            ? affected.size() + " of them"
            : affected.isEmpty() ? fault.requestClass() : String.join(", ", affected);
    String length =
        fault.forMs() > 0 ? String.format(Locale.ROOT, " for %.1f s", fault.forMs() / 1_000) : "";
    return (what + " " + subjects).trim() + length;
  }

  private void begin(Fault fault, List<String> affected, double base) {
    switch (fault.kind().subject()) {
      case HOSTS -> affected.forEach(name -> begin(fault, fleet.host(name), base));
      case GATEWAYS -> affected.forEach(name -> begin(fault, gateways.gateway(name)));
      case LINKS -> affected.forEach(name -> links.begin(fault, name, base + fault.endMs()));
      case SITE -> {
        for (String name : affected) {
          if (name.startsWith("g") && fault.silent()) {
            gateways.vanish(gateways.gateway(name));
          } else if (name.startsWith("g")) {
            gateways.kill(gateways.gateway(name));
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
        // The generated load already contains the fault.
      }
    }
  }

  private void begin(Fault fault, StockHost host, double base) {
    double now = emulatorLoop.now();
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
        fleet.restart(host);
      }
      case DRAIN, RELEASE, SHRINK -> fleet.drain(host);
      case REPLACE -> fleet.replace(host);
      default -> throw new IllegalStateException(fault.kind() + " does not apply to hosts");
    }
  }

  private void pause(Fault fault, StockHost host, double until) {
    if (emulatorLoop.now() >= until) {
      return;
    }
    host.hang();
    emulatorLoop.at(emulatorLoop.now() + fault.factor(), host::resume);
    emulatorLoop.at(emulatorLoop.now() + fault.every(), () -> pause(fault, host, until));
  }

  private void begin(Fault fault, Gateways.GatewayProcess gateway) {
    switch (fault.kind()) {
      case GATEWAY_TERM -> gateways.term(gateway);
      case GATEWAY_KILL, DISK_TORN, DISK_FLIPPED, DISK_LOST -> gateways.kill(gateway);
      case DISK_FULL -> gateways.fillDisk(gateway);
      case GATEWAY_STOP -> gateways.stop(gateway);
      case GATEWAY_PAUSE -> gateways.pause(gateway, fault.forMs());
      default -> gateways.reload(gateway);
    }
  }

  private void end(Fault fault, List<String> affected) {
    switch (fault.kind().subject()) {
      case HOSTS -> affected.forEach(name -> end(fault, fleet.host(name)));
      case GATEWAYS -> {
        for (String name : affected) {
          Gateways.GatewayProcess gateway = gateways.gateway(name);
          if (fault.kind() == Fault.Kind.GATEWAY_STOP) {
            gateways.resume(gateway);
          } else if (fault.kind() != Fault.Kind.GATEWAY_PAUSE) {
            if (fault.kind() == Fault.Kind.DISK_FULL) {
              gateways.kill(gateway);
            }
            gateways.restart(gateway, fault.kind());
          }
        }
      }
      case LINKS -> affected.forEach(name -> links.end(fault, name));
      case SITE -> {
        for (String name : affected) {
          if (name.startsWith("g")) {
            gateways.restart(gateways.gateway(name));
          } else {
            fleet.restart(fleet.host(name));
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
        // The generated load already contains the fault.
      }
    }
  }

  private void end(Fault fault, StockHost host) {
    switch (fault.kind()) {
      case CRASH -> fleet.restart(host);
      case HANG -> host.resume();
      case FREEZE -> host.thaw();
      case SLOW -> host.setSlowdown(1);
      case ERRORS -> host.setErrorRate(at -> 0);
      case RESET -> host.setResetRate(0);
      case REFUSE -> host.setRefusing(false);
      case DRAIN, SHRINK -> fleet.finishDrain(host);
      case RELEASE -> fleet.replace(host);
      default -> {
        // Nothing to undo.
      }
    }
  }
}
