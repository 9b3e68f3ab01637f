package ternscale.api;

import java.util.Objects;

/** One host as discovery lists it. {@code startedAt} of 0 means long ago. */
public record HostEntry(
    String host,
    double weight,
    int hardwareType,
    int zone,
    int cell,
    Availability availability,
    double startedAt) {
  /** Whether a host may be sent to. */
  public enum Availability {
    UP,
    DRAINING,
    REMOVED
  }

  public HostEntry {
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(availability, "availability");
    if (!(weight >= 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException("weight of " + host + " must be 0 or more: " + weight);
    }
  }

  /** The same host with other news of whether it may be sent to. */
  public HostEntry withAvailability(Availability now) {
    return new HostEntry(host, weight, hardwareType, zone, cell, now, startedAt);
  }
}
