package hazelspoke.emulator.net;

import java.net.InetSocketAddress;

/** A gateway's address and state as seen by the load balancer of its site. */
public final class GatewayEndpoint {
  final int gateway;
  final int site;
  final InetSocketAddress address;

  /** Whether it receives new connections; the load balancer detects a failed gateway with delay. */
  boolean inRotation;

  /** Open client connections to it. */
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
