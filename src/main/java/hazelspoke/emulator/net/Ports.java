package hazelspoke.emulator.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Loopback addresses that keep their port across a restart: each has its own IP within 127.0.0.0/8,
 * from which the operating system assigns no ports to other connections.
 */
public final class Ports {
  private static final int LOOPBACK = 127;
  private static final int BYTE_VALUES = 256;

  private Ports() {}

  /**
   * Returns the loopback address of this number with a free port.
   *
   * @param net second byte of the address, 1 to 255, one per user of this class
   * @param number 0 to 65,000
   */
  public static InetSocketAddress free(int net, int number) throws IOException {
    byte[] ip = {
      LOOPBACK, (byte) net, (byte) (number / BYTE_VALUES), (byte) (1 + number % (BYTE_VALUES - 2))
    };
    InetAddress address = InetAddress.getByAddress(ip);
    try (ServerSocket socket = new ServerSocket(0, 1, address)) {
      return new InetSocketAddress(address, socket.getLocalPort());
    }
  }

  /** Formats an address for discovery and configurations. */
  public static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
