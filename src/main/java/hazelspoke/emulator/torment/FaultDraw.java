package hazelspoke.emulator.torment;

import hazelspoke.emulator.model.SeededRandom;
import hazelspoke.emulator.script.Fault;
import hazelspoke.emulator.script.Fault.Kind;
import hazelspoke.emulator.script.Fault.Target;
import hazelspoke.emulator.script.Script;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Draws what goes wrong between processes and at them. Faults of different processes and links
 * overlap as chance has it; one process has one at a time, as two signals at once would mean
 * neither. The last part of a play is free of faults, so that what lasts beyond them is seen.
 */
public final class FaultDraw {
  /** From one fault's beginning to the next one's: a mean, drawn evenly up to twice of it. */
  private static final double GAP_MS = 900;

  private static final double SHORTEST_MS = 200;
  private static final double LONGEST_MS = 4_000;

  /** No fault lasts into this last part of a play. */
  static final double CALM_PART = 0.2;

  /** What a process is left after a fault, to start again in. */
  private static final double REST_MS = 4_000;

  private static final List<Kind> AT_GATEWAYS =
      List.of(Kind.GATEWAY_KILL, Kind.GATEWAY_STOP, Kind.GATEWAY_TERM);

  /** Of so many faults at gateways one is a pause, which may also strike one that is ending. */
  private static final int PAUSES = 2;

  private static final double SHORTEST_PAUSE_MS = 50;
  private static final double LONGEST_PAUSE_MS = 150;

  private static final List<Kind> AT_DISKS =
      List.of(Kind.DISK_FULL, Kind.DISK_TORN, Kind.DISK_FLIPPED, Kind.DISK_LOST);

  private static final List<Kind> AT_HOSTS =
      List.of(Kind.CRASH, Kind.FREEZE, Kind.HANG, Kind.REFUSE, Kind.RESET);

  private static final List<Kind> AT_LINKS =
      List.of(
          Kind.LINK_CUT,
          Kind.LINK_SILENT,
          Kind.LINK_MUTE,
          Kind.LINK_DEAF,
          Kind.LINK_SLOW,
          Kind.LINK_LOSSY,
          Kind.LINK_FLAPPING,
          Kind.LINK_RESET,
          Kind.LINK_HALF_OPEN);

  /** Of six faults four lie on links, one at a gateway and one at a host. */
  private static final int SIDES = 6;

  /** Where gateways speak to one another, one fault of so many lies between them. */
  private static final int PEERS = 2;

  private final Script script;
  private final SplittableRandom random;
  private final Map<String, Double> busyUntil = new HashMap<>();
  private boolean diskLost;

  private FaultDraw(Script script, long seed) {
    this.script = script;
    random = SeededRandom.stream(seed, "torment");
  }

  /** Faults for a script of this length and fleet, in the order of their beginnings. */
  public static List<Fault> draw(Script script, long seed) {
    return new FaultDraw(script, seed).all();
  }

  private List<Fault> all() {
    double lastMs = script.lengthMs() * (1 - CALM_PART);
    List<Fault> out = new ArrayList<>();
    for (double at = gap(); at < lastMs - SHORTEST_MS; at += gap()) {
      // As many short ones as long ones, by their logarithm.
      double ratio = LONGEST_MS / SHORTEST_MS;
      double forMs = SHORTEST_MS * Math.pow(ratio, random.nextDouble());
      out.addAll(some(rounded(at), rounded(Math.min(forMs, lastMs - at))));
    }
    out.sort(Comparator.comparingDouble(Fault::atMs));
    return List.copyOf(out);
  }

  /** Whole milliseconds: what is printed as a script is what was played. */
  private static double rounded(double ms) {
    return Math.max(1, Math.rint(ms));
  }

  private double gap() {
    return 2 * GAP_MS * random.nextDouble();
  }

  private List<Fault> some(double at, double forMs) {
    if (script.fleet().voters() > 0 && random.nextInt(PEERS) == 0) {
      return betweenGateways(at, forMs);
    }
    Fault fault = one(at, forMs);
    return fault == null ? List.of() : List.of(fault);
  }

  /** One way between two sides, or both: one gateway or some, and the rest. */
  private List<Fault> betweenGateways(double at, double forMs) {
    int gateways = script.fleet().gateways();
    Kind kind = pick(AT_LINKS);
    List<String> some =
        random.nextBoolean() ? List.of("g" + (1 + random.nextInt(gateways))) : some("g", gateways);
    List<String> rest = new ArrayList<>();
    for (int i = 1; i <= gateways; i++) {
      if (!some.contains("g" + i)) {
        rest.add("g" + i);
      }
    }
    if (rest.isEmpty()) {
      return List.of();
    }
    Fault there = fault(kind, at, forMs, new Target(some, 1, null, null, rest));
    return random.nextInt(3) == 0
        ? List.of(there)
        : List.of(there, there.withTarget(new Target(rest, 1, null, null, some)));
  }

  private Fault one(double at, double forMs) {
    int side = random.nextInt(SIDES);
    if (side == 0) {
      if (random.nextInt(PAUSES) == 0) {
        return pause(at);
      }
      boolean disk = script.fleet().voters() > 0 && random.nextBoolean();
      return atProcess(
          disk ? disk() : pick(AT_GATEWAYS), "g", script.fleet().gateways(), at, forMs);
    }
    if (side == 1) {
      return atProcess(pick(AT_HOSTS), "s", script.fleet().servers(), at, forMs);
    }
    return fault(pick(AT_LINKS), at, forMs, links());
  }

  /**
   * A record bears the loss of one disk until an operator has put another one in its place, which
   * may take until the end of a play.
   */
  private Kind disk() {
    Kind kind = pick(AT_DISKS);
    if (kind.losesVote() && diskLost) {
      return Kind.DISK_TORN;
    }
    diskLost |= kind.losesVote();
    return kind;
  }

  private Fault pause(double at) {
    String name = "g" + (1 + random.nextInt(script.fleet().gateways()));
    double forMs = rounded(SeededRandom.between(random, SHORTEST_PAUSE_MS, LONGEST_PAUSE_MS));
    Target target = new Target(List.of(name), 1, null, null, List.of());
    return fault(Kind.GATEWAY_PAUSE, at, forMs, target);
  }

  /** Null where the one that chance has chosen is not over its last fault yet. */
  private Fault atProcess(Kind kind, String letter, int count, double at, double forMs) {
    String name = letter + (1 + random.nextInt(count));
    if (busyUntil.getOrDefault(name, 0.0) > at) {
      return null;
    }
    busyUntil.put(name, at + forMs + REST_MS);
    return fault(kind, at, forMs, new Target(List.of(name), 1, null, null, List.of()));
  }

  /** One pair, one gateway, one host, or a part of the gateways from a part of the hosts. */
  private Target links() {
    int gateways = script.fleet().gateways();
    int hosts = script.fleet().servers();
    List<String> from = List.of();
    List<String> to = List.of();
    switch (random.nextInt(4)) {
      case 0 -> {
        from = List.of("g" + (1 + random.nextInt(gateways)));
        to = List.of("s" + (1 + random.nextInt(hosts)));
      }
      case 1 -> from = List.of("g" + (1 + random.nextInt(gateways)));
      case 2 -> to = List.of("s" + (1 + random.nextInt(hosts)));
      default -> {
        from = some("g", gateways);
        to = some("s", hosts);
      }
    }
    return new Target(from, 1, null, null, to);
  }

  /** Each with one chance in two, and one at least. */
  private List<String> some(String letter, int count) {
    List<String> out = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      if (random.nextBoolean()) {
        out.add(letter + i);
      }
    }
    return out.isEmpty() ? List.of(letter + (1 + random.nextInt(count))) : out;
  }

  private Kind pick(List<Kind> kinds) {
    return kinds.get(random.nextInt(kinds.size()));
  }

  private Fault fault(Kind kind, double at, double forMs, Target target) {
    double factor = 1;
    double to = 0;
    double every = 0;
    switch (kind) {
      case LINK_SLOW -> factor = rounded(SeededRandom.between(random, 5, 400));
      case LINK_LOSSY, LINK_FLAPPING -> {
        every = 100 * rounded(SeededRandom.between(random, 3, 15));
        factor = rounded(SeededRandom.between(random, 0.2, 0.8) * every);
      }
      case RESET -> to = rounded(SeededRandom.between(random, 10, 100)) / 100;
      default -> {
        // No figures of its own.
      }
    }
    double lasts = kind.hasDuration() ? forMs : 0;
    return new Fault(kind, at, lasts, target, factor, 0, to, false, every, "", 0);
  }
}
