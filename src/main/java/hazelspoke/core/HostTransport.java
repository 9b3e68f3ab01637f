package hazelspoke.core;

import java.net.InetSocketAddress;
import java.util.Set;
import ternscale.api.HostEntry;

/** Sends calls to hosts; implemented by a back end. */
public interface HostTransport {
  /** A call in progress. */
  interface CallHandle {
    /**
     * Whether any byte of the call was handed to the socket; such a call counts as started when its
     * host drains.
     */
    boolean isFirstByteSent();

    /**
     * Whether the last byte was handed to the socket, so that the host may have started to execute
     * the call.
     */
    boolean isLastByteSent();

    /**
     * Whether the call has got a socket, so that a delay may be the host's. Until then it waits for
     * this process.
     */
    default boolean hasReachedHost() {
      return true;
    }

    /**
     * Delivers an answer that the host has begun; the remainder follows as it arrives. Returns
     * false if no answer has begun that could be delivered.
     */
    boolean deliverIncompleteAnswer();

    /** Describes who is waited for, for the log. */
    String describeWait();

    /** Cancels the call, which receives no further notification. Does nothing if it has ended. */
    void cancel();
  }

  /** Starts a call. Its end is reported in a later event-loop iteration. */
  CallHandle start(String host, HostCall call);

  /** Closes the idle connections to a host. */
  void closeIdle(String host);

  /**
   * Sets the address of a host; the address can change while the name stays. An address belongs to
   * one host at a time, the one that started last.
   *
   * @return the host that had this address until now and is removed by this call, or null
   */
  HostEntry setAddress(HostEntry host, InetSocketAddress address);

  /** Removes a host that is no longer listed; calls in progress continue. */
  void remove(String host);

  /** Removes all hosts except these. */
  void retainOnly(Set<String> hosts);
}
