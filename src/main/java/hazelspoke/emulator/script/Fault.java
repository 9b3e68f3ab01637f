package hazelspoke.emulator.script;

import java.util.List;

/**
 * One thing that goes wrong, from {@code atMs} on for {@code forMs} (both since the first request
 * may be asked). What {@code factor}, {@code from} and {@code to} mean depends on the kind.
 *
 * @param target the hosts or gateways it strikes
 * @param silent of a site that goes dark: machines vanish instead of processes dying
 * @param every time between pauses, in milliseconds
 * @param requestClass the class that has a heavy tail
 * @param line where the script says so
 */
public record Fault(
    Kind kind,
    double atMs,
    double forMs,
    Target target,
    double factor,
    double from,
    double to,
    boolean silent,
    double every,
    String requestClass,
    int line) {

  /** What can go wrong, and with what. */
  public enum Kind {
    /** The process dies; its connections are reset. It starts again, cold, when the time is up. */
    CRASH(Subject.HOSTS, true),
    /** Takes work and says nothing; its cores stand still. */
    HANG(Subject.HOSTS, true),
    /** Says nothing for the time, works on, and then answers everything at once. */
    FREEZE(Subject.HOSTS, true),
    /** Freezes again and again: {@code freeze_ms} every {@code every_s}. */
    PAUSES(Subject.HOSTS, true),
    /** Cores that are slower by {@code factor}. */
    SLOW(Subject.HOSTS, true),
    /** A share of errors that goes from {@code from} to {@code to} along a line. */
    ERRORS(Subject.HOSTS, true),
    /** A share {@code to} of the requests of one class needs {@code factor} times its work. */
    HEAVY_TAIL(Subject.LOAD, true),
    /** A share {@code to} of the answers breaks off in the middle. */
    RESET(Subject.HOSTS, true),
    /** New connections are refused; open ones go on. */
    REFUSE(Subject.HOSTS, true),
    /** Ends and starts again at once, cold, under its name. */
    RESTART(Subject.HOSTS, false),
    /** Listed as terminating, finishes what it has, and is gone when the time is up. */
    DRAIN(Subject.HOSTS, true),
    /** Drains, and when the time is up another under a new name starts at its address, cold. */
    RELEASE(Subject.HOSTS, true),
    /** Ends, and another under a new name starts at its address, cold. */
    REPLACE(Subject.HOSTS, false),
    /** All of a site, its gateways with it; comes back cold. */
    SITE_DARK(Subject.SITE, true),
    /** Hosts drain and leave for good. */
    SHRINK(Subject.HOSTS, true),
    /** News of the list comes {@code factor} seconds later. */
    DISCOVERY_LATE(Subject.DISCOVERY, true),
    /** Watches end and calls fail. */
    DISCOVERY_DOWN(Subject.DISCOVERY, true),
    /** Discovery gets another address; configurations are replaced and gateways get SIGHUP. */
    DISCOVERY_MOVED(Subject.DISCOVERY, false),
    GATEWAY_TERM(Subject.GATEWAYS, true),
    GATEWAY_KILL(Subject.GATEWAYS, true),
    /** SIGSTOP, and SIGCONT when the time is up. */
    GATEWAY_STOP(Subject.GATEWAYS, true),
    /** SIGSTOP for so short a time that a gateway has to keep every rule all the same. */
    GATEWAY_PAUSE(Subject.GATEWAYS, true),
    GATEWAY_HUP(Subject.GATEWAYS, false),
    /** Nothing more can be written to files; the gateway starts again when the time is up. */
    DISK_FULL(Subject.GATEWAYS, true),
    /** SIGKILL in the middle of a write: the newest segment of the record ends in half of one. */
    DISK_TORN(Subject.GATEWAYS, true),
    /** SIGKILL, and one byte of the record is another when the process starts again. */
    DISK_FLIPPED(Subject.GATEWAYS, true),
    /** SIGKILL, and the process starts again with an empty disk. */
    DISK_LOST(Subject.GATEWAYS, true),
    /** Connections between the two are reset, and new ones refused. */
    LINK_CUT(Subject.LINKS, true),
    /** Packets vanish both ways: connections stay, and new ones never come up. */
    LINK_SILENT(Subject.LINKS, true),
    /** What the first says vanishes; what the second says arrives. */
    LINK_MUTE(Subject.LINKS, true),
    /** What the first says arrives; what the second says vanishes. */
    LINK_DEAF(Subject.LINKS, true),
    /** All bytes come {@code factor} milliseconds later, each way. */
    LINK_SLOW(Subject.LINKS, true),
    /**
     * Nothing passes for {@code factor} milliseconds {@code every} so often, as when TCP resends.
     */
    LINK_LOSSY(Subject.LINKS, true),
    /** Cut for {@code factor} milliseconds {@code every} so often. */
    LINK_FLAPPING(Subject.LINKS, true),
    /** What is open is reset at both ends. */
    LINK_RESET(Subject.LINKS, false),
    /** The second's ends of what is open are gone, and the first hears nothing of it. */
    LINK_HALF_OPEN(Subject.LINKS, true);

    private final Subject subject;
    private final boolean hasDuration;

    Kind(Subject subject, boolean hasDuration) {
      this.subject = subject;
      this.hasDuration = hasDuration;
    }

    public Subject subject() {
      return subject;
    }

    /** Whether it strikes what a gateway keeps of the record. */
    public boolean affectsDisk() {
      return this == DISK_FULL || this == DISK_TORN || losesVote();
    }

    /** Whether a voter that it strikes comes back without a vote. */
    public boolean losesVote() {
      return this == DISK_FLIPPED || this == DISK_LOST;
    }

    /** Whether it has a length. */
    public boolean hasDuration() {
      return hasDuration;
    }
  }

  /** What a fault is about. */
  public enum Subject {
    HOSTS,
    SITE,
    LOAD,
    DISCOVERY,
    GATEWAYS,
    LINKS
  }

  /**
   * Which hosts or gateways: those named, or of the rest a share (0 to 1) of those of a kind and of
   * a site; null and empty where nothing is said.
   *
   * @param far of links: the hosts at their other ends; empty for all
   */
  public record Target(
      List<String> names, double share, String kind, String site, List<String> far) {
    public Target {
      names = List.copyOf(names);
      far = List.copyOf(far);
    }

    Target(List<String> names, double share, String kind, String site) {
      this(names, share, kind, site, List.of());
    }
  }

  /** The same elsewhere. */
  public Fault withTarget(Target other) {
    return new Fault(kind, atMs, forMs, other, factor, from, to, silent, every, requestClass, line);
  }

  /** When it is over, in milliseconds. */
  public double endMs() {
    return atMs + forMs;
  }
}
