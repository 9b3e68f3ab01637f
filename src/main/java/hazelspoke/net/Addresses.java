package hazelspoke.net;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Socket addresses as text. Only numeric addresses: there is no DNS, and a lookup would block the
 * event loop.
 */
public final class Addresses {
  private static final int MAX_PORT = 65_535;

  private Addresses() {}

  /** Parses an address such as 10.0.0.4:8081; returns null if it is invalid. */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    byte[] ip =
        colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    if (ip == null) {
      return null;
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return port < 0 || port > MAX_PORT
          ? null
          : new InetSocketAddress(InetAddress.getByAddress(ip), port);
    } catch (NumberFormatException | UnknownHostException e) {
      return null;
    }
  }

  /** Formats an address in the form that {@link #parse} accepts. */
  public static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
