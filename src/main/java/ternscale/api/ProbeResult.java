package ternscale.api;

import java.util.List;
import java.util.Objects;

/** How a probe ended. {@code report} is empty when no load report came along. */
public record ProbeResult(
    String host, Outcome.Result result, double elapsedMs, List<Double> report) {
  public ProbeResult {
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(result, "result");
    report = List.copyOf(report);
  }
}
