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
 * Discovery: one list, and an address of its own for each gateway, so that it is known who was told
 * what. Asked, all calls wait for one service; pushed, each address is an agent that answers at
 * once.
 */
public final class Discovery {
  /** How many times as long a gateway may wait before it asks again, after a call that failed. */
  private static final double AFTER_FAILURE = 4;

  private static final double TICK_MS = 50;
  private static final double BEAT_MS = 2_000;

  /** Connections at an address that has been left are closed after this long. */
  private static final double LEFT_OPEN_MS = 1_500;

  private final EmulatorLoop stage;
  private final EventLog ledger;
  private final Registry registry;
  private final Links links;
  private final CallQueue queue;
  private final boolean asked;
  private final double mustAskMs;
  private final List<Desk> desks = new ArrayList<>();
  private boolean down;

  /**
   * @param links by which gateways reach hosts; null where they call them directly
   * @param mustAskMs a gateway that has neither watched nor asked for this long counts as told
   */
  public Discovery(
      EmulatorLoop stage,
      EventLog ledger,
      Registry registry,
      Links links,
      Script.Discovery script,
      double mustAskMs) {
    this.stage = stage;
    this.ledger = ledger;
    this.registry = registry;
    this.links = links;
    this.mustAskMs = mustAskMs;
    asked = script.mode() == Script.Mode.ASKED;
    queue = new CallQueue(asked ? script.linesPerS() : 0, script.callLines(), script.timeoutMs());
  }

  /** The addresses of one gateway's discovery; the first is where it is looked for first. */
  public void open(int gateway, InetSocketAddress address) {
    Desk desk = new Desk(gateway);
    desk.listen(address);
    desks.add(desk);
  }

  /** Starts the beat and the news. */
  public void start() {
    stage.at(stage.now() + TICK_MS, this::tick);
    stage.at(stage.now() + BEAT_MS, this::beat);
  }

  /** Everything a gateway knows from its configuration. */
  public void recordConfiguredHosts(int gateway) {
    for (Entry e : registry.all()) {
      tell(desks.get(gateway), e);
    }
  }

  /** Watches end and calls fail, or all is well again. */
  public void setUnavailable(boolean on) {
    down = on;
    if (on) {
      for (Desk desk : desks) {
        List.copyOf(desk.open).forEach(Channel::close);
      }
    }
  }

  /** Listens at another address for a gateway; the old one ends as PROTOCOL has it. */
  public void move(int gateway, InetSocketAddress address) {
    Desk desk = desks.get(gateway);
    desk.listener.close();
    List<Channel> before = List.copyOf(desk.open);
    desk.listen(address);
    stage.at(stage.now() + LEFT_OPEN_MS, () -> before.forEach(Channel::close));
  }

  /** What a gateway's process knew has gone with it. */
  public void gatewayRestarted(int gateway) {
    desks.get(gateway).told.clear();
    recordConfiguredHosts(gateway);
  }

  private void tick() {
    double now = stage.now();
    List<Entry> news = registry.advance(now);
    if (!news.isEmpty()) {
      for (Desk desk : desks) {
        if (!down) {
          desk.watches.forEach(w -> write(desk, w, news, false));
        }
        stage.at(now + mustAskMs, () -> countAsTold(desk, news, now));
      }
    }
    stage.at(now + TICK_MS, this::tick);
  }

  /** One that has not asked since counts as told; after a call that failed it has longer. */
  private void countAsTold(Desk desk, List<Entry> news, double since) {
    if (!desk.watches.isEmpty() || desk.heardAt >= since) {
      return;
    }
    double mayWait = AFTER_FAILURE * mustAskMs;
    if (desk.failedAt >= since && stage.now() < since + mayWait) {
      stage.at(since + mayWait, () -> countAsTold(desk, news, since));
    } else {
      for (Entry e : news) {
        ledger.notified(desk.gateway, e.name(), e.status() == Status.READY, stage.now());
      }
    }
  }

  private void beat() {
    for (Desk desk : desks) {
      for (Channel watch : desk.watches) {
        watch.writeAndFlush(chunk("\n"));
      }
    }
    stage.at(stage.now() + BEAT_MS, this::beat);
  }

  private void write(Desk desk, Channel watch, List<Entry> entries, boolean whole) {
    watch.writeAndFlush(chunk(json(desk.gateway, whole, entries) + "\n"));
    heard(desk, entries, whole);
  }

  private String json(int gateway, boolean whole, List<Entry> entries) {
    List<Entry> seen = links == null ? entries : links.seenBy(gateway, entries);
    return json(registry.index(), whole, seen);
  }

  /** The list as discovery writes it. */
  public static String json(long index, boolean whole, List<Entry> entries) {
    StringBuilder out = new StringBuilder(64 + 160 * entries.size());
    out.append("{\"index\":").append(index).append(",\"snapshot\":").append(whole);
    out.append(",\"endpoints\":[");
    for (int i = 0; i < entries.size(); i++) {
      Entry e = entries.get(i);
      out.append(i == 0 ? "" : ",");
      out.append("{\"name\":\"").append(e.name());
      out.append("\",\"address\":\"").append(e.address());
      out.append("\",\"zone\":\"").append(e.zone());
      out.append("\",\"type\":\"").append(e.kind());
      out.append("\",\"group\":").append(e.group());
      out.append(",\"status\":\"").append(e.status().word());
      out.append("\",\"weight\":1.0,\"since_ms\":").append(e.sinceMs()).append('}');
    }
    return out.append("]}").toString();
  }

  private void heard(Desk desk, List<Entry> entries, boolean whole) {
    desk.heardAt = stage.now();
    Set<String> named = new HashSet<>();
    for (Entry e : entries) {
      tell(desk, e);
      named.add(e.name());
    }
    if (whole) {
      for (String host : List.copyOf(desk.told)) {
        if (!named.contains(host)) {
          desk.told.remove(host);
          ledger.notified(desk.gateway, host, false, stage.now());
        }
      }
    }
  }

  private void tell(Desk desk, Entry e) {
    ledger.notified(desk.gateway, e.name(), e.status() == Status.READY, stage.now());
    if (e.status() == Status.GONE) {
      desk.told.remove(e.name());
    } else {
      desk.told.add(e.name());
    }
  }

  private static DefaultHttpContent chunk(String text) {
    return new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  /** What one gateway talks to. */
  private final class Desk {
    private final int gateway;
    private final Set<Channel> open = new LinkedHashSet<>();
    private final Set<Channel> watches = new LinkedHashSet<>();
    private final Set<String> told = new HashSet<>();
    private Channel listener;
    private double heardAt = Double.NEGATIVE_INFINITY;
    private double failedAt = Double.NEGATIVE_INFINITY;

    Desk(int gateway) {
      this.gateway = gateway;
    }

    void listen(InetSocketAddress address) {
      listener =
          new ServerBootstrap()
              .group(stage.loop())
              .channel(NioServerSocketChannel.class)
              .option(ChannelOption.SO_REUSEADDR, true)
              .childHandler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                      ch.pipeline()
                          .addLast(
                              new HttpServerCodec(),
                              new HttpObjectAggregator(Wire.MOST_BODY),
                              new Caller(Desk.this));
                    }
                  })
              .bind(address)
              .addListener(
                  done -> {
                    if (!done.isSuccess()) {
                      stage.fail("discovery cannot listen at " + address, done.cause());
                    }
                  })
              .channel();
    }
  }

  /** One connection to discovery. */
  private final class Caller extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Desk desk;

    Caller(Desk desk) {
      this.desk = desk;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      desk.open.add(ctx.channel());
      if (down && !asked) {
        // An agent is there, and silent.
        ctx.channel().config().setAutoRead(false);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      desk.open.remove(ctx.channel());
      desk.watches.remove(ctx.channel());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      QueryStringDecoder query = new QueryStringDecoder(request.uri());
      if (!query.path().equals("/v1/servers")) {
        ctx.writeAndFlush(Wire.answer(HttpResponseStatus.NOT_FOUND, ""));
        return;
      }
      boolean watch = query.parameters().containsKey("watch");
      long from = 0;
      try {
        from = Long.parseLong(query.parameters().getOrDefault("from", List.of("0")).get(0));
      } catch (NumberFormatException e) {
        // As from the beginning.
      }
      long since = watch ? from : 0;
      double now = stage.now();
      double at = down ? Double.NaN : queue.call(registry.since(since).size(), now);
      if (Double.isNaN(at)) {
        desk.failedAt = now;
        ctx.writeAndFlush(Wire.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, ""))
            .addListener(ChannelFutureListener.CLOSE);
      } else {
        stage.at(at, () -> answer(ctx.channel(), watch, since));
      }
    }

    private void answer(Channel channel, boolean watch, long since) {
      if (!channel.isActive() || down) {
        desk.failedAt = stage.now();
        channel.close();
        return;
      }
      List<Entry> entries = registry.since(since);
      boolean whole = since <= 0 || since > registry.index();
      if (watch) {
        DefaultHttpResponse head =
            new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        channel.write(head);
        desk.watches.add(channel);
        write(desk, channel, entries, whole);
      } else {
        channel.writeAndFlush(
            Wire.answer(HttpResponseStatus.OK, json(desk.gateway, true, entries)));
        heard(desk, entries, true);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
