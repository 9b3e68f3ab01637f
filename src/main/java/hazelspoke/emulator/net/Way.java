package hazelspoke.emulator.net;

import hazelspoke.emulator.model.LinkState.Door;
import java.net.SocketAddress;

/** What lies between a host and those who call it: nothing, or the relays of {@link Links}. */
interface Way {
  /** Nothing. */
  Way NONE =
      new Way() {
        @Override
        public void door(Door door) {}

        @Override
        public double earliest(SocketAddress caller, double now) {
          return now;
        }
      };

  /** The host's own door is like this from now on. */
  void door(Door door);

  /**
   * The soonest that its caller can have sent what the host reads now.
   *
   * @param caller the other end of the connection, as the host sees it
   * @param now what holds where nothing lies between
   */
  double earliest(SocketAddress caller, double now);
}
