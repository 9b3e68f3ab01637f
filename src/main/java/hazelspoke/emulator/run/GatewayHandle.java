package hazelspoke.emulator.run;

/** Controls a launched gateway. */
public interface GatewayHandle extends AutoCloseable {
  /** A signal to a gateway. */
  enum Signal {
    TERM,
    KILL,
    STOP,
    CONT,
    HUP
  }

  /**
   * Sends a signal without waiting for its effect.
   *
   * @throws UnsupportedOperationException if this kind of gateway does not support the signal
   */
  void signal(Signal signal);

  /**
   * Makes file writes of the process fail, or work again.
   *
   * @throws UnsupportedOperationException if the gateway has no process of its own
   */
  default void diskFull(boolean full) {
    throw new UnsupportedOperationException("the gateway has no process of its own");
  }

  boolean isAlive();

  /** Returns the process id, or -1 if the gateway has no process of its own. */
  long pid();

  /** Kills the gateway and waits for its end. */
  @Override
  void close();
}
