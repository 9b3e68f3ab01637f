package hazelspoke.core;

import java.net.InetSocketAddress;
import java.util.Set;
import ternscale.api.HostEntry;

/** The ways to the hosts: a back. */
public interface HostTransport {
  /** One call under way. */
  interface CallHandle {
    /** Whether any of the call was handed to the socket: for a host that drains it counts so. */
    boolean isFirstByteSent();

    /** Whether the host may have begun the call: its last byte was handed to the socket. */
    boolean isLastByteSent();

    /** Stops waiting; the call is told nothing more. Harmless for one that has ended. */
    void cancel();
  }

  /** Starts a call, which is told how it ended on a later turn of the loop. */
  CallHandle start(String host, HostCall call);

  /** Closes the connections to a host that rest. */
  void closeIdle(String host);

  /**
   * Where a host is reached; its address may change while its name stays. An address belongs to one
   * host at a time, the one that started last.
   *
   * @return the host that was known at this address until now and has gone with that, or null
   */
  HostEntry setAddress(HostEntry host, InetSocketAddress address);

  /** Lets go of a host that is listed no more; calls on their way to it go on. */
  void remove(String host);

  /** Lets go of all but these. */
  void retainOnly(Set<String> hosts);
}
