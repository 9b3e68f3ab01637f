package hazelspoke.emulator.net;

import java.net.InetSocketAddress;

/** A gateway's place as the front layer sees it. */
public final class GatewayEndpoint {
  final int gateway;
  final int site;
  final InetSocketAddress address;

  /** Whether new connections are dealt to it; the front learns late that it died. */
  boolean inRotation;

  /** Connections that clients have to it. */
  int connections;

  public GatewayEndpoint(int gateway, int site, InetSocketAddress address) {
    this.gateway = gateway;
    this.site = site;
    this.address = address;
  }

  public void setInRotation(boolean on) {
    inRotation = on;
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
