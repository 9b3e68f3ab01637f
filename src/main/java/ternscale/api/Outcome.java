package ternscale.api;

import java.util.List;
import java.util.Objects;

/**
 * The outcome of an attempt. {@code report} is empty without a load report; for {@code
 * gatewayDelayMs} of the elapsed time the gateway itself was late, not the host.
 */
public record Outcome(
    String requestId,
    String host,
    int attempt,
    Result result,
    double elapsedMs,
    boolean requestEnded,
    List<Double> report,
    double gatewayDelayMs) {
  /** Result of an attempt or a probe. */
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

    /** Whether this result proves that the host never ran the request. */
    public boolean neverRan() {
      return neverRan;
    }
  }

  /** Creates an outcome without a delay in the gateway. */
  public Outcome(
      String requestId,
      String host,
      int attempt,
      Result result,
      double elapsedMs,
      boolean requestEnded,
      List<Double> report) {
    this(requestId, host, attempt, result, elapsedMs, requestEnded, report, 0);
  }

  public Outcome {
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(result, "result");
    report = List.copyOf(report);
  }
}
