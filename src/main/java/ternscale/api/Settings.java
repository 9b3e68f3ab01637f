package ternscale.api;

import java.util.List;
import java.util.Objects;

/** What a gateway is told when it starts. All times are in milliseconds. */
public record Settings(
    int me,
    int instances,
    int zone,
    int zones,
    double tickMs,
    List<RequestClass> classes,
    List<Tenant> tenants,
    double overShareWorth,
    boolean worthByWork,
    Discovery discovery,
    boolean hostsRememberKeys,
    boolean clientsMarkRetries,
    Limits limits,
    Rules rules,
    Prices prices,
    Goal goal,
    ReportMode reportMode,
    List<ReportField> reportFields,
    WeightMeaning weightMeaning) {

  /** How hosts that see a request twice treat the repeat. */
  public enum Effect {
    REPEATABLE,
    BY_KEY,
    ONCE
  }

  /** The hosts that together drop a repeat. */
  public enum Group {
    ALL,
    ZONE,
    CELL
  }

  /** How the list of hosts reaches a gateway. */
  public enum Discovery {
    PUSHED,
    ON_REQUEST
  }

  /** Where load reports come from. */
  public enum ReportMode {
    WITH_ANSWERS,
    WITH_PROBES,
    NONE
  }

  /** The values of a load report; {@code OTHER} is one this library does not know. */
  public enum ReportField {
    IN_FLIGHT,
    QUEUE,
    UTILIZATION,
    LATENCY_MS,
    QPS,
    EPS,
    OTHER
  }

  /** What a listed weight stands for. */
  public enum WeightMeaning {
    NONE,
    NOMINAL,
    ROUGH,
    LIVE
  }

  /** A class of requests. */
  public record RequestClass(
      double aimMs,
      double aimStretch,
      double deadlineMs,
      double worth,
      double lateWorth,
      Effect effect,
      Group group,
      double windowMs,
      boolean stream) {
    public RequestClass {
      Objects.requireNonNull(effect, "effect");
      Objects.requireNonNull(group, "group");
      require(aimMs > 0, "aim must be above 0", aimMs);
      require(deadlineMs > 0, "deadline must be above 0", deadlineMs);
      require(worth >= 0, "worth must not be negative", worth);
      require(windowMs >= 0, "window must not be negative", windowMs);
    }
  }

  /** A customer and its share of the service; {@code quotaRps} of 0 means no quota. */
  public record Tenant(double share, double quotaRps) {
    public Tenant {
      require(share >= 0, "tenant share must not be negative", share);
      require(quotaRps >= 0, "tenant quota must not be negative", quotaRps);
    }
  }

  /** What the deployment permits. */
  public record Limits(
      int maxAttempts,
      boolean secondCopies,
      boolean mayProbe,
      boolean mayCancel,
      boolean peers,
      boolean retryAfter,
      double maxRetryAfterMs,
      double connectTimeoutMs,
      double idleConnectionMs,
      int requestsPerConnection) {
    public Limits {
      require(maxAttempts >= 1, "at least one attempt must be allowed", maxAttempts);
    }
  }

  /** The figures of the rules every gateway keeps. */
  public record Rules(
      double coldFrom,
      double coldMs,
      double fallMultiple,
      double fallMs,
      double drainGraceMs,
      double answerGraceMs,
      double mustAskInMs) {
    public Rules {
      require(coldFrom > 0 && coldFrom <= 1, "cold share must lie in (0, 1]", coldFrom);
      require(coldMs >= 0, "cold time must not be negative", coldMs);
      require(fallMultiple > 0, "fall multiple must be above 0", fallMultiple);
      require(fallMs >= 0, "fall time must not be negative", fallMs);
    }
  }

  /** What side effects cost, in points of the result per unit. */
  public record Prices(
      double crossZone, double probe, double waste, double lateFail, double handshake) {}

  /** How the result is mixed. */
  public record Goal(double whole, double worstWindow, double worstClass, double worstTenant) {}

  public Settings {
    require(instances >= 1, "instances must be 1 or more", instances);
    require(me >= 0 && me < instances, "own number must lie below " + instances, me);
    require(zones >= 1, "zones must be 1 or more", zones);
    require(zone >= 0 && zone < zones, "own zone must lie below " + zones, zone);
    require(tickMs >= 0, "tick must not be negative", tickMs);
    classes = List.copyOf(classes);
    tenants = List.copyOf(tenants);
    reportFields = List.copyOf(reportFields);
    require(!classes.isEmpty(), "at least one request class is needed", 0);
    Objects.requireNonNull(discovery, "discovery");
    Objects.requireNonNull(limits, "limits");
    Objects.requireNonNull(rules, "rules");
    Objects.requireNonNull(prices, "prices");
    Objects.requireNonNull(goal, "goal");
    Objects.requireNonNull(reportMode, "reportMode");
    Objects.requireNonNull(weightMeaning, "weightMeaning");
  }

  /** These settings with other classes and limits. */
  public Settings with(List<RequestClass> otherClasses, Limits otherLimits) {
    return new Settings(
        me,
        instances,
        zone,
        zones,
        tickMs,
        otherClasses,
        tenants,
        overShareWorth,
        worthByWork,
        discovery,
        hostsRememberKeys,
        clientsMarkRetries,
        otherLimits,
        rules,
        prices,
        goal,
        reportMode,
        reportFields,
        weightMeaning);
  }

  private static void require(boolean holds, String what, double value) {
    if (!holds || Double.isNaN(value)) {
      throw new IllegalArgumentException(what + ": " + value);
    }
  }
}
