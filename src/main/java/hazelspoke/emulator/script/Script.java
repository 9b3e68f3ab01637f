package hazelspoke.emulator.script;

import java.util.List;

/**
 * A rehearsal as it was written: a fleet, a load and what goes wrong when. Times are in
 * milliseconds unless a name says otherwise. The README of {@code rehearsals/} has every key.
 */
public record Script(
    String title,
    double lengthMs,
    Fleet fleet,
    Load load,
    List<RequestClass> classes,
    Discovery discovery,
    CheckerSettings checker,
    List<Fault> faults) {
  public Script {
    classes = List.copyOf(classes);
    faults = List.copyOf(faults);
  }

  /** The same with other faults. */
  public Script withFaults(List<Fault> others) {
    return new Script(title, lengthMs, fleet, load, classes, discovery, checker, others);
  }

  /** The same, so long, with so many gateways, each a process of its own. */
  public Script withProcesses(int gateways, double ms) {
    return new Script(
        title, ms, fleet.withProcesses(gateways), load, classes, discovery, checker, faults);
  }

  /** The same with a record that so many gateways vote on and so many operators use. */
  public Script withRecord(int voters, int operators) {
    return new Script(
        title,
        lengthMs,
        fleet.withRecord(voters, operators),
        load,
        classes,
        discovery,
        checker,
        faults);
  }

  /** The same incident with other hosts in processes of their own. */
  public Script withSeparateProcessHosts(List<String> names) {
    return new Script(
        title,
        lengthMs,
        fleet.withSeparateProcessHosts(names),
        load,
        classes,
        discovery,
        checker,
        faults);
  }

  /**
   * @param inProcess gateways run in the emulator's own process and not as {@code run} says
   * @param dropsCancelled what waits at a host is dropped when its gateway gives it up
   * @param dropsExpired what is over when its turn comes is turned away
   * @param coldMs after which every server is warm, the first ones at 0.42 of it
   * @param separateProcessHosts names of hosts that run as processes of their own
   * @param voters how many gateways vote on the fleet's record; 0 where it is off
   * @param operators how many use that record all the time, besides the gateways
   */
  public record Fleet(
      List<String> sites,
      int gateways,
      int servers,
      double large,
      double medium,
      double small,
      boolean inProcess,
      int sockets,
      int memoryMb,
      boolean dropsCancelled,
      boolean dropsExpired,
      double coldMs,
      List<String> separateProcessHosts,
      int voters,
      int operators) {
    public Fleet {
      sites = List.copyOf(sites);
      separateProcessHosts = List.copyOf(separateProcessHosts);
    }

    Fleet withProcesses(int number) {
      return with(number, false, separateProcessHosts, voters, operators);
    }

    Fleet withSeparateProcessHosts(List<String> names) {
      return with(gateways, inProcess, names, voters, operators);
    }

    Fleet withRecord(int voting, int using) {
      return with(gateways, inProcess, separateProcessHosts, voting, using);
    }

    private Fleet with(int number, boolean here, List<String> others, int voting, int using) {
      return new Fleet(
          sites,
          number,
          servers,
          large,
          medium,
          small,
          here,
          sockets,
          memoryMb,
          dropsCancelled,
          dropsExpired,
          coldMs,
          others,
          voting,
          using);
    }
  }

  /** How the rate of asking moves. */
  public enum Shape {
    STEADY,
    BURSTY,
    RAMP
  }

  /**
   * @param rate requests a second over all sites, first tries only
   * @param swing by what part of the rate it moves
   * @param keys distinct keys, the n-th asked for in proportion to {@code 1 / n^zipf}
   * @param retries how often a client asks again
   * @param tryShare a try is given up after this part of the deadline
   * @param honour the share of the clients that heed {@code Retry-After}
   * @param slowShare the share of the requests with a body whose rest comes later than its head
   * @param slowMs how much later at most, drawn evenly
   */
  public record Load(
      double rate,
      Shape shape,
      double swing,
      int keys,
      double zipf,
      int retries,
      double backoffMs,
      double tryShare,
      double honour,
      double slowShare,
      double slowMs,
      List<Surge> surges) {
    public Load {
      surges = List.copyOf(surges);
    }
  }

  /** From one time to another the rate is {@code factor} times as high. */
  public record Surge(double atMs, double forMs, double factor) {}

  /** How a class may be repeated: in the words of the settings. */
  public enum Effect {
    REPEATABLE,
    BY_KEY,
    ONCE
  }

  /** A class of requests; {@code share} is relative to the others' shares. */
  public record RequestClass(
      String name,
      double share,
      double workMs,
      double cv,
      double aimMs,
      double deadlineMs,
      double worth,
      Effect effect,
      double windowMs) {}

  /** Whether the list is asked for or pushed. */
  public enum Mode {
    ASKED,
    PUSHED
  }

  /**
   * @param linesPerS what it can tell in a second, 0 for no limit
   * @param callLines what a call costs besides its entries
   */
  public record Discovery(
      Mode mode,
      double noticeMs,
      double silentNoticeMs,
      double addMs,
      double linesPerS,
      double callLines,
      double timeoutMs) {}

  /**
   * @param slackMs what each time limit of a rule is longer by
   * @param lateMs a day counts for nothing when one arrival in a hundred, or one look at the clock,
   *     was later than this
   */
  public record CheckerSettings(double slackMs, double lateMs) {}
}
