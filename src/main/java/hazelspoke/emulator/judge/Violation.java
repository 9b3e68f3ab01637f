package hazelspoke.emulator.judge;

import java.util.List;

/**
 * One breach of a rule.
 *
 * @param txn the request, or the host where it is about one
 * @param details what clients and hosts saw of it, a line each
 */
public record Violation(Rule rule, double atMs, String txn, String what, List<String> details) {
  public Violation {
    details = List.copyOf(details);
  }
}
