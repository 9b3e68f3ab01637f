package hazelspoke.emulator.net;

import hazelspoke.emulator.model.LinkState.AcceptMode;
import java.net.SocketAddress;

/** The path between a host and its callers: a direct connection, or the relays of {@link Links}. */
interface NetworkPath {
  /** A direct connection. */
  NetworkPath DIRECT =
      new NetworkPath() {
        @Override
        public void setAcceptMode(AcceptMode mode) {}

        @Override
        public double earliestSendTime(SocketAddress caller, double now) {
          return now;
        }
      };

  /** Sets how the host's own address reacts to new connections. */
  void setAcceptMode(AcceptMode mode);

  /**
   * The earliest time at which the caller can have sent what the host reads now.
   *
   * @param caller the remote address of the connection, as the host sees it
   * @param now the result for a direct connection
   */
  double earliestSendTime(SocketAddress caller, double now);
}
