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
 * Generates random faults of processes and links. Faults of different processes and links overlap
 * at random; a process has one at a time, as concurrent signals would cancel each other's effect.
 * The last part of a run is free of faults, so that lasting damage shows.
 */
public final class FaultGenerator {
  /** Mean time between the starts of faults; uniformly distributed from 0 to twice this. */
  private static final double MEAN_GAP_MS = 900;

  private static final double MIN_DURATION_MS = 200;
  private static final double MAX_DURATION_MS = 4_000;

  /** Fraction at the end of a run that is free of faults. */
  static final double FAULT_FREE_FRACTION = 0.2;

  /** Time after a fault in which a process may restart before its next fault. */
  private static final double RECOVERY_MS = 4_000;

  private static final List<Kind> GATEWAY_FAULTS =
      List.of(Kind.GATEWAY_KILL, Kind.GATEWAY_STOP, Kind.GATEWAY_TERM);

  /** One in this many gateway faults is a pause, which may also affect a terminating gateway. */
  private static final int GATEWAY_FAULTS_PER_PAUSE = 2;

  private static final double MIN_PAUSE_MS = 50;
  private static final double MAX_PAUSE_MS = 150;

  private static final List<Kind> DISK_FAULTS =
      List.of(Kind.DISK_FULL, Kind.DISK_TORN, Kind.DISK_FLIPPED, Kind.DISK_LOST);

  private static final List<Kind> HOST_FAULTS =
      List.of(Kind.CRASH, Kind.FREEZE, Kind.HANG, Kind.REFUSE, Kind.RESET);

  private static final List<Kind> LINK_FAULTS =
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

  /** Of six faults, four affect links, one a gateway and one a host. */
  private static final int TARGET_CHOICES = 6;

  /** If gateways share a record, one in this many faults affects links between them. */
  private static final int FAULTS_PER_PEER_FAULT = 2;

  private final Script script;
  private final SplittableRandom random;
  private final Map<String, Double> busyUntil = new HashMap<>();
  private boolean diskLost;

  private FaultGenerator(Script script, long seed) {
    this.script = script;
    random = SeededRandom.stream(seed, "torment");
    script.faults().stream()
        .filter(FaultGenerator::endsGateways)
        .flatMap(fault -> fault.target().names().stream())
        .forEach(name -> busyUntil.put(name, Double.POSITIVE_INFINITY));
  }

  /**
   * Whether a second fault of that kind at the same process would cancel the effect of the first.
   */
  private static boolean endsGateways(Fault fault) {
    return fault.kind().subject() == Fault.Subject.GATEWAYS && fault.kind() != Kind.GATEWAY_PAUSE;
  }

  /** Generates faults for the script's length and fleet, ordered by start time. */
  public static List<Fault> generate(Script script, long seed) {
    return new FaultGenerator(script, seed).generateAll();
  }

  private List<Fault> generateAll() {
    double lastMs = script.lengthMs() * (1 - FAULT_FREE_FRACTION);
    List<Fault> out = new ArrayList<>();
    for (double atMs = nextGapMs(); atMs < lastMs - MIN_DURATION_MS; atMs += nextGapMs()) {
      // Log-uniform, so that short and long durations are equally likely.
      double ratio = MAX_DURATION_MS / MIN_DURATION_MS;
      double forMs = MIN_DURATION_MS * Math.pow(ratio, random.nextDouble());
      out.addAll(next(rounded(atMs), rounded(Math.min(forMs, lastMs - atMs))));
    }
    out.sort(Comparator.comparingDouble(Fault::atMs));
    return List.copyOf(out);
  }

  /** Rounds to milliseconds, so that the printed script equals the one that ran. */
  private static double rounded(double ms) {
    return Math.max(1, Math.rint(ms));
  }

  private double nextGapMs() {
    return 2 * MEAN_GAP_MS * random.nextDouble();
  }

  private List<Fault> next(double atMs, double forMs) {
    if (script.fleet().voters() > 0 && random.nextInt(FAULTS_PER_PEER_FAULT) == 0) {
      return betweenGateways(atMs, forMs);
    }
    Fault fault = nextSingle(atMs, forMs);
    return fault == null ? List.of() : List.of(fault);
  }

  /** Separates one or some gateways from the others, in one direction or in both. */
  private List<Fault> betweenGateways(double atMs, double forMs) {
    int gateways = script.fleet().gateways();
    Kind kind = pick(LINK_FAULTS);
    List<String> selected =
        random.nextBoolean()
            ? List.of("g" + (1 + random.nextInt(gateways)))
            : randomSubset("g", gateways);
    List<String> others = new ArrayList<>();
    for (int i = 1; i <= gateways; i++) {
      if (!selected.contains("g" + i)) {
        others.add("g" + i);
      }
    }
    if (others.isEmpty()) {
      return List.of();
    }
    Fault outbound = fault(kind, atMs, forMs, new Target(selected, 1, null, null, others));
    return random.nextInt(3) == 0
        ? List.of(outbound)
        : List.of(outbound, outbound.withTarget(new Target(others, 1, null, null, selected)));
  }

  private Fault nextSingle(double atMs, double forMs) {
    int side = random.nextInt(TARGET_CHOICES);
    if (side == 0) {
      if (random.nextInt(GATEWAY_FAULTS_PER_PAUSE) == 0) {
        return pause(atMs);
      }
      boolean disk = script.fleet().voters() > 0 && random.nextBoolean();
      return atProcess(
          disk ? nextDiskFault() : pick(GATEWAY_FAULTS),
          "g",
          script.fleet().gateways(),
          atMs,
          forMs);
    }
    if (side == 1) {
      return atProcess(pick(HOST_FAULTS), "s", script.fleet().servers(), atMs, forMs);
    }
    return fault(pick(LINK_FAULTS), atMs, forMs, links());
  }

  /**
   * A record tolerates the loss of one disk until an operator replaces it, which may take until the
   * end of a run.
   */
  private Kind nextDiskFault() {
    Kind kind = pick(DISK_FAULTS);
    if (kind.losesVote() && diskLost) {
      return Kind.DISK_TORN;
    }
    diskLost |= kind.losesVote();
    return kind;
  }

  private Fault pause(double atMs) {
    String name = "g" + (1 + random.nextInt(script.fleet().gateways()));
    double forMs = rounded(SeededRandom.between(random, MIN_PAUSE_MS, MAX_PAUSE_MS));
    Target target = new Target(List.of(name), 1, null, null, List.of());
    return fault(Kind.GATEWAY_PAUSE, atMs, forMs, target);
  }

  /** Returns null if the chosen process has not yet recovered from its last fault. */
  private Fault atProcess(Kind kind, String letter, int count, double atMs, double forMs) {
    String name = letter + (1 + random.nextInt(count));
    if (busyUntil.getOrDefault(name, 0.0) > atMs) {
      return null;
    }
    busyUntil.put(name, atMs + forMs + RECOVERY_MS);
    return fault(kind, atMs, forMs, new Target(List.of(name), 1, null, null, List.of()));
  }

  /** Selects one pair, one gateway, one host, or the links from some gateways to some hosts. */
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
        from = randomSubset("g", gateways);
        to = randomSubset("s", hosts);
      }
    }
    return new Target(from, 1, null, null, to);
  }

  /** Selects each name with probability 1/2, and at least one. */
  private List<String> randomSubset(String letter, int count) {
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

  private Fault fault(Kind kind, double atMs, double forMs, Target target) {
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
        // No parameters.
      }
    }
    double durationMs = kind.hasDuration() ? forMs : 0;
    return new Fault(kind, atMs, durationMs, target, factor, 0, to, false, every, "", 0);
  }
}
