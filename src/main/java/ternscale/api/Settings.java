package ternscale.api;

import java.util.List;
import java.util.Objects;

/**
 * The settings of a gateway. All times are in milliseconds. Errors name the keys of the settings'
 * outer form, as operators write them.
 */
public record Settings(
    int instanceIndex,
    int instanceCount,
    int zone,
    int zoneCount,
    double tickMs,
    List<RequestClass> classes,
    List<Tenant> tenants,
    double overQuotaValueFactor,
    boolean valueByWork,
    Discovery discovery,
    boolean hostsCacheByKey,
    boolean clientsMarkRetries,
    Limits limits,
    Rules rules,
    Costs costs,
    Objective objective,
    ReportMode reportMode,
    List<ReportField> reportFields,
    WeightMeaning weightMeaning) {

  /** How hosts treat a duplicate of a request. */
  public enum Effect {
    REPEATABLE,
    BY_KEY,
    ONCE
  }

  /** The set of hosts that share the memory by which duplicates are dropped. */
  public enum DedupScope {
    ALL,
    ZONE,
    CELL
  }

  /** How the list of hosts reaches a gateway. */
  public enum Discovery {
    PUSHED,
    ON_REQUEST
  }

  /** How load reports arrive. */
  public enum ReportMode {
    WITH_ANSWERS,
    WITH_PROBES,
    NONE
  }

  /** The columns of a load report; {@code OTHER} is an unknown one. */
  public enum ReportField {
    IN_FLIGHT,
    QUEUE,
    UTILIZATION,
    LATENCY_MS,
    QPS,
    EPS,
    OTHER
  }

  /** The meaning of a listed weight. */
  public enum WeightMeaning {
    NONE,
    NOMINAL,
    ROUGH,
    LIVE
  }

  /**
   * A class of requests.
   *
   * @param targetLatencyMs latency up to which a response has its full value
   * @param targetLatencyPerCostMs increase of that target for each unit of the cost hint
   * @param value value of a response in time, per unit of work
   * @param lateValueFactor fraction of the value that a late response keeps
   * @param dedupWindowMs how long hosts remember a request to drop duplicates of it
   */
  public record RequestClass(
      double targetLatencyMs,
      double targetLatencyPerCostMs,
      double deadlineMs,
      double value,
      double lateValueFactor,
      Effect effect,
      DedupScope dedupScope,
      double dedupWindowMs,
      boolean isStream) {
    public RequestClass {
      Objects.requireNonNull(effect, "effect");
      Objects.requireNonNull(dedupScope, "group");
      require(targetLatencyMs > 0, "aim must be positive", targetLatencyMs);
      require(deadlineMs > 0, "hard_limit must be positive", deadlineMs);
      require(value >= 0, "worth must not be negative", value);
      require(dedupWindowMs >= 0, "window must not be negative", dedupWindowMs);
    }
  }

  /** A tenant and its share of the service; a {@code quotaRps} of 0 means no quota. */
  public record Tenant(double share, double quotaRps) {
    public Tenant {
      require(share >= 0, "share of a tenant must not be negative", share);
      require(quotaRps >= 0, "quota_rps of a tenant must not be negative", quotaRps);
    }
  }

  /** Limits and optional features of the deployment. */
  public record Limits(
      int maxAttempts,
      boolean mayHedge,
      boolean mayProbe,
      boolean mayCancel,
      boolean peerMessages,
      boolean sendsRetryAfter,
      double maxRetryAfterMs,
      double connectTimeoutMs,
      double idleConnectionMs,
      int requestsPerConnection) {
    public Limits {
      require(maxAttempts >= 1, "send_cap must be at least 1", maxAttempts);
    }
  }

  /**
   * Parameters of the rules that every gateway must follow.
   *
   * @param initialCapacityShare share of its capacity that a host has right after its start
   * @param slowStartMs time after which a host has its full capacity
   * @param overloadMultiple multiple of its current capacity beyond which a cold host is overloaded
   * @param overloadMs length of the window over which that load is measured
   * @param responseGraceMs time after its deadline within which a request may be answered
   * @param maxPollIntervalMs maximum time without an update where discovery answers on request
   */
  public record Rules(
      double initialCapacityShare,
      double slowStartMs,
      double overloadMultiple,
      double overloadMs,
      double drainGraceMs,
      double responseGraceMs,
      double maxPollIntervalMs) {
    public Rules {
      require(
          initialCapacityShare > 0 && initialCapacityShare <= 1,
          "cold_from must be in (0, 1]",
          initialCapacityShare);
      require(slowStartMs >= 0, "cold must not be negative", slowStartMs);
      require(overloadMultiple > 0, "fall_multiple must be positive", overloadMultiple);
      require(overloadMs >= 0, "fall must not be negative", overloadMs);
    }
  }

  /** Costs of side effects, in points of the objective per unit. */
  public record Costs(
      double crossZone, double probe, double wastedWork, double lateFailure, double handshake) {}

  /** Weights of the parts of the objective. */
  public record Objective(
      double overall, double worstWindow, double worstClass, double worstTenant) {}

  public Settings {
    require(instanceCount >= 1, "instances must be at least 1", instanceCount);
    require(
        instanceIndex >= 0 && instanceIndex < instanceCount,
        "me must be from 0 to below " + instanceCount,
        instanceIndex);
    require(zoneCount >= 1, "number of areas must be at least 1", zoneCount);
    require(zone >= 0 && zone < zoneCount, "az must be from 0 to below " + zoneCount, zone);
    require(tickMs >= 0, "quantum must not be negative", tickMs);
    classes = List.copyOf(classes);
    tenants = List.copyOf(tenants);
    reportFields = List.copyOf(reportFields);
    require(!classes.isEmpty(), "at least one request class is required", 0);
    Objects.requireNonNull(discovery, "discovery");
    Objects.requireNonNull(limits, "limits");
    Objects.requireNonNull(rules, "rules");
    Objects.requireNonNull(costs, "costs");
    Objects.requireNonNull(objective, "objective");
    Objects.requireNonNull(reportMode, "reportMode");
    Objects.requireNonNull(weightMeaning, "weightMeaning");
  }

  /** These settings with other classes and limits. */
  public Settings with(List<RequestClass> otherClasses, Limits otherLimits) {
    return new Settings(
        instanceIndex,
        instanceCount,
        zone,
        zoneCount,
        tickMs,
        otherClasses,
        tenants,
        overQuotaValueFactor,
        valueByWork,
        discovery,
        hostsCacheByKey,
        clientsMarkRetries,
        otherLimits,
        rules,
        costs,
        objective,
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
