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
 * A relay of its own on loopback for every pair of a gateway and a host, so that a fault can be put
 * between any two of them without any rights on the machine. Each gateway is told the addresses of
 * its own relays. All on the stage's loop, whose clock then says when a gateway sent what a host
 * has read, however long it was under way.
 */
public final class Links implements AutoCloseable {
  private static final int NET = 76;

  private final EmulatorLoop stage;
  private final int gateways;
  private final Map<LinkName, Link> byName = new HashMap<>();
  private final Map<String, List<Link>> byHost = new HashMap<>();

  /** One with no host joined yet, for gateways {@code g1} to {@code g<gateways>}. */
  public Links(EmulatorLoop stage, int gateways) {
    this.stage = stage;
    this.gateways = gateways;
  }

  /** Puts a relay between each gateway and this host, which is not up yet. */
  public void join(Host host) throws IOException {
    List<Link> links = new ArrayList<>();
    // For each host by itself: the system gives one port to connections to several of them.
    Map<SocketAddress, Link.Passage> passages = new HashMap<>();
    for (int g = 0; g < gateways; g++) {
      Link link =
          new Link(stage, Ports.free(NET, byName.size()), host.address(), passages, host.name());
      byName.put(new LinkName("g" + (g + 1), host.name()), link);
      links.add(link);
    }
    byHost.put(Ports.text(host.address()), links);
    host.setCallerPath(
        new NetworkPath() {
          @Override
          public void setAcceptMode(AcceptMode door) {
            links.forEach(link -> link.setHostAcceptMode(door));
          }

          @Override
          public double earliestSendTime(SocketAddress caller, double now) {
            Link.Passage passage = passages.get(caller);
            return passage == null ? now : passage.lastSentAt();
          }
        });
  }

  /**
   * Puts a relay between every ordered pair of gateways, for what these have to say to one another.
   *
   * @param addresses where each listens for the others
   */
  public void joinGateways(List<InetSocketAddress> addresses) throws IOException {
    for (int from = 0; from < gateways; from++) {
      for (int to = 0; to < gateways; to++) {
        if (from != to) {
          String far = "g" + (to + 1);
          Link link =
              new Link(
                  stage, Ports.free(NET, byName.size()), addresses.get(to), new HashMap<>(), far);
          byName.put(new LinkName("g" + (from + 1), far), link);
          link.setHostAcceptMode(AcceptMode.OPEN);
        }
      }
    }
  }

  /**
   * The way from a gateway to a host or another gateway; the host by the name under which it was
   * drawn.
   */
  public Link link(LinkName name) {
    return byName.get(name);
  }

  /** The list as one gateway is told it: with the addresses of its own ways. */
  public List<Entry> seenBy(int gateway, List<Entry> entries) {
    return entries.stream().map(e -> seenBy(gateway, e)).toList();
  }

  private Entry seenBy(int gateway, Entry e) {
    List<Link> links = byHost.get(e.address());
    return links == null ? e : e.reachedAt(Ports.text(links.get(gateway).address()));
  }

  @Override
  public void close() {
    byName.values().forEach(Link::close);
  }
}
