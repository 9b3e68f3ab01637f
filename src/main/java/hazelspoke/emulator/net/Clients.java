package hazelspoke.emulator.net;

import hazelspoke.emulator.judge.EventLog;
import hazelspoke.emulator.judge.EventLog.ClientAttempt;
import hazelspoke.emulator.judge.EventLog.ClientAttemptEnd;
import hazelspoke.emulator.judge.RuleChecker;
import hazelspoke.emulator.model.Arrival;
import hazelspoke.emulator.model.Outcome;
import hazelspoke.emulator.model.Outcome.Result;
import hazelspoke.emulator.model.SeededRandom;
import hazelspoke.emulator.script.Script;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;

/**
 * The clients of one site and the load balancer in front of its gateways. The load is open-loop:
 * each request starts at its planned time, independent of the others.
 */
public final class Clients {
  private static final double MS_PER_S = 1_000;
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final double MAX_RETRY_AFTER_MS = 750;

  /** Selects the requests whose client honours {@code Retry-After}. */
  private static final long HONOURS_RETRY_AFTER = 101;

  /** Selects the requests whose body is sent slowly; {@code SLOW_BODY_DELAY} draws the delay. */
  private static final long SLOW_BODY = 102;

  private static final long SLOW_BODY_DELAY = 103;

  private final EmulatorLoop emulatorLoop;
  private final Script script;
  private final long seed;
  private final EventLog ledger;
  private final List<GatewayEndpoint> endpoints;
  private final int maxConnectionsPerGateway;
  private final Consumer<Outcome> done;
  private final Bootstrap bootstrap;
  private final Deque<Connection> idle = new ArrayDeque<>();
  private final Deque<ClientRequest> waiting = new ArrayDeque<>();
  private int nextEndpoint;

  /**
   * @param endpoints the gateways of this site
   * @param maxConnectionsPerGateway maximum number of client connections to a gateway
   * @param done receives the outcome of each request, once
   */
  public Clients(
      EmulatorLoop emulatorLoop,
      Script script,
      long seed,
      EventLog ledger,
      List<GatewayEndpoint> endpoints,
      int maxConnectionsPerGateway,
      Consumer<Outcome> done) {
    this.emulatorLoop = emulatorLoop;
    this.script = script;
    this.seed = seed;
    this.ledger = ledger;
    this.endpoints = List.copyOf(endpoints);
    this.maxConnectionsPerGateway = maxConnectionsPerGateway;
    this.done = done;
    bootstrap =
        new Bootstrap()
            .group(emulatorLoop.loop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
  }

  /** Starts a request that is planned for now. */
  public void start(Arrival arrival) {
    new ClientRequest(arrival).attempt();
  }

  /** Closes all idle connections. */
  public void close() {
    while (!idle.isEmpty()) {
      idle.poll().channel.close();
    }
  }

  private Connection takeIdleConnection() {
    Connection c;
    while ((c = idle.poll()) != null) {
      if (c.channel.isActive()) {
        return c;
      }
    }
    return null;
  }

  /** Round robin over the gateways in rotation that have a free connection slot. */
  private GatewayEndpoint nextEndpointInRotation() {
    for (int i = 0; i < endpoints.size(); i++) {
      GatewayEndpoint endpoint = endpoints.get(nextEndpoint++ % endpoints.size());
      if (endpoint.inRotation && endpoint.connections < maxConnectionsPerGateway) {
        return endpoint;
      }
    }
    return null;
  }

  private boolean anyEndpointInRotation() {
    return endpoints.stream().anyMatch(s -> s.inRotation);
  }

  private void releaseConnection(Connection c) {
    ClientRequest next = waiting.poll();
    if (next != null) {
      next.send(c);
    } else {
      idle.add(c);
    }
  }

  private void connectionClosed(Connection c) {
    idle.remove(c);
    c.endpoint.connections--;
    ClientRequest next = waiting.poll();
    if (next != null) {
      next.attempt();
    }
  }

  /** One request with its client attempts. */
  private final class ClientRequest {
    private final Arrival arrival;
    private final Script.RequestClass type;
    private final double deadlineAt;
    private int tries;
    private int resent;
    private int retriesLeft = script.load().retries();
    private boolean finished;
    private ScheduledFuture<?> waitTimeout;

    ClientRequest(Arrival arrival) {
      this.arrival = arrival;
      type = script.classes().get(arrival.requestClass());
      deadlineAt = arrival.atMs() + type.deadlineMs();
    }

    private void attempt() {
      attempt(takeIdleConnection());
    }

    private void attempt(Connection at) {
      double now = emulatorLoop.now();
      if (finished) {
        return;
      }
      if (now >= deadlineAt) {
        finish(Result.FAILED);
      } else if (at != null) {
        send(at);
      } else {
        connect();
      }
    }

    private void connect() {
      GatewayEndpoint endpoint = nextEndpointInRotation();
      if (endpoint == null) {
        if (anyEndpointInRotation()) {
          // All connections are in use: wait for one until the client's deadline.
          waiting.add(this);
          waitTimeout = emulatorLoop.at(deadlineAt, this::waitTimedOut);
        } else {
          tries++;
          retry(false, 0);
        }
        return;
      }
      endpoint.connections++;
      Connection c = new Connection(endpoint);
      bootstrap
          .clone()
          .handler(
              new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel ch) {
                  c.channel = ch;
                  ch.pipeline()
                      .addLast(
                          c.counter,
                          new HttpClientCodec(),
                          new HttpObjectAggregator(Wire.MAX_BODY_BYTES + 1),
                          c);
                }
              })
          .connect(endpoint.address)
          .addListener(
              connecting -> {
                if (connecting.isSuccess()) {
                  send(c);
                } else {
                  c.endpoint.connections--;
                  unreachable(c);
                }
              });
    }

    private void waitTimedOut() {
      if (waiting.remove(this)) {
        finish(Result.FAILED);
      }
    }

    private void unreachable(Connection c) {
      double now = emulatorLoop.now();
      tries++;
      ClientAttempt t =
          ledger.requestStarted(
              txn(),
              arrival.number(),
              arrival.requestClass(),
              c.endpoint.gateway,
              true,
              deadlineAt);
      t.end = ClientAttemptEnd.UNREACHABLE;
      t.endedAt = now;
      retry(false, 0);
    }

    private String txn() {
      return String.format(
          Locale.ROOT,
          "%016x",
          SeededRandom.mix(seed ^ SeededRandom.mix(64L * arrival.number() + tries)));
    }

    private void send(Connection c) {
      double now = emulatorLoop.now();
      if (waitTimeout != null) {
        waitTimeout.cancel(false);
        waitTimeout = null;
      }
      double remainingMs = Math.min(deadlineAt - now, script.load().tryShare() * type.deadlineMs());
      if (remainingMs <= 0) {
        releaseConnection(c);
        finish(Result.FAILED);
        return;
      }
      tries++;
      double bodyDelayMs = bodyDelayMs();
      // The deadline counts from the last byte of the request.
      double deadline = now + bodyDelayMs + remainingMs;
      String txn = txn();
      ClientAttempt t =
          ledger.requestStarted(
              txn,
              arrival.number(),
              arrival.requestClass(),
              c.endpoint.gateway,
              c.requests == 0,
              deadline);
      c.begin(this, t);
      t.sendStartedAt = now;
      DefaultFullHttpRequest request = buildRequest(txn, remainingMs);
      if (bodyDelayMs == 0) {
        sendLast(c, t, request);
        return;
      }
      ByteBuf body = request.content();
      HttpContent first = new DefaultHttpContent(body.readBytes(1));
      c.channel.write(
          new DefaultHttpRequest(
              request.protocolVersion(), request.method(), request.uri(), request.headers()));
      c.channel.writeAndFlush(first);
      emulatorLoop.at(now + bodyDelayMs, () -> sendRemainder(c, t, body));
    }

    /** Delay between the head of a request and the remainder of its body; 0 for most requests. */
    private double bodyDelayMs() {
      long number = 64L * arrival.number() + tries;
      boolean slow =
          type.effect() != Script.Effect.REPEATABLE
              && SeededRandom.unit(seed, number, SLOW_BODY) < script.load().slowShare();
      return slow ? script.load().slowMs() * SeededRandom.unit(seed, number, SLOW_BODY_DELAY) : 0;
    }

    private void sendRemainder(Connection c, ClientAttempt t, ByteBuf body) {
      if (c.current == t) {
        sendLast(c, t, new DefaultLastHttpContent(body));
      } else {
        body.release();
      }
    }

    private void sendLast(Connection c, ClientAttempt t, HttpContent message) {
      c.channel
          .writeAndFlush(message)
          .addListener(
              written -> {
                if (written.isSuccess()) {
                  t.sentAt = emulatorLoop.now();
                }
              });
    }

    private DefaultFullHttpRequest buildRequest(String txn, double remainingMs) {
      boolean safe = type.effect() == Script.Effect.REPEATABLE;
      ByteBuf body =
          Unpooled.copiedBuffer(
              Wire.requestBody(arrival.number(), arrival.workMs()), StandardCharsets.UTF_8);
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, safe ? HttpMethod.GET : HttpMethod.POST, path(safe), body);
      HttpHeaders h = request.headers();
      h.set(HttpHeaderNames.HOST, "stock");
      h.set(Wire.TXN, txn);
      h.set(Wire.CLASS, type.name());
      h.set(Wire.KEY, "line-" + arrival.key());
      h.set(Wire.REMAINING, String.format(Locale.ROOT, "%.4f", remainingMs / MS_PER_S));
      h.set(Wire.HINT, Long.toString(arrival.hintUs()));
      if (type.effect() == Script.Effect.BY_KEY) {
        h.set(
            Wire.IDEMPOTENCY_KEY,
            String.format(Locale.ROOT, "%016x", SeededRandom.mix(~seed ^ arrival.number())));
      }
      if (safe) {
        body.clear();
      } else {
        h.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
      }
      return request;
    }

    /** A repeatable request has no body: the query carries the host's parameters. */
    private String path(boolean safe) {
      return "/"
          + type.name()
          + (safe
              ? "?" + Wire.requestBody(arrival.number(), arrival.workMs()).replace(' ', '&')
              : "");
    }

    private void answered(ClientAttempt t, double retryAfterMs) {
      if (t.served()) {
        finish(Result.SERVED);
      } else if (t.refused()) {
        retry(true, retryAfterMs);
      } else {
        failed();
      }
    }

    private void failed() {
      if (type.effect() == Script.Effect.REPEATABLE) {
        retry(false, 0);
      } else {
        finish(Result.FAILED);
      }
    }

    /** The request raced with the close of an idle connection: sends it once more on a new one. */
    private void resendAfterIdleClose() {
      if (resent++ == 0) {
        connect();
      } else {
        failed();
      }
    }

    private void retry(boolean refused, double retryAfterMs) {
      double now = emulatorLoop.now();
      double delay = script.load().backoffMs();
      if (refused
          && SeededRandom.unit(seed, arrival.number(), HONOURS_RETRY_AFTER)
              < script.load().honour()) {
        delay = Math.max(delay, Math.min(retryAfterMs, MAX_RETRY_AFTER_MS));
      }
      if (retriesLeft-- > 0 && now + delay < deadlineAt) {
        emulatorLoop.at(now + delay, this::attempt);
      } else {
        finish(refused ? Result.REFUSED : Result.FAILED);
      }
    }

    private void finish(Result fate) {
      if (!finished) {
        finished = true;
        done.accept(new Outcome(arrival, tries, fate, emulatorLoop.now() - arrival.atMs()));
      }
    }
  }

  /** One connection to a gateway. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final GatewayEndpoint endpoint;
    private Channel channel;
    private int requests;
    private ClientRequest clientRequest;
    private ClientAttempt current;
    private ClientAttempt last;
    private boolean responseBegun;
    private ScheduledFuture<?> responseTimeout;

    /**
     * Observes raw bytes: whether a response has begun, and whether bytes arrived with no request
     * pending.
     */
    private final ChannelInboundHandlerAdapter counter =
        new ChannelInboundHandlerAdapter() {
          @Override
          public void channelRead(ChannelHandlerContext ctx, Object message) {
            responseBegun = true;
            if (current == null && last != null) {
              last.hasExtraResponse = true;
            }
            ctx.fireChannelRead(message);
          }
        };

    Connection(GatewayEndpoint endpoint) {
      this.endpoint = endpoint;
    }

    private void begin(ClientRequest sender, ClientAttempt t) {
      clientRequest = sender;
      current = t;
      responseBegun = false;
      requests++;
      responseTimeout =
          emulatorLoop.at(
              RuleChecker.latestResponseTime(t.deadline, script.checker().slackMs()),
              () -> end(ClientAttemptEnd.SILENT, sender, false));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      ClientAttempt t = current;
      ClientRequest sender = clientRequest;
      if (t == null) {
        channel.close();
        return;
      }
      if (!response.decoderResult().isSuccess()) {
        end(ClientAttemptEnd.TRUNCATED, sender, false);
        return;
      }
      responseTimeout.cancel(false);
      last = t;
      current = null;
      clientRequest = null;
      t.end = ClientAttemptEnd.ANSWERED;
      t.endedAt = emulatorLoop.now();
      t.status = response.status().code();
      if (t.status == 200) {
        t.respondingHost =
            Wire.respondingHost(t.txn, response.content().toString(StandardCharsets.UTF_8));
      }
      double retryAfter = seconds(response.headers().get(HttpHeaderNames.RETRY_AFTER));
      if (HttpUtil.isKeepAlive(response)) {
        releaseConnection(this);
      } else {
        channel.close();
      }
      sender.answered(t, MS_PER_S * retryAfter);
    }

    private void end(ClientAttemptEnd attemptEnd, ClientRequest sender, boolean mayRaceIdleClose) {
      responseTimeout.cancel(false);
      last = current;
      current.end = attemptEnd;
      current.endedAt = emulatorLoop.now();
      current = null;
      clientRequest = null;
      channel.close();
      if (mayRaceIdleClose) {
        sender.resendAfterIdleClose();
      } else {
        sender.failed();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (current != null) {
        end(
            responseBegun ? ClientAttemptEnd.TRUNCATED : ClientAttemptEnd.CLOSED,
            clientRequest,
            !responseBegun && requests > 1);
      }
      connectionClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  private static double seconds(String text) {
    try {
      return text == null ? 0 : Math.max(0, Double.parseDouble(text));
    } catch (NumberFormatException e) {
      return 0;
    }
  }
}
