package ternscale.api;

import java.util.Objects;

/**
 * A client request. {@code deadline} is the time at which the client times out this attempt; {@code
 * costHint} is the expected work in milliseconds on a standard core, 0 if unknown; {@code key} may
 * be null; {@code readDelayMs} is how long it waited to be read, which counts towards its latency.
 */
public record RequestInfo(
    String id,
    int requestClass,
    int tenant,
    double deadline,
    double costHint,
    String key,
    boolean isWrite,
    boolean isClientRetry,
    double readDelayMs) {
  /** Creates a request that was read without delay. */
  public RequestInfo(
      String id,
      int requestClass,
      int tenant,
      double deadline,
      double costHint,
      String key,
      boolean isWrite,
      boolean isClientRetry) {
    this(id, requestClass, tenant, deadline, costHint, key, isWrite, isClientRetry, 0);
  }

  public RequestInfo {
    Objects.requireNonNull(id, "id");
    if (!Double.isFinite(deadline)) {
      throw new IllegalArgumentException("deadline of " + id + " is not finite: " + deadline);
    }
    if (!Double.isFinite(costHint)) {
      throw new IllegalArgumentException("cost hint of " + id + " is not finite: " + costHint);
    }
  }
}
