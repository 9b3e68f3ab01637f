package hazelspoke.emulator.run;

import hazelspoke.emulator.model.LinkName;
import hazelspoke.emulator.model.LinkState.Impairment;
import hazelspoke.emulator.net.EmulatorLoop;
import hazelspoke.emulator.net.Link;
import hazelspoke.emulator.net.Links;
import hazelspoke.emulator.script.Fault;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/** Injects faults on the links between processes, on the emulator's event loop. */
final class LinkFaults {
  private record ActiveFault(Fault fault, String link) {}

  private final EmulatorLoop emulatorLoop;
  private final Links links;
  private final Map<ActiveFault, Runnable> undoActions = new HashMap<>();

  /**
   * @param links null if the script has no link faults
   */
  LinkFaults(EmulatorLoop emulatorLoop, Links links) {
    this.emulatorLoop = emulatorLoop;
    this.links = links;
  }

  void begin(Fault fault, String name, double until) {
    Link link = links.link(LinkName.parse(name));
    ActiveFault active = new ActiveFault(fault, name);
    switch (fault.kind()) {
      case LINK_RESET -> link.reset();
      case LINK_HALF_OPEN -> undoActions.put(active, link.resetHostEnds());
      case LINK_LOSSY -> repeat(fault, link, until, () -> Impairment.silence(true, true), false);
      case LINK_FLAPPING -> repeat(fault, link, until, Impairment::cut, true);
      case LINK_CUT -> {
        apply(active, link, Impairment.cut());
        link.reset();
      }
      case LINK_SILENT -> apply(active, link, Impairment.silence(true, true));
      case LINK_MUTE -> apply(active, link, Impairment.silence(true, false));
      case LINK_DEAF -> apply(active, link, Impairment.silence(false, true));
      case LINK_SLOW -> apply(active, link, Impairment.delay(fault.factor()));
      default -> throw new IllegalStateException(fault.kind() + " does not apply to links");
    }
  }

  private void apply(ActiveFault active, Link link, Impairment impairment) {
    link.begin(impairment);
    undoActions.put(active, () -> link.end(impairment));
  }

  /** Applies and removes the impairment periodically until the fault undoActions. */
  private void repeat(
      Fault fault, Link link, double until, Supplier<Impairment> what, boolean resets) {
    if (emulatorLoop.now() >= until) {
      return;
    }
    Impairment impairment = what.get();
    link.begin(impairment);
    if (resets) {
      link.reset();
    }
    emulatorLoop.at(
        Math.min(until, emulatorLoop.now() + fault.factor()), () -> link.end(impairment));
    emulatorLoop.at(
        emulatorLoop.now() + fault.every(), () -> repeat(fault, link, until, what, resets));
  }

  void end(Fault fault, String name) {
    Runnable end = undoActions.remove(new ActiveFault(fault, name));
    if (end != null) {
      end.run();
    }
  }
}
