package hazelspoke.emulator.judge;

import java.util.List;

/**
 * One breach of a rule.
 *
 * @param txn the request, or the host where it is about one
 * @param details what clients and hosts saw of it, a line each
 */
public record Breach(Rule rule, double atMs, String txn, String what, List<String> details) {
  public Breach {
    details = List.copyOf(details);
  }
}
