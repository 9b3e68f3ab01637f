package hazelspoke.net;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Socket addresses as text. Only figures: there is no DNS, and a look-up would stop the loop. */
public final class Addresses {
  private static final int MAX_PORT = 65_535;

  private Addresses() {}

  /** The address that {@code text}, such as 10.0.0.4:8081, stands for; null if it is none. */
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

  /** An address as {@link #parse} takes it. */
  public static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
