package hazelspoke.emulator.net;

import hazelspoke.emulator.judge.EventLog;
import hazelspoke.emulator.model.CallQueue;
import hazelspoke.emulator.model.Registry;
import hazelspoke.emulator.model.Registry.Entry;
import hazelspoke.emulator.model.Registry.Status;
import hazelspoke.emulator.script.Script;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Discovery: one host list and a separate address for each gateway, so that it is known what each
 * gateway was informed of. In mode {@code ASKED} all calls queue for one shared service; in mode
 * {@code PUSHED} each address is an agent that answers at once.
 */
public final class Discovery {
  /** Factor by which a gateway may wait longer before its next call after a failed one. */
  private static final double FAILURE_WAIT_FACTOR = 4;

  private static final double PUBLISH_INTERVAL_MS = 50;
  private static final double KEEPALIVE_INTERVAL_MS = 2_000;

  /** Connections to the previous address are closed this long after a move. */
  private static final double MOVED_CONNECTION_GRACE_MS = 1_500;

  private final EmulatorLoop emulatorLoop;
  private final EventLog ledger;
  private final Registry registry;
  private final Links links;
  private final CallQueue queue;
  private final boolean isOnRequest;
  private final double maxUnaskedMs;
  private final List<GatewayView> views = new ArrayList<>();
  private boolean isUnavailable;

  /**
   * @param links the relays by which gateways reach hosts; null if they connect directly
   * @param maxUnaskedMs a gateway that has neither watched nor called for this long counts as
   *     informed
   */
  public Discovery(
      EmulatorLoop emulatorLoop,
      EventLog ledger,
      Registry registry,
      Links links,
      Script.Discovery script,
      double maxUnaskedMs) {
    this.emulatorLoop = emulatorLoop;
    this.ledger = ledger;
    this.registry = registry;
    this.links = links;
    this.maxUnaskedMs = maxUnaskedMs;
    isOnRequest = script.mode() == Script.Mode.ASKED;
    queue =
        new CallQueue(isOnRequest ? script.linesPerS() : 0, script.callLines(), script.timeoutMs());
  }

  /** Opens the discovery address of a gateway; call it in the order of the gateways' numbers. */
  public void open(int gateway, InetSocketAddress address) {
    GatewayView view = new GatewayView(gateway);
    view.listen(address);
    views.add(view);
  }

  /** Starts the keepalives and the publication of changes. */
  public void start() {
    emulatorLoop.at(emulatorLoop.now() + PUBLISH_INTERVAL_MS, this::publishChanges);
    emulatorLoop.at(emulatorLoop.now() + KEEPALIVE_INTERVAL_MS, this::sendKeepalive);
  }

  /** Records the hosts that a gateway knows from its configuration. */
  public void recordConfiguredHosts(int gateway) {
    for (Entry e : registry.all()) {
      recordEntry(views.get(gateway), e);
    }
  }

  /** Makes discovery unavailable, so that watches end and calls fail, or available again. */
  public void setUnavailable(boolean on) {
    isUnavailable = on;
    if (on) {
      for (GatewayView view : views) {
        List.copyOf(view.connections).forEach(Channel::close);
      }
    }
  }

  /**
   * Listens at another address for a gateway. The previous listener closes at once, its connections
   * after a grace period as the protocol defines.
   */
  public void move(int gateway, InetSocketAddress address) {
    GatewayView view = views.get(gateway);
    view.listener.close();
    List<Channel> before = List.copyOf(view.connections);
    view.listen(address);
    emulatorLoop.at(
        emulatorLoop.now() + MOVED_CONNECTION_GRACE_MS, () -> before.forEach(Channel::close));
  }

  /** Forgets what the previous process of a gateway was informed of. */
  public void gatewayRestarted(int gateway) {
    views.get(gateway).listedHosts.clear();
    recordConfiguredHosts(gateway);
  }

  private void publishChanges() {
    double now = emulatorLoop.now();
    List<Entry> changes = registry.advance(now);
    if (!changes.isEmpty()) {
      for (GatewayView view : views) {
        if (!isUnavailable) {
          view.watches.forEach(w -> write(view, w, changes, false));
        }
        emulatorLoop.at(now + maxUnaskedMs, () -> assumeInformed(view, changes, now));
      }
    }
    emulatorLoop.at(now + PUBLISH_INTERVAL_MS, this::publishChanges);
  }

  /** Treats a gateway that has not called since as informed; after a failed call it has longer. */
  private void assumeInformed(GatewayView view, List<Entry> changes, double since) {
    if (!view.watches.isEmpty() || view.lastResponseAt >= since) {
      return;
    }
    double extendedWaitMs = FAILURE_WAIT_FACTOR * maxUnaskedMs;
    if (view.lastFailureAt >= since && emulatorLoop.now() < since + extendedWaitMs) {
      emulatorLoop.at(since + extendedWaitMs, () -> assumeInformed(view, changes, since));
    } else {
      for (Entry e : changes) {
        ledger.notified(view.gateway, e.name(), e.status() == Status.READY, emulatorLoop.now());
      }
    }
  }

  private void sendKeepalive() {
    for (GatewayView view : views) {
      for (Channel watch : view.watches) {
        watch.writeAndFlush(chunk("\n"));
      }
    }
    emulatorLoop.at(emulatorLoop.now() + KEEPALIVE_INTERVAL_MS, this::sendKeepalive);
  }

  private void write(GatewayView view, Channel watch, List<Entry> entries, boolean isSnapshot) {
    watch.writeAndFlush(chunk(json(view.gateway, isSnapshot, entries) + "\n"));
    recordList(view, entries, isSnapshot);
  }

  private String json(int gateway, boolean isSnapshot, List<Entry> entries) {
    List<Entry> seen = links == null ? entries : links.entriesFor(gateway, entries);
    return json(registry.index(), isSnapshot, seen);
  }

  /** Formats the list for discovery's protocol. */
  public static String json(long index, boolean isSnapshot, List<Entry> entries) {
    StringBuilder out = new StringBuilder(64 + 160 * entries.size());
    out.append("{\"index\":").append(index).append(",\"snapshot\":").append(isSnapshot);
    out.append(",\"endpoints\":[");
    for (int i = 0; i < entries.size(); i++) {
      Entry e = entries.get(i);
      out.append(i == 0 ? "" : ",");
      out.append("{\"name\":\"").append(e.name());
      out.append("\",\"address\":\"").append(e.address());
      out.append("\",\"zone\":\"").append(e.zone());
      out.append("\",\"type\":\"").append(e.kind());
      out.append("\",\"group\":").append(e.group());
      out.append(",\"status\":\"").append(e.status().wireName());
      out.append("\",\"weight\":1.0,\"since_ms\":").append(e.sinceMs()).append('}');
    }
    return out.append("]}").toString();
  }

  private void recordList(GatewayView view, List<Entry> entries, boolean isSnapshot) {
    view.lastResponseAt = emulatorLoop.now();
    Set<String> listed = new HashSet<>();
    for (Entry e : entries) {
      recordEntry(view, e);
      listed.add(e.name());
    }
    if (isSnapshot) {
      for (String host : List.copyOf(view.listedHosts)) {
        if (!listed.contains(host)) {
          view.listedHosts.remove(host);
          ledger.notified(view.gateway, host, false, emulatorLoop.now());
        }
      }
    }
  }

  private void recordEntry(GatewayView view, Entry e) {
    ledger.notified(view.gateway, e.name(), e.status() == Status.READY, emulatorLoop.now());
    if (e.status() == Status.GONE) {
      view.listedHosts.remove(e.name());
    } else {
      view.listedHosts.add(e.name());
    }
  }

  private static DefaultHttpContent chunk(String text) {
    return new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  /** The discovery address of one gateway and what this gateway was informed of. */
  private final class GatewayView {
    private final int gateway;
    private final Set<Channel> connections = new LinkedHashSet<>();
    private final Set<Channel> watches = new LinkedHashSet<>();
    private final Set<String> listedHosts = new HashSet<>();
    private Channel listener;
    private double lastResponseAt = Double.NEGATIVE_INFINITY;
    private double lastFailureAt = Double.NEGATIVE_INFINITY;

    GatewayView(int gateway) {
      this.gateway = gateway;
    }

    void listen(InetSocketAddress address) {
      listener =
          new ServerBootstrap()
              .group(emulatorLoop.loop())
              .channel(NioServerSocketChannel.class)
              .option(ChannelOption.SO_REUSEADDR, true)
              .childHandler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                      ch.pipeline()
                          .addLast(
                              new HttpServerCodec(),
                              new HttpObjectAggregator(Wire.MAX_BODY_BYTES),
                              new DiscoveryHandler(GatewayView.this));
                    }
                  })
              .bind(address)
              .addListener(
                  done -> {
                    if (!done.isSuccess()) {
                      emulatorLoop.fail("discovery cannot listen at " + address, done.cause());
                    }
                  })
              .channel();
    }
  }

  /** One connection to discovery. */
  private final class DiscoveryHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final GatewayView view;

    DiscoveryHandler(GatewayView view) {
      this.view = view;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      view.connections.add(ctx.channel());
      if (isUnavailable && !isOnRequest) {
        // An unavailable agent accepts connections and does not respond.
        ctx.channel().config().setAutoRead(false);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      view.connections.remove(ctx.channel());
      view.watches.remove(ctx.channel());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      QueryStringDecoder query = new QueryStringDecoder(request.uri());
      if (!query.path().equals("/v1/servers")) {
        ctx.writeAndFlush(Wire.response(HttpResponseStatus.NOT_FOUND, ""));
        return;
      }
      boolean watch = query.parameters().containsKey("watch");
      long from = 0;
      try {
        from = Long.parseLong(query.parameters().getOrDefault("from", List.of("0")).get(0));
      } catch (NumberFormatException e) {
        // An invalid version counts as 0.
      }
      long since = watch ? from : 0;
      double now = emulatorLoop.now();
      double at = isUnavailable ? Double.NaN : queue.call(registry.since(since).size(), now);
      if (Double.isNaN(at)) {
        view.lastFailureAt = now;
        ctx.writeAndFlush(Wire.response(HttpResponseStatus.SERVICE_UNAVAILABLE, ""))
            .addListener(ChannelFutureListener.CLOSE);
      } else {
        emulatorLoop.at(at, () -> answer(ctx.channel(), watch, since));
      }
    }

    private void answer(Channel channel, boolean watch, long since) {
      if (!channel.isActive() || isUnavailable) {
        view.lastFailureAt = emulatorLoop.now();
        channel.close();
        return;
      }
      List<Entry> entries = registry.since(since);
      boolean isSnapshot = since <= 0 || since > registry.index();
      if (watch) {
        DefaultHttpResponse head =
            new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        channel.write(head);
        view.watches.add(channel);
        write(view, channel, entries, isSnapshot);
      } else {
        channel.writeAndFlush(
            Wire.response(HttpResponseStatus.OK, json(view.gateway, true, entries)));
        recordList(view, entries, true);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
