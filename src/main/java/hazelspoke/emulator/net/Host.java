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
 * A stock server on a real socket. {@link StockServer} decides when a request is done; this class
 * does the I/O and injects the faults of the script. Everything runs on the emulator's loop.
 */
public final class Host implements StockHost {
  private static final double MS_PER_S = 1_000;
  private static final double IDLE_CHECK_INTERVAL_MS = 250;
  private static final int BACKLOG = 512;
  private static final int MAX_BIND_ATTEMPTS = 50;
  private static final double BIND_RETRY_MS = 5;

  /** The behaviour that all hosts of the fleet share. */
  public record Rules(
      boolean dropsCancelled,
      boolean dropsExpired,
      double fallMultiple,
      double fallMs,
      double attemptNoise,
      long seed) {}

  private final EmulatorLoop emulatorLoop;
  private final Rules rules;
  private final IdempotencyWindow idempotencyWindow;
  private final HostSink sink;
  private final ServerSpec spec;
  private final Set<Connection> connections = new LinkedHashSet<>();
  private final Deque<Runnable> deferred = new ArrayDeque<>();
  private final Deque<double[]> reports = new ArrayDeque<>();
  private String name;
  private final InetSocketAddress address;
  private Channel listener;
  private BlackHole blackHole;
  private NetworkPath callerPath = NetworkPath.DIRECT;
  private StockServer server;
  private ColdOverloadDetector overloadDetector;
  private ScheduledFuture<?> modelTimer;
  private double modelTimerAt;
  private int suspendCount;
  private boolean coresPaused;
  private boolean up;
  private boolean failedFromOverload;
  private double slowBy = 1;
  private DoubleUnaryOperator errorRate = at -> 0;
  private double resetRate;
  private long attemptCount;
  private long suppressedDuplicates;
  private long reportCount;
  private double reportedErrors;
  private double reportedAt;

  /** Creates a host that is down until it is started. */
  public Host(
      EmulatorLoop emulatorLoop,
      ServerSpec spec,
      InetSocketAddress address,
      Rules rules,
      IdempotencyWindow idempotencyWindow,
      HostSink sink) {
    this.emulatorLoop = emulatorLoop;
    this.spec = spec;
    this.name = spec.name();
    this.address = address;
    this.rules = rules;
    this.idempotencyWindow = idempotencyWindow;
    this.sink = sink;
  }

  @Override
  public void start(boolean cold) {
    if (failedFromOverload || up) {
      return;
    }
    closeBlackHole();
    double now = emulatorLoop.now();
    up = true;
    suspendCount = 0;
    deferred.clear();
    server =
        new StockServer(
            spec,
            rules.dropsCancelled(),
            rules.dropsExpired(),
            cold ? now : Double.NEGATIVE_INFINITY,
            now,
            (job, end, at) -> ((Call) job.tag).ended(end));
    server.setSlowdown(slowBy, now);
    overloadDetector = new ColdOverloadDetector(rules.fallMultiple(), rules.fallMs());
    listen(MAX_BIND_ATTEMPTS);
    closeIdleConnections(server);
    schedulePauses(server, 0);
    report(server);
  }

  /** Sets the path by which callers reach this host; called before the first start. */
  void setCallerPath(NetworkPath path) {
    callerPath = path;
  }

  /**
   * Binds the listener. The operating system may keep the address of a listener that was closed in
   * this event-loop iteration until the next one, so a failed bind is retried.
   */
  private void listen(int tries) {
    listener =
        new ServerBootstrap()
            .group(emulatorLoop.loop())
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
                            new HttpObjectAggregator(Wire.MAX_BODY_BYTES),
                            new Connection(ch));
                  }
                })
            .bind(address)
            .addListener(
                done -> {
                  if (done.isSuccess()) {
                    callerPath.setAcceptMode(
                        up && listener != null ? AcceptMode.OPEN : AcceptMode.REFUSING);
                  } else if (tries > 0) {
                    StockServer instance = server;
                    emulatorLoop.at(
                        emulatorLoop.now() + BIND_RETRY_MS,
                        () -> {
                          if (server == instance && up) {
                            listen(tries - 1);
                          }
                        });
                  } else {
                    emulatorLoop.fail(name + " cannot listen at " + address, done.cause());
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
    return failedFromOverload;
  }

  @Override
  public int heldRequests() {
    return up ? server.heldRequests() + deferred.size() : 0;
  }

  /** Duplicates of keyed requests that had no second effect. */
  public long suppressedDuplicates() {
    return suppressedDuplicates;
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
        c.call.attempt.end(AttemptEnd.RESET, emulatorLoop.now());
      }
    }
    openBlackHole(MAX_BIND_ATTEMPTS);
  }

  private void openBlackHole(int tries) {
    if (up) {
      return;
    }
    try {
      blackHole = new BlackHole(address);
      callerPath.setAcceptMode(AcceptMode.SILENT);
    } catch (IOException e) {
      if (tries == 0) {
        emulatorLoop.fail(name + " cannot vanish from " + address, e);
      } else {
        emulatorLoop.at(emulatorLoop.now() + BIND_RETRY_MS, () -> openBlackHole(tries - 1));
      }
    }
  }

  /** Resets the connections that remain from before the machine vanished, and frees its address. */
  private void closeBlackHole() {
    resetAll();
    if (blackHole != null) {
      try {
        blackHole.close();
      } catch (IOException e) {
        emulatorLoop.fail(name + " cannot come back to " + address, e);
      }
      blackHole = null;
    }
  }

  private void resetAll() {
    List<Connection> all = List.copyOf(connections);
    connections.clear();
    for (Connection c : all) {
      if (c.call != null) {
        c.call.attempt.end(AttemptEnd.RESET, emulatorLoop.now());
      }
      Wire.reset(c.channel);
    }
  }

  private void closeListener() {
    callerPath.setAcceptMode(AcceptMode.REFUSING);
    if (listener != null) {
      listener.close();
      listener = null;
    }
  }

  @Override
  public void freeze() {
    suspend(false);
  }

  @Override
  public void thaw() {
    resumeOnce();
  }

  @Override
  public void hang() {
    suspend(true);
  }

  @Override
  public void resume() {
    resumeOnce();
  }

  /**
   * Suspends all input and output until as many calls of {@link #resumeOnce}; {@code pauseCores}
   * pauses the cores too.
   */
  private void suspend(boolean pauseCores) {
    if (!up) {
      return;
    }
    suspendCount++;
    if (pauseCores) {
      coresPaused = true;
      server.setPaused(true, emulatorLoop.now());
    }
  }

  /**
   * Ends one suspension; after the last one, everything received or finished meanwhile is processed
   * at once.
   */
  private void resumeOnce() {
    if (!up || suspendCount == 0 || --suspendCount > 0) {
      return;
    }
    double now = emulatorLoop.now();
    if (coresPaused) {
      coresPaused = false;
      server.setPaused(false, now);
    } else {
      // Work went on during the suspension; its responses are deferred with the others.
      suspendCount++;
      server.advance(now);
      suspendCount--;
    }
    while (!deferred.isEmpty()) {
      deferred.poll().run();
    }
    scheduleModel();
  }

  @Override
  public void setSlowdown(double factor) {
    slowBy = factor;
    if (up) {
      server.setSlowdown(factor, emulatorLoop.now());
      scheduleModel();
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
      listen(MAX_BIND_ATTEMPTS);
    }
  }

  @Override
  public void drain() {
    if (up) {
      server.drain(emulatorLoop.now());
    }
  }

  @Override
  public void rename(String other) {
    crash();
    name = other;
    failedFromOverload = false;
  }

  private void failFromOverload(double now) {
    sink.failedFromOverload(name, now, overloadDetector.informedShare());
    crash();
    failedFromOverload = true;
  }

  /**
   * Schedules short pauses such as those of a garbage collector; the gap before the n-th is
   * determined by n, not by timing.
   */
  private void schedulePauses(StockServer instance, int n) {
    if (spec.pauseMs() < 1) {
      return;
    }
    double gap = spec.pauseEveryMs() * (0.5 + SeededRandom.unit(rules.seed(), name.hashCode(), n));
    emulatorLoop.at(
        emulatorLoop.now() + gap,
        () -> {
          if (server == instance && up) {
            suspend(true);
            emulatorLoop.at(
                emulatorLoop.now() + spec.pauseMs(),
                () -> {
                  if (server == instance) {
                    resumeOnce();
                    schedulePauses(instance, n + 1);
                  }
                });
          }
        });
  }

  private void closeIdleConnections(StockServer instance) {
    emulatorLoop.at(
        emulatorLoop.now() + IDLE_CHECK_INTERVAL_MS,
        () -> {
          if (server != instance || !up) {
            return;
          }
          double before = emulatorLoop.now() - spec.idleMs();
          for (Connection c : List.copyOf(connections)) {
            if (c.call == null && c.usedAt < before) {
              c.channel.close();
            }
          }
          closeIdleConnections(instance);
        });
  }

  /**
   * Refreshes the load report periodically; a report becomes visible after a delay and describes
   * the time at which it was taken.
   */
  private void report(StockServer instance) {
    if (server != instance || !up) {
      return;
    }
    double now = emulatorLoop.now();
    double spanMs = Math.max(1, now - reportedAt);
    double errorsPerS = MS_PER_S * Math.max(0, server.errors() - reportedErrors) / spanMs;
    double noise =
        1
            + spec.reportNoise()
                * (2 * SeededRandom.unit(rules.seed(), name.hashCode(), reportCount++) - 1);
    reports.add(
        new double[] {now + spec.reportDelayMs(), errorsPerS, server.heldRequests() * noise});
    reportedErrors = server.errors();
    reportedAt = now;
    while (reports.size() > 1 && secondReportAt() <= now) {
      reports.poll();
    }
    emulatorLoop.at(now + spec.reportEveryMs(), () -> report(instance));
  }

  private double secondReportAt() {
    return reports.stream().skip(1).findFirst().map(r -> r[0]).orElse(Double.MAX_VALUE);
  }

  /** Schedules the next call of the model at the time of its next event. */
  private void scheduleModel() {
    if (!up || suspendCount > 0) {
      return;
    }
    double next = server.next();
    if (modelTimer != null && !modelTimer.isDone()) {
      if (modelTimerAt <= next) {
        return;
      }
      modelTimer.cancel(false);
    }
    if (next < Double.POSITIVE_INFINITY) {
      modelTimerAt = next;
      StockServer instance = server;
      modelTimer =
          emulatorLoop.at(
              next,
              () -> {
                modelTimer = null;
                if (server == instance && up && suspendCount == 0) {
                  server.advance(emulatorLoop.now());
                  scheduleModel();
                }
              });
    }
  }

  private void runOrDefer(Runnable step) {
    if (suspendCount > 0) {
      deferred.add(step);
    } else {
      step.run();
    }
  }

  /** One connection from a gateway. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Channel channel;
    private boolean first = true;
    private boolean overConnectionLimit;
    private Call call;
    private double usedAt = emulatorLoop.now();

    Connection(Channel channel) {
      this.channel = channel;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      connections.add(this);
      overConnectionLimit = connections.size() > spec.connections();
      server.addOverhead(spec.handshakeMs());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      double now = emulatorLoop.now();
      usedAt = now;
      if (!up) {
        return;
      }
      String path = request.uri();
      String txn = request.headers().get(Wire.TXN);
      if (!request.decoderResult().isSuccess()) {
        channel
            .writeAndFlush(Wire.response(HttpResponseStatus.BAD_REQUEST, ""))
            .addListener(ChannelFutureListener.CLOSE);
      } else if (path.equals("/healthz") || path.equals("/load")) {
        server.addOverhead(spec.probeMs());
        String body = path.equals("/load") ? loadReport(now) : "ok";
        runOrDefer(() -> channel.writeAndFlush(Wire.response(HttpResponseStatus.OK, body)));
      } else if (txn == null) {
        runOrDefer(() -> channel.writeAndFlush(Wire.response(HttpResponseStatus.NOT_FOUND, "")));
      } else if (call != null) {
        // One request at a time: the response to a second one could not be attributed.
        channel.close();
      } else {
        receive(request, txn, now);
      }
    }

    private void receive(FullHttpRequest request, String txn, double now) {
      int query = request.uri().indexOf('?');
      String body =
          query < 0
              ? request.content().toString(StandardCharsets.UTF_8)
              : request.uri().substring(query + 1).replace('&', ' ');
      double workMs = Wire.bodyNumber(body, "work_ms");
      double number = Wire.bodyNumber(body, "order");
      double earliest =
          callerPath.earliestSendTime(channel.remoteAddress(), emulatorLoop.earliestSendTime());
      HostSink.Attempt attempt = sink.received(txn, name, spec.group(), now, earliest);
      if (Double.isNaN(workMs) || Double.isNaN(number)) {
        attempt.end(AttemptEnd.ERROR, now);
        channel.writeAndFlush(Wire.response(HttpResponseStatus.BAD_REQUEST, ""));
        return;
      }
      long order = (long) number;
      double noise = SeededRandom.noise(rules.seed(), order, name.hashCode(), rules.attemptNoise());
      double draw = SeededRandom.unit(rules.seed(), order, 31 + attemptCount++);
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
              call,
              request.headers().get(Wire.KEY),
              workMs * noise,
              now + MS_PER_S * remaining,
              fails);
      if (server.isCold(now)
          && overloadDetector.recordWork(
              workMs,
              sink.isStartKnownToGateway(txn, name),
              spec.capacity() * server.warmth(now),
              now)) {
        failFromOverload(now);
        return;
      }
      double delayMs = first ? spec.firstMs() : 0;
      first = false;
      Call received = call;
      if (delayMs > 0) {
        emulatorLoop.at(now + delayMs, () -> runOrDefer(() -> admit(received)));
      } else {
        runOrDefer(() -> admit(received));
      }
    }

    private void admit(Call c) {
      double now = emulatorLoop.now();
      if (!up) {
        return;
      }
      if (overConnectionLimit) {
        c.ended(Job.End.TURNED_AWAY);
        return;
      }
      server.submit(c.job, now);
      if (!channel.isActive()) {
        // The caller disconnected during the suspension: the request is submitted, then cancelled.
        server.cancel(c.job, now);
      }
      scheduleModel();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      boolean wasOpen = connections.remove(this);
      if (wasOpen && call != null) {
        Call cancelled = call;
        cancelled.attempt.end(AttemptEnd.GIVEN_UP, emulatorLoop.now());
        if (up) {
          runOrDefer(
              () -> {
                server.cancel(cancelled.job, emulatorLoop.now());
                scheduleModel();
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

  /** One request in progress. */
  private final class Call {
    private final Connection connection;
    private final String txn;
    private final HostSink.Attempt attempt;
    private final String idempotencyKey;
    private final boolean closeAfterResponse;
    private Job job;

    Call(
        Connection connection,
        String txn,
        HostSink.Attempt attempt,
        String idempotencyKey,
        boolean closeAfterResponse) {
      this.connection = connection;
      this.txn = txn;
      this.attempt = attempt;
      this.idempotencyKey = idempotencyKey;
      this.closeAfterResponse = closeAfterResponse;
    }

    void ended(Job.End end) {
      // A rejected request never ran, so its key stays unused.
      if (end != Job.End.TURNED_AWAY
          && idempotencyKey != null
          && !idempotencyWindow.recordIfFirst(idempotencyKey, emulatorLoop.now())) {
        suppressedDuplicates++;
      }
      runOrDefer(() -> respond(end));
    }

    private void respond(Job.End end) {
      double now = emulatorLoop.now();
      if (!up || !connection.channel.isActive()) {
        return;
      }
      connection.call = null;
      connection.usedAt = now;
      FullHttpResponse response;
      switch (end) {
        case SERVED -> {
          if (resetRate > 0 && SeededRandom.unit(rules.seed(), txn.hashCode(), 7) < resetRate) {
            sendTruncatedResponse(now);
            return;
          }
          attempt.end(AttemptEnd.SERVED, now);
          response = Wire.response(HttpResponseStatus.OK, Wire.responseBody(txn, name));
        }
        case ERROR -> {
          attempt.end(AttemptEnd.ERROR, now);
          response = Wire.response(HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed");
        }
        default -> {
          attempt.end(AttemptEnd.TURNED_AWAY, now);
          response = Wire.response(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
          response.headers().set(Wire.TURNED_AWAY, "1");
        }
      }
      boolean close = closeAfterResponse || connection.overConnectionLimit;
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

    /** Sends half of a response and then a reset. */
    private void sendTruncatedResponse(double now) {
      attempt.end(AttemptEnd.RESET, now);
      String body = Wire.responseBody(txn, name);
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
