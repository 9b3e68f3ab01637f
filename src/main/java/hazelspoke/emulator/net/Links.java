package hazelspoke.emulator.net;

import hazelspoke.emulator.model.LinkName;
import hazelspoke.emulator.model.LinkState.AcceptMode;
import hazelspoke.emulator.model.Registry.Entry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A separate loopback relay for every pair of a gateway and a host, so that a fault can be injected
 * between any two of them without privileges on the machine. Each gateway is given the addresses of
 * its own relays. Everything runs on the emulator's loop, whose clock then tells when a gateway
 * sent what a host has read, whatever the delay in between.
 */
public final class Links implements AutoCloseable {
  private static final int LOOPBACK_NET = 76;

  private final EmulatorLoop emulatorLoop;
  private final int gateways;
  private final Map<LinkName, Link> byName = new HashMap<>();
  private final Map<String, List<Link>> byHost = new HashMap<>();

  /** Creates links without any host, for gateways {@code g1} to {@code g<gateways>}. */
  public Links(EmulatorLoop emulatorLoop, int gateways) {
    this.emulatorLoop = emulatorLoop;
    this.gateways = gateways;
  }

  /** Opens a relay between each gateway and this host, which has not been started yet. */
  public void connectHost(Host host) throws IOException {
    List<Link> links = new ArrayList<>();
    // One map per host: the operating system may use one port for connections to several hosts.
    Map<SocketAddress, Link.RelayedConnection> connections = new HashMap<>();
    for (int g = 0; g < gateways; g++) {
      Link link =
          new Link(
              emulatorLoop,
              Ports.free(LOOPBACK_NET, byName.size()),
              host.address(),
              connections,
              host.name());
      byName.put(new LinkName("g" + (g + 1), host.name()), link);
      links.add(link);
    }
    byHost.put(Ports.text(host.address()), links);
    host.setCallerPath(
        new NetworkPath() {
          @Override
          public void setAcceptMode(AcceptMode mode) {
            links.forEach(link -> link.setHostAcceptMode(mode));
          }

          @Override
          public double earliestSendTime(SocketAddress caller, double now) {
            Link.RelayedConnection connection = connections.get(caller);
            return connection == null ? now : connection.lastSentAt();
          }
        });
  }

  /**
   * Opens a relay between every ordered pair of gateways, for the traffic between them.
   *
   * @param addresses the address on which each gateway listens for the others
   */
  public void connectGateways(List<InetSocketAddress> addresses) throws IOException {
    for (int from = 0; from < gateways; from++) {
      for (int to = 0; to < gateways; to++) {
        if (from != to) {
          String targetName = "g" + (to + 1);
          Link link =
              new Link(
                  emulatorLoop,
                  Ports.free(LOOPBACK_NET, byName.size()),
                  addresses.get(to),
                  new HashMap<>(),
                  targetName);
          byName.put(new LinkName("g" + (from + 1), targetName), link);
          link.setHostAcceptMode(AcceptMode.OPEN);
        }
      }
    }
  }

  /** The link from a gateway to a host or another gateway; a host is named by its original name. */
  public Link link(LinkName name) {
    return byName.get(name);
  }

  /** The list as a gateway receives it, with the addresses of its own relays. */
  public List<Entry> entriesFor(int gateway, List<Entry> entries) {
    return entries.stream().map(e -> entriesFor(gateway, e)).toList();
  }

  private Entry entriesFor(int gateway, Entry e) {
    List<Link> links = byHost.get(e.address());
    return links == null ? e : e.reachedAt(Ports.text(links.get(gateway).address()));
  }

  @Override
  public void close() {
    byName.values().forEach(Link::close);
  }
}
