package hazelspoke.emulator.script;

import java.util.List;

/**
 * The definition of a rehearsal: a fleet, a load and a schedule of faults. Times are in
 * milliseconds unless a name says otherwise. The README of {@code rehearsals/} documents every key.
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

  /** Returns a copy with other faults. */
  public Script withFaults(List<Fault> others) {
    return new Script(title, lengthMs, fleet, load, classes, discovery, checker, others);
  }

  /** Returns a copy with another length and number of gateways, each in a process of its own. */
  public Script withProcesses(int gateways, double ms) {
    return new Script(
        title, ms, fleet.withProcesses(gateways), load, classes, discovery, checker, faults);
  }

  /** Returns a copy with a record that has this number of voters and operators. */
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

  /** Returns a copy with other hosts in processes of their own. */
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
   * @param inProcess whether gateways run in the emulator's process instead of as {@code run}
   *     specifies
   * @param dropsCancelled whether a host drops a queued request when its gateway cancels it
   * @param dropsExpired whether a host rejects a request whose deadline has passed when it is
   *     dequeued
   * @param coldMs time after which every server is warm; the first ones are warm after 0.42 of it
   * @param separateProcessHosts names of hosts that run in processes of their own
   * @param voters number of gateways that vote on the fleet's record; 0 if it is off
   * @param operators number of clients that use the record all the time, besides the gateways
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

  /** How the request rate varies over time. */
  public enum Shape {
    STEADY,
    BURSTY,
    RAMP
  }

  /**
   * @param rate requests per second over all sites, excluding retries
   * @param swing relative variation of the rate
   * @param keys number of distinct keys; the n-th is requested in proportion to {@code 1 / n^zipf}
   * @param retries maximum number of retries of a client
   * @param tryShare a client attempt times out after this part of the deadline
   * @param honour the share of clients that honour {@code Retry-After}
   * @param slowShare the share of requests whose remaining body arrives later than its head
   * @param slowMs maximum of that delay, uniformly distributed
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

  /** An interval in which the rate is multiplied by {@code factor}. */
  public record Surge(double atMs, double forMs, double factor) {}

  /** How a class may be repeated, as in the settings. */
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

  /** Whether gateways request the host list or discovery pushes it. */
  public enum Mode {
    ASKED,
    PUSHED
  }

  /**
   * @param linesPerS entries that discovery can send per second; 0 for no limit
   * @param callLines fixed cost of a call, in entries
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
   * @param slackMs extension of each time limit of the rules
   * @param lateMs a rehearsal is invalid if more than 1 % of the arrivals or of the clock readings
   *     were later than this
   */
  public record CheckerSettings(double slackMs, double lateMs) {}
}
