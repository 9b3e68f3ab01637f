package hazelspoke.operations;

/** The gateway as the management listener sees it. Methods may be called from any thread. */
public interface ManagedGateway {
  /** Returns whether this process accepts clients. */
  boolean isReady();

  /**
   * Begins or ends a drain. While it lasts, the gateway asks the load balancer in front of it to
   * send no new clients, and asks clients to reconnect elsewhere. In effect when this returns.
   *
   * @return false if the gateway has not started yet or is shutting down
   */
  boolean setDraining(boolean on);

  /** Returns the metrics, one line each. */
  String metrics();
}
