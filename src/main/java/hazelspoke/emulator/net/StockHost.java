package hazelspoke.emulator.net;

import hazelspoke.emulator.model.ServerSpec;
import java.net.InetSocketAddress;
import java.util.function.DoubleUnaryOperator;

/** A stock server as the script handles it, here or in a process of its own. */
public interface StockHost {
  /** The name it is listed under. */
  String name();

  InetSocketAddress address();

  ServerSpec spec();

  /** Starts it, or starts it again; {@code cold} when it has to warm up first. */
  void start(boolean cold);

  /** The process dies: nothing listens, and open connections are reset. */
  void crash();

  /** Says nothing until {@link #thaw}, works on behind that, and then answers all at once. */
  void freeze();

  void thaw();

  /** Whether it takes requests, as far as is known. */
  boolean isUp();

  /** Whether it was pushed over while cold: it will not start again. */
  boolean hasFailedFromOverload();

  /** Requests that it holds, -1 where that is not known. */
  int heldRequests();

  /** Ends it for good. */
  default void close() {
    crash();
  }

  /** The machine vanishes: nothing more is said, and new connections never come up. */
  default void vanish() {
    throw new UnsupportedOperationException(name() + " runs apart and cannot vanish");
  }

  /** Says nothing and does nothing until {@link #resume}. */
  default void hang() {
    throw new UnsupportedOperationException(name() + " runs apart and cannot hang");
  }

  default void resume() {
    throw new UnsupportedOperationException(name() + " runs apart and cannot hang");
  }

  /** Cores slower by this factor. */
  default void setSlowdown(double factor) {
    throw new UnsupportedOperationException(name() + " runs apart and cannot be slowed");
  }

  /** Errors at this rate, by the time on the stage's clock. */
  default void setErrorRate(DoubleUnaryOperator rate) {
    throw new UnsupportedOperationException(name() + " runs apart and cannot be made to err");
  }

  /** Breaks off this share of its answers in the middle. */
  default void setResetRate(double rate) {
    throw new UnsupportedOperationException(name() + " runs apart and cannot break off");
  }

  /** Refuses new connections, or takes them again. */
  default void setRefusing(boolean on) {
    throw new UnsupportedOperationException(name() + " runs apart and cannot refuse");
  }

  /** Finishes what it has and turns away what is new. */
  default void drain() {
    throw new UnsupportedOperationException(name() + " runs apart and cannot drain");
  }

  /** Ends; from now on this machine is another host, under this name. */
  default void rename(String other) {
    throw new UnsupportedOperationException(name() + " runs apart and cannot be replaced");
  }
}
