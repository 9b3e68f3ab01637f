package ternscale.api;

import java.util.Objects;

/** One host as listed by discovery. A {@code startedAt} of 0 means that it started long ago. */
public record HostEntry(
    String host,
    double weight,
    int hardwareType,
    int zone,
    int cell,
    Availability availability,
    double startedAt) {
  /** Whether a host accepts new requests. */
  public enum Availability {
    UP,
    DRAINING,
    GONE
  }

  public HostEntry {
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(availability, "availability");
    if (!(weight >= 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException(
          "weight of " + host + " must be finite and at least 0: " + weight);
    }
  }

  /** This entry with another availability. */
  public HostEntry withAvailability(Availability now) {
    return new HostEntry(host, weight, hardwareType, zone, cell, now, startedAt);
  }
}
