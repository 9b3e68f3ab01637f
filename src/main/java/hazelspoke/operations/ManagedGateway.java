package hazelspoke.operations;

/** What of a gateway operators may ask and change. May be called from any thread. */
public interface ManagedGateway {
  /** Whether this process takes clients. */
  boolean isReady();

  /**
   * Begins or ends a drain: while it lasts the gateway tells the front layer to send nobody new,
   * and clients to go elsewhere. In force when this returns.
   *
   * @return false if the gateway cannot, as it has not started yet or is leaving for good
   */
  boolean setDraining(boolean on);

  /** The figures, a line each. */
  String metrics();
}
