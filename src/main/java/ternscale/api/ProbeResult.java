package ternscale.api;

import java.util.List;
import java.util.Objects;

/** The outcome of a probe. {@code report} is empty without a load report. */
public record ProbeResult(
    String host, Outcome.Result result, double elapsedMs, List<Double> report) {
  public ProbeResult {
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(result, "result");
    report = List.copyOf(report);
  }
}
