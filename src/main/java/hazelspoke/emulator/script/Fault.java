package hazelspoke.emulator.script;

import java.util.List;

/**
 * A fault that begins at {@code atMs}, counted from the time of the first possible request, and
 * lasts for {@code forMs}. The meaning of {@code factor}, {@code from} and {@code to} depends on
 * the kind.
 *
 * @param target the affected hosts or gateways
 * @param silent for a site outage: machines become unreachable instead of processes exiting
 * @param every interval between pauses, in milliseconds
 * @param requestClass the class that has a heavy tail
 * @param line line number in the script
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

  /** The kinds of faults and what each affects. */
  public enum Kind {
    /**
     * The process exits and its connections are reset; it restarts cold at the end of the fault.
     */
    CRASH(Subject.HOSTS, true),
    /** Accepts requests but does not process or answer them. */
    HANG(Subject.HOSTS, true),
    /** Processes requests but holds back all responses until the end of the fault. */
    FREEZE(Subject.HOSTS, true),
    /** Freezes repeatedly: for {@code freeze_ms} every {@code every_s}. */
    PAUSES(Subject.HOSTS, true),
    /** The cores are slower by {@code factor}. */
    SLOW(Subject.HOSTS, true),
    /** An error rate that changes linearly from {@code from} to {@code to}. */
    ERRORS(Subject.HOSTS, true),
    /** A share {@code to} of the requests of one class needs {@code factor} times its work. */
    HEAVY_TAIL(Subject.LOAD, true),
    /** A share {@code to} of the responses is cut off in the middle. */
    RESET(Subject.HOSTS, true),
    /** New connections are refused; open ones continue to work. */
    REFUSE(Subject.HOSTS, true),
    /** Exits and restarts at once, cold, under the same name. */
    RESTART(Subject.HOSTS, false),
    /** Listed as terminating, finishes its requests and is removed at the end of the fault. */
    DRAIN(Subject.HOSTS, true),
    /** Drains; at the end of the fault a cold host with a new name starts at its address. */
    RELEASE(Subject.HOSTS, true),
    /** Exits, and a cold host with a new name starts at its address. */
    REPLACE(Subject.HOSTS, false),
    /** Outage of a complete site including its gateways; it restarts cold. */
    SITE_DARK(Subject.SITE, true),
    /** Hosts drain and are removed permanently. */
    SHRINK(Subject.HOSTS, true),
    /** Updates of the host list are delayed by {@code factor} seconds. */
    DISCOVERY_LATE(Subject.DISCOVERY, true),
    /** Watches are closed and calls fail. */
    DISCOVERY_DOWN(Subject.DISCOVERY, true),
    /**
     * Discovery moves to another address; configurations are replaced and gateways receive SIGHUP.
     */
    DISCOVERY_MOVED(Subject.DISCOVERY, false),
    GATEWAY_TERM(Subject.GATEWAYS, true),
    GATEWAY_KILL(Subject.GATEWAYS, true),
    /** SIGSTOP, and SIGCONT at the end of the fault. */
    GATEWAY_STOP(Subject.GATEWAYS, true),
    /** SIGSTOP for so short a time that a gateway still has to keep every rule. */
    GATEWAY_PAUSE(Subject.GATEWAYS, true),
    GATEWAY_HUP(Subject.GATEWAYS, false),
    /** File writes fail; the gateway restarts at the end of the fault. */
    DISK_FULL(Subject.GATEWAYS, true),
    /** SIGKILL during a write: the newest segment of the record ends with a partial write. */
    DISK_TORN(Subject.GATEWAYS, true),
    /** SIGKILL, and one byte of the record is altered before the process restarts. */
    DISK_FLIPPED(Subject.GATEWAYS, true),
    /** SIGKILL, and the process restarts with an empty disk. */
    DISK_LOST(Subject.GATEWAYS, true),
    /** Connections between the two ends are reset and new ones refused. */
    LINK_CUT(Subject.LINKS, true),
    /**
     * Packets are dropped in both directions: open connections stay, new ones are never
     * established.
     */
    LINK_SILENT(Subject.LINKS, true),
    /** Packets from the first end are dropped; those from the second arrive. */
    LINK_MUTE(Subject.LINKS, true),
    /** Packets from the first end arrive; those from the second are dropped. */
    LINK_DEAF(Subject.LINKS, true),
    /** All bytes are delayed by {@code factor} milliseconds in each direction. */
    LINK_SLOW(Subject.LINKS, true),
    /**
     * Nothing passes for {@code factor} milliseconds in every {@code every}, as during TCP
     * retransmission.
     */
    LINK_LOSSY(Subject.LINKS, true),
    /** Cut for {@code factor} milliseconds in every {@code every}. */
    LINK_FLAPPING(Subject.LINKS, true),
    /** Open connections are reset at both ends. */
    LINK_RESET(Subject.LINKS, false),
    /** Open connections are lost at the second end, and the first end is not notified. */
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

    /** Returns whether the fault affects the stored record of a gateway. */
    public boolean affectsDisk() {
      return this == DISK_FULL || this == DISK_TORN || losesVote();
    }

    /** Returns whether an affected voter restarts without its vote. */
    public boolean losesVote() {
      return this == DISK_FLIPPED || this == DISK_LOST;
    }

    /** Returns whether the fault has a duration. */
    public boolean hasDuration() {
      return hasDuration;
    }
  }

  /** What a fault affects. */
  public enum Subject {
    HOSTS,
    SITE,
    LOAD,
    DISCOVERY,
    GATEWAYS,
    LINKS
  }

  /**
   * Selects hosts or gateways: the named ones, or a share (0 to 1) of those of a kind and a site.
   * Fields that the script omits are null or empty.
   *
   * @param far for links, the hosts at the other ends; empty for all
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

  /** Returns a copy with another target. */
  public Fault withTarget(Target other) {
    return new Fault(kind, atMs, forMs, other, factor, from, to, silent, every, requestClass, line);
  }

  /** Returns the end of the fault, in milliseconds since the start of the load. */
  public double endMs() {
    return atMs + forMs;
  }
}
