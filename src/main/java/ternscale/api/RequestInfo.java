package ternscale.api;

import java.util.Objects;

/**
 * A client request. {@code deadline} is the clock time at which the client gives this try up;
 * {@code costHint} is expected work in milliseconds on a standard core, 0 when there is none;
 * {@code key} may be null; {@code readDelayMs} is how long it waited to be read,
 * which counts towards its latency.
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
  /** One that was read as soon as it came. */
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
      throw new IllegalArgumentException("deadline of " + id + " is no time: " + deadline);
    }
    if (!Double.isFinite(costHint)) {
      throw new IllegalArgumentException("cost hint of " + id + " is no number: " + costHint);
    }
  }
}
