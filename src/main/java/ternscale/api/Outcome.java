package ternscale.api;

import java.util.List;
import java.util.Objects;

/** How an attempt ended. {@code report} is empty when no load report came along. */
public record Outcome(
    String requestId,
    String host,
    int attempt,
    Result result,
    double elapsedMs,
    boolean requestEnded,
    List<Double> report) {
  /** The ways in which an attempt or a probe can end. */
  public enum Result {
    OK(false),
    ERROR(false),
    REJECTED(true),
    TIMEOUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    CANCELLED(false),
    NOT_SENT(true);

    private final boolean neverRan;

    Result(boolean neverRan) {
      this.neverRan = neverRan;
    }

    /** True when this result proves that the host never ran the request. */
    public boolean neverRan() {
      return neverRan;
    }
  }

  public Outcome {
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(result, "result");
    report = List.copyOf(report);
  }
}
