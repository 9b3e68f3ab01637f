package hazelspoke.emulator.net;

import hazelspoke.emulator.model.LinkState.AcceptMode;
import java.net.SocketAddress;

/** What lies between a host and those who call it: nothing, or the relays of {@link Links}. */
interface NetworkPath {
  /** Nothing. */
  NetworkPath NONE =
      new NetworkPath() {
        @Override
        public void setAcceptMode(AcceptMode door) {}

        @Override
        public double earliestSendTime(SocketAddress caller, double now) {
          return now;
        }
      };

  /** The host's own door is like this from now on. */
  void setAcceptMode(AcceptMode door);

  /**
   * The soonest that its caller can have sent what the host reads now.
   *
   * @param caller the other end of the connection, as the host sees it
   * @param now what holds where nothing lies between
   */
  double earliestSendTime(SocketAddress caller, double now);
}
