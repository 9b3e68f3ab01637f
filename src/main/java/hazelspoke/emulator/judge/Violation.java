package hazelspoke.emulator.judge;

import java.util.List;

/**
 * A violation of one of the rules that a rehearsal checks.
 *
 * @param txn the request id, or the host name if the violation concerns a host
 * @param details the observations of clients and hosts, one line each
 */
public record Violation(Rule rule, double atMs, String txn, String what, List<String> details) {
  public Violation {
    details = List.copyOf(details);
  }
}
