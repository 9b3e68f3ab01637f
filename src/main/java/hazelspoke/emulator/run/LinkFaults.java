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

/** Faults on the ways between processes, on the stage's loop. */
final class LinkFaults {
  private record On(Fault fault, String link) {}

  private final EmulatorLoop stage;
  private final Links links;
  private final Map<On, Runnable> ends = new HashMap<>();

  /**
   * @param links null where no script of this rehearsal strikes one
   */
  LinkFaults(EmulatorLoop stage, Links links) {
    this.stage = stage;
    this.links = links;
  }

  void begin(Fault fault, String name, double until) {
    Link link = links.link(LinkName.parse(name));
    On on = new On(fault, name);
    switch (fault.kind()) {
      case LINK_RESET -> link.reset();
      case LINK_HALF_OPEN -> ends.put(on, link.resetHostEnds());
      case LINK_LOSSY -> again(fault, link, until, () -> Impairment.silence(true, true), false);
      case LINK_FLAPPING -> again(fault, link, until, Impairment::cut, true);
      case LINK_CUT -> {
        hold(on, link, Impairment.cut());
        link.reset();
      }
      case LINK_SILENT -> hold(on, link, Impairment.silence(true, true));
      case LINK_MUTE -> hold(on, link, Impairment.silence(true, false));
      case LINK_DEAF -> hold(on, link, Impairment.silence(false, true));
      case LINK_SLOW -> hold(on, link, Impairment.delay(fault.factor()));
      default -> throw new IllegalStateException(fault.kind() + " strikes no link");
    }
  }

  private void hold(On on, Link link, Impairment trouble) {
    link.begin(trouble);
    ends.put(on, () -> link.end(trouble));
  }

  /** Comes and goes by itself until the fault is over. */
  private void again(
      Fault fault, Link link, double until, Supplier<Impairment> what, boolean resets) {
    if (stage.now() >= until) {
      return;
    }
    Impairment trouble = what.get();
    link.begin(trouble);
    if (resets) {
      link.reset();
    }
    stage.at(Math.min(until, stage.now() + fault.factor()), () -> link.end(trouble));
    stage.at(stage.now() + fault.every(), () -> again(fault, link, until, what, resets));
  }

  void end(Fault fault, String name) {
    Runnable end = ends.remove(new On(fault, name));
    if (end != null) {
      end.run();
    }
  }
}
