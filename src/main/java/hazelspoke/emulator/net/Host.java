package hazelspoke.emulator.net;

import hazelspoke.emulator.judge.EventLog.AttemptEnd;
import hazelspoke.emulator.model.ColdOverloadDetector;
import hazelspoke.emulator.model.IdempotencyWindow;
import hazelspoke.emulator.model.Job;
import hazelspoke.emulator.model.LinkState.AcceptMode;
import hazelspoke.emulator.model.SeededRandom;
import hazelspoke.emulator.model.ServerSpec;
import hazelspoke.emulator.model.StockServer;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.function.DoubleUnaryOperator;

/**
 * One stock server on a real socket: {@link StockServer} decides when a request is done, this
 * carries it to and fro and fails as told. All on the stage's loop.
 */
public final class Host implements StockHost {
  private static final double MS = 1_000;
  private static final double SWEEP_MS = 250;
  private static final int BACKLOG = 512;
  private static final int BIND_TRIES = 50;
  private static final double BIND_AGAIN_MS = 5;

  /** How the fleet's hosts behave, whichever they are. */
  public record Rules(
      boolean dropsCancelled,
      boolean dropsExpired,
      double fallMultiple,
      double fallMs,
      double attemptNoise,
      long seed) {}

  private final EmulatorLoop stage;
  private final Rules rules;
  private final IdempotencyWindow repeats;
  private final HostSink sink;
  private final ServerSpec spec;
  private final Set<Connection> connections = new LinkedHashSet<>();
  private final Deque<Runnable> held = new ArrayDeque<>();
  private final Deque<double[]> reports = new ArrayDeque<>();
  private String name;
  private final InetSocketAddress address;
  private Channel listener;
  private BlackHole blackHole;
  private NetworkPath way = NetworkPath.NONE;
  private StockServer server;
  private ColdOverloadDetector guard;
  private ScheduledFuture<?> wake;
  private double wakeAt;
  private int holds;
  private boolean stalled;
  private boolean up;
  private boolean fallen;
  private double slowBy = 1;
  private DoubleUnaryOperator errorRate = at -> 0;
  private double resetRate;
  private long seen;
  private long repeated;
  private long reported;
  private double reportedErrors;
  private double reportedAt;

  /** A host that is down until it is started. */
  public Host(
      EmulatorLoop stage,
      ServerSpec spec,
      InetSocketAddress address,
      Rules rules,
      IdempotencyWindow repeats,
      HostSink sink) {
    this.stage = stage;
    this.spec = spec;
    this.name = spec.name();
    this.address = address;
    this.rules = rules;
    this.repeats = repeats;
    this.sink = sink;
  }

  @Override
  public void start(boolean cold) {
    if (fallen || up) {
      return;
    }
    closeBlackHole();
    double now = stage.now();
    up = true;
    holds = 0;
    held.clear();
    server =
        new StockServer(
            spec,
            rules.dropsCancelled(),
            rules.dropsExpired(),
            cold ? now : Double.NEGATIVE_INFINITY,
            now,
            (job, end, at) -> ((Call) job.tag).ended(end));
    server.setSlowdown(slowBy, now);
    guard = new ColdOverloadDetector(rules.fallMultiple(), rules.fallMs());
    listen(BIND_TRIES);
    sweep(server);
    ownPauses(server, 0);
    report(server);
  }

  /** From now on its callers come by this; before it is started. */
  void setCallerPath(NetworkPath between) {
    way = between;
  }

  /**
   * The system may hold the address of a listener that was closed on this same turn of the loop
   * until the next one: then it is tried again.
   */
  private void listen(int tries) {
    listener =
        new ServerBootstrap()
            .group(stage.loop())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel ch) {
                    ch.pipeline()
                        .addLast(
                            new HttpServerCodec(),
                            new HttpObjectAggregator(Wire.MOST_BODY),
                            new Connection(ch));
                  }
                })
            .bind(address)
            .addListener(
                done -> {
                  if (done.isSuccess()) {
                    way.setAcceptMode(
                        up && listener != null ? AcceptMode.OPEN : AcceptMode.REFUSING);
                  } else if (tries > 0) {
                    StockServer of = server;
                    stage.at(
                        stage.now() + BIND_AGAIN_MS,
                        () -> {
                          if (server == of && up) {
                            listen(tries - 1);
                          }
                        });
                  } else {
                    stage.fail(name + " cannot listen at " + address, done.cause());
                  }
                })
            .channel();
  }

  @Override
  public InetSocketAddress address() {
    return address;
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public ServerSpec spec() {
    return spec;
  }

  @Override
  public boolean isUp() {
    return up;
  }

  @Override
  public boolean hasFailedFromOverload() {
    return fallen;
  }

  @Override
  public int heldRequests() {
    return up ? server.heldRequests() + held.size() : 0;
  }

  /** Repeats of keyed requests that had no second effect. */
  public long suppressedDuplicates() {
    return repeated;
  }

  @Override
  public void crash() {
    if (!up) {
      return;
    }
    up = false;
    closeListener();
    resetAll();
  }

  @Override
  public void vanish() {
    if (!up) {
      return;
    }
    up = false;
    closeListener();
    for (Connection c : connections) {
      c.channel.config().setAutoRead(false);
      if (c.call != null) {
        c.call.attempt.end(AttemptEnd.RESET, stage.now());
      }
    }
    openBlackHole(BIND_TRIES);
  }

  private void openBlackHole(int tries) {
    if (up) {
      return;
    }
    try {
      blackHole = new BlackHole(address);
      way.setAcceptMode(AcceptMode.SILENT);
    } catch (IOException e) {
      if (tries == 0) {
        stage.fail(name + " cannot vanish from " + address, e);
      } else {
        stage.at(stage.now() + BIND_AGAIN_MS, () -> openBlackHole(tries - 1));
      }
    }
  }

  /** What was left of a machine that had vanished is reset when it is back. */
  private void closeBlackHole() {
    resetAll();
    if (blackHole != null) {
      try {
        blackHole.close();
      } catch (IOException e) {
        stage.fail(name + " cannot come back to " + address, e);
      }
      blackHole = null;
    }
  }

  private void resetAll() {
    List<Connection> all = List.copyOf(connections);
    connections.clear();
    for (Connection c : all) {
      if (c.call != null) {
        c.call.attempt.end(AttemptEnd.RESET, stage.now());
      }
      Wire.reset(c.channel);
    }
  }

  private void closeListener() {
    way.setAcceptMode(AcceptMode.REFUSING);
    if (listener != null) {
      listener.close();
      listener = null;
    }
  }

  @Override
  public void freeze() {
    hold(false);
  }

  @Override
  public void thaw() {
    release();
  }

  @Override
  public void hang() {
    hold(true);
  }

  @Override
  public void resume() {
    release();
  }

  /** Says and takes nothing until as many releases; with {@code still} its cores stand as well. */
  private void hold(boolean still) {
    if (!up) {
      return;
    }
    holds++;
    if (still) {
      stalled = true;
      server.setPaused(true, stage.now());
    }
  }

  /** Goes on: all that came and all that was done meanwhile is dealt with at once. */
  private void release() {
    if (!up || holds == 0 || --holds > 0) {
      return;
    }
    double now = stage.now();
    if (stalled) {
      stalled = false;
      server.setPaused(false, now);
    } else {
      // What it did behind the silence is done; its answers wait with the rest.
      holds++;
      server.advance(now);
      holds--;
    }
    while (!held.isEmpty()) {
      held.poll().run();
    }
    wakeUp();
  }

  @Override
  public void setSlowdown(double factor) {
    slowBy = factor;
    if (up) {
      server.setSlowdown(factor, stage.now());
      wakeUp();
    }
  }

  @Override
  public void setErrorRate(DoubleUnaryOperator rate) {
    errorRate = rate;
  }

  @Override
  public void setResetRate(double rate) {
    resetRate = rate;
  }

  @Override
  public void setRefusing(boolean on) {
    if (up && on) {
      closeListener();
    } else if (up && listener == null) {
      listen(BIND_TRIES);
    }
  }

  @Override
  public void drain() {
    if (up) {
      server.drain(stage.now());
    }
  }

  @Override
  public void rename(String other) {
    crash();
    name = other;
    fallen = false;
  }

  private void fall(double now) {
    sink.fell(name, now, guard.informedShare());
    crash();
    fallen = true;
  }

  /** Short pauses of its own, as collectors of garbage make; the n-th is drawn by its number. */
  private void ownPauses(StockServer of, int n) {
    if (spec.pauseMs() < 1) {
      return;
    }
    double gap = spec.pauseEveryMs() * (0.5 + SeededRandom.unit(rules.seed(), name.hashCode(), n));
    stage.at(
        stage.now() + gap,
        () -> {
          if (server == of && up) {
            hold(true);
            stage.at(
                stage.now() + spec.pauseMs(),
                () -> {
                  if (server == of) {
                    release();
                    ownPauses(of, n + 1);
                  }
                });
          }
        });
  }

  private void sweep(StockServer of) {
    stage.at(
        stage.now() + SWEEP_MS,
        () -> {
          if (server != of || !up) {
            return;
          }
          double before = stage.now() - spec.idleMs();
          for (Connection c : List.copyOf(connections)) {
            if (c.call == null && c.usedAt < before) {
              c.channel.close();
            }
          }
          sweep(of);
        });
  }

  /** A load report is refreshed now and then, and seen later: each stands for its own moment. */
  private void report(StockServer of) {
    if (server != of || !up) {
      return;
    }
    double now = stage.now();
    double span = Math.max(1, now - reportedAt);
    double eps = MS * Math.max(0, server.errors() - reportedErrors) / span;
    double noise =
        1
            + spec.reportNoise()
                * (2 * SeededRandom.unit(rules.seed(), name.hashCode(), reported++) - 1);
    reports.add(new double[] {now + spec.reportDelayMs(), eps, server.heldRequests() * noise});
    reportedErrors = server.errors();
    reportedAt = now;
    while (reports.size() > 1 && secondReportAt() <= now) {
      reports.poll();
    }
    stage.at(now + spec.reportEveryMs(), () -> report(of));
  }

  private double secondReportAt() {
    return reports.stream().skip(1).findFirst().map(r -> r[0]).orElse(Double.MAX_VALUE);
  }

  /** The model has something to do by itself at a certain time, and is then called. */
  private void wakeUp() {
    if (!up || holds > 0) {
      return;
    }
    double next = server.next();
    if (wake != null && !wake.isDone()) {
      if (wakeAt <= next) {
        return;
      }
      wake.cancel(false);
    }
    if (next < Double.POSITIVE_INFINITY) {
      wakeAt = next;
      StockServer of = server;
      wake =
          stage.at(
              next,
              () -> {
                wake = null;
                if (server == of && up && holds == 0) {
                  server.advance(stage.now());
                  wakeUp();
                }
              });
    }
  }

  private void orHold(Runnable step) {
    if (holds > 0) {
      held.add(step);
    } else {
      step.run();
    }
  }

  /** One connection of a gateway's. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Channel channel;
    private boolean first = true;
    private boolean beyondCap;
    private Call call;
    private double usedAt = stage.now();

    Connection(Channel channel) {
      this.channel = channel;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      connections.add(this);
      beyondCap = connections.size() > spec.connections();
      server.addOverhead(spec.handshakeMs());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      double now = stage.now();
      usedAt = now;
      if (!up) {
        return;
      }
      String path = request.uri();
      String txn = request.headers().get(Wire.TXN);
      if (!request.decoderResult().isSuccess()) {
        channel
            .writeAndFlush(Wire.answer(HttpResponseStatus.BAD_REQUEST, ""))
            .addListener(ChannelFutureListener.CLOSE);
      } else if (path.equals("/healthz") || path.equals("/load")) {
        server.addOverhead(spec.probeMs());
        String body = path.equals("/load") ? loadReport(now) : "ok";
        orHold(() -> channel.writeAndFlush(Wire.answer(HttpResponseStatus.OK, body)));
      } else if (txn == null) {
        orHold(() -> channel.writeAndFlush(Wire.answer(HttpResponseStatus.NOT_FOUND, "")));
      } else if (call != null) {
        // One request at a time; what a gateway sends besides cannot be told apart.
        channel.close();
      } else {
        take(request, txn, now);
      }
    }

    private void take(FullHttpRequest request, String txn, double now) {
      int query = request.uri().indexOf('?');
      String body =
          query < 0
              ? request.content().toString(StandardCharsets.UTF_8)
              : request.uri().substring(query + 1).replace('&', ' ');
      double workMs = Wire.bodyNumber(body, "work_ms");
      double number = Wire.bodyNumber(body, "order");
      double earliest = way.earliestSendTime(channel.remoteAddress(), stage.earliestSendTime());
      HostSink.Attempt attempt = sink.received(txn, name, spec.group(), now, earliest);
      if (Double.isNaN(workMs) || Double.isNaN(number)) {
        attempt.end(AttemptEnd.ERROR, now);
        channel.writeAndFlush(Wire.answer(HttpResponseStatus.BAD_REQUEST, ""));
        return;
      }
      long order = (long) number;
      double noise = SeededRandom.noise(rules.seed(), order, name.hashCode(), rules.attemptNoise());
      double draw = SeededRandom.unit(rules.seed(), order, 31 + seen++);
      boolean fails = draw < Math.max(spec.errorRate(), errorRate.applyAsDouble(now));
      call =
          new Call(
              this,
              txn,
              attempt,
              request.headers().get(Wire.IDEMPOTENCY_KEY),
              !HttpUtil.isKeepAlive(request));
      double remaining = seconds(request.headers().get(Wire.REMAINING));
      call.job =
          new Job(
              call, request.headers().get(Wire.KEY), workMs * noise, now + MS * remaining, fails);
      if (server.isCold(now)
          && guard.recordWork(
              workMs,
              sink.isStartKnownToGateway(txn, name),
              spec.capacity() * server.warmth(now),
              now)) {
        fall(now);
        return;
      }
      double later = first ? spec.firstMs() : 0;
      first = false;
      Call mine = call;
      if (later > 0) {
        stage.at(now + later, () -> orHold(() -> admit(mine)));
      } else {
        orHold(() -> admit(mine));
      }
    }

    private void admit(Call c) {
      double now = stage.now();
      if (!up) {
        return;
      }
      if (beyondCap) {
        c.ended(Job.End.TURNED_AWAY);
        return;
      }
      server.submit(c.job, now);
      if (!channel.isActive()) {
        // It had been given up behind the silence: read now, and ended right behind.
        server.cancel(c.job, now);
      }
      wakeUp();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      boolean known = connections.remove(this);
      if (known && call != null) {
        Call gone = call;
        gone.attempt.end(AttemptEnd.GIVEN_UP, stage.now());
        if (up) {
          orHold(
              () -> {
                server.cancel(gone.job, stage.now());
                wakeUp();
              });
        }
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  private String loadReport(double now) {
    while (reports.size() > 1 && secondReportAt() <= now) {
      reports.poll();
    }
    double[] report = reports.isEmpty() ? new double[3] : reports.peek();
    return String.format(Locale.ROOT, "TEXT err_ps=%.2f, concurrent=%.1f", report[1], report[2]);
  }

  private static double seconds(String text) {
    try {
      return text == null ? 0 : Double.parseDouble(text);
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /** One request on its way through. */
  private final class Call {
    private final Connection connection;
    private final String txn;
    private final HostSink.Attempt attempt;
    private final String idempotencyKey;
    private final boolean last;
    private Job job;

    Call(
        Connection connection,
        String txn,
        HostSink.Attempt attempt,
        String idempotencyKey,
        boolean last) {
      this.connection = connection;
      this.txn = txn;
      this.attempt = attempt;
      this.idempotencyKey = idempotencyKey;
      this.last = last;
    }

    void ended(Job.End end) {
      // What was turned away never ran, and leaves its key free.
      if (end != Job.End.TURNED_AWAY
          && idempotencyKey != null
          && !repeats.recordIfFirst(idempotencyKey, stage.now())) {
        repeated++;
      }
      orHold(() -> answer(end));
    }

    private void answer(Job.End end) {
      double now = stage.now();
      if (!up || !connection.channel.isActive()) {
        return;
      }
      connection.call = null;
      connection.usedAt = now;
      FullHttpResponse response;
      switch (end) {
        case SERVED -> {
          if (resetRate > 0 && SeededRandom.unit(rules.seed(), txn.hashCode(), 7) < resetRate) {
            breakOff(now);
            return;
          }
          attempt.end(AttemptEnd.SERVED, now);
          response = Wire.answer(HttpResponseStatus.OK, Wire.answerBody(txn, name));
        }
        case ERROR -> {
          attempt.end(AttemptEnd.ERROR, now);
          response = Wire.answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed");
        }
        default -> {
          attempt.end(AttemptEnd.TURNED_AWAY, now);
          response = Wire.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
          response.headers().set(Wire.TURNED_AWAY, "1");
        }
      }
      boolean close = last || connection.beyondCap;
      if (close) {
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
      connection
          .channel
          .writeAndFlush(response)
          .addListener(
              done -> {
                if (close || !done.isSuccess()) {
                  connection.channel.close();
                }
              });
    }

    /** Half of an answer, and a reset behind it. */
    private void breakOff(double now) {
      attempt.end(AttemptEnd.RESET, now);
      String body = Wire.answerBody(txn, name);
      ByteBuf half =
          Unpooled.copiedBuffer(
              "HTTP/1.1 200 OK\r\nContent-Length: "
                  + body.length()
                  + "\r\n\r\n"
                  + body.substring(0, body.length() / 2),
              StandardCharsets.US_ASCII);
      connection
          .channel
          .pipeline()
          .firstContext()
          .writeAndFlush(half)
          .addListener(done -> Wire.reset(connection.channel));
    }
  }
}
