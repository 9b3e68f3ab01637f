package hazelspoke.emulator.net;

import hazelspoke.emulator.model.ServerSpec;
import java.net.InetSocketAddress;
import java.util.function.DoubleUnaryOperator;

/** A stock server as the script controls it, in this process or in a process of its own. */
public interface StockHost {
  /** The name under which discovery lists it. */
  String name();

  InetSocketAddress address();

  ServerSpec spec();

  /** Starts or restarts it; a {@code cold} start has to warm up first. */
  void start(boolean cold);

  /** Ends the process: nothing listens, and open connections are reset. */
  void crash();

  /**
   * Suspends all responses until {@link #thaw}; work goes on, and all responses are sent together
   * afterwards.
   */
  void freeze();

  void thaw();

  /** Whether it accepts requests, as far as is known. */
  boolean isUp();

  /** Whether it failed from overload while cold; it does not start again. */
  boolean hasFailedFromOverload();

  /** Requests queued or running, or -1 if unknown. */
  int heldRequests();

  /** Ends it permanently. */
  default void close() {
    crash();
  }

  /** Makes the machine vanish: nothing more is sent, and new connections are never established. */
  default void vanish() {
    throw new UnsupportedOperationException(
        name() + " runs in a process of its own and cannot vanish");
  }

  /** Suspends responses and work until {@link #resume}. */
  default void hang() {
    throw new UnsupportedOperationException(
        name() + " runs in a process of its own and cannot hang");
  }

  default void resume() {
    throw new UnsupportedOperationException(
        name() + " runs in a process of its own and cannot hang");
  }

  /** Slows the cores by this factor. */
  default void setSlowdown(double factor) {
    throw new UnsupportedOperationException(
        name() + " runs in a process of its own and cannot be slowed");
  }

  /** Sets the error rate as a function of the time on the emulator's clock. */
  default void setErrorRate(DoubleUnaryOperator rate) {
    throw new UnsupportedOperationException(
        name() + " runs in a process of its own and cannot be made to fail requests");
  }

  /** Truncates this share of its responses with a reset. */
  default void setResetRate(double rate) {
    throw new UnsupportedOperationException(
        name() + " runs in a process of its own and cannot truncate responses");
  }

  /** Refuses new connections, or accepts them again. */
  default void setRefusing(boolean on) {
    throw new UnsupportedOperationException(
        name() + " runs in a process of its own and cannot refuse connections");
  }

  /** Finishes accepted requests and rejects new ones. */
  default void drain() {
    throw new UnsupportedOperationException(
        name() + " runs in a process of its own and cannot drain");
  }

  /** Ends the host; from now on this machine is another host with this name. */
  default void rename(String other) {
    throw new UnsupportedOperationException(
        name() + " runs in a process of its own and cannot be replaced");
  }
}
