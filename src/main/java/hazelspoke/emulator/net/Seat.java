package hazelspoke.emulator.net;

import java.net.InetSocketAddress;

/** A gateway's place as the front layer sees it. */
public final class Seat {
  final int gateway;
  final int site;
  final InetSocketAddress address;

  /** Whether new connections are dealt to it; the front learns late that it died. */
  boolean dealt;

  /** Connections that clients have to it. */
  int connections;

  public Seat(int gateway, int site, InetSocketAddress address) {
    this.gateway = gateway;
    this.site = site;
    this.address = address;
  }

  public void deal(boolean on) {
    dealt = on;
  }

  public InetSocketAddress address() {
    return address;
  }

  public int gateway() {
    return gateway;
  }

  public int site() {
    return site;
  }
}
