package hazelspoke.emulator.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Loopback addresses that keep their port over a restart: each has an IP of its own within
 * 127.0.0.0/8, which nobody else's connections are given ports of.
 */
public final class Ports {
  private static final int LOOPBACK = 127;
  private static final int BYTE = 256;

  private Ports() {}

  /**
   * A free port at the address of this number.
   *
   * @param net 1 to 255: who it is for
   * @param number 0 to 65,000
   */
  public static InetSocketAddress free(int net, int number) throws IOException {
    byte[] ip = {LOOPBACK, (byte) net, (byte) (number / BYTE), (byte) (1 + number % (BYTE - 2))};
    InetAddress address = InetAddress.getByAddress(ip);
    try (ServerSocket socket = new ServerSocket(0, 1, address)) {
      return new InetSocketAddress(address, socket.getLocalPort());
    }
  }

  /** As discovery and configurations write it. */
  public static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
