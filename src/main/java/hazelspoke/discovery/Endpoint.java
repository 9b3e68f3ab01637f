package hazelspoke.discovery;

import java.net.InetSocketAddress;

/**
 * An address of discovery, as one configuration named it.
 *
 * @param generation counts the changes of the address, so that an address that is configured again
 *     later is another endpoint
 */
record Endpoint(InetSocketAddress address, long generation) {
  boolean hasAddressOf(Endpoint other) {
    return address.equals(other.address);
  }
}
