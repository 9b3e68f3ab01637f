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
 * The clients of one site and the front layer before its gateways. Asking is open-loop: each
 * request starts at its planned moment, whatever became of the others.
 */
public final class Clients {
  private static final double MS = 1_000;
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final double MOST_RETRY_AFTER_MS = 750;

  /** Draws that belong to a request: who heeds advice. */
  private static final long HONOUR = 101;

  /** Which requests come slowly, and how slowly. */
  private static final long SLOW = 102;

  private static final long SLOW_FOR = 103;

  private final EmulatorLoop stage;
  private final Script script;
  private final long seed;
  private final EventLog ledger;
  private final List<GatewayEndpoint> seats;
  private final int mostPerGateway;
  private final Consumer<Outcome> done;
  private final Bootstrap bootstrap;
  private final Deque<Connection> idle = new ArrayDeque<>();
  private final Deque<Asking> waiting = new ArrayDeque<>();
  private int nextSeat;

  /**
   * @param seats the gateways of this site
   * @param mostPerGateway connections that clients may hold to a gateway for requests
   * @param done told of each request, once
   */
  public Clients(
      EmulatorLoop stage,
      Script script,
      long seed,
      EventLog ledger,
      List<GatewayEndpoint> seats,
      int mostPerGateway,
      Consumer<Outcome> done) {
    this.stage = stage;
    this.script = script;
    this.seed = seed;
    this.ledger = ledger;
    this.seats = List.copyOf(seats);
    this.mostPerGateway = mostPerGateway;
    this.done = done;
    bootstrap =
        new Bootstrap()
            .group(stage.loop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
  }

  /** Asks a request that was planned for now. */
  public void start(Arrival arrival) {
    new Asking(arrival).attempt();
  }

  /** Ends all connections at rest. */
  public void close() {
    while (!idle.isEmpty()) {
      idle.poll().channel.close();
    }
  }

  private Connection rested() {
    Connection c;
    while ((c = idle.poll()) != null) {
      if (c.channel.isActive()) {
        return c;
      }
    }
    return null;
  }

  /** The front's choice: in turn among those that it takes for alive. */
  private GatewayEndpoint deal() {
    for (int i = 0; i < seats.size(); i++) {
      GatewayEndpoint seat = seats.get(nextSeat++ % seats.size());
      if (seat.inRotation && seat.connections < mostPerGateway) {
        return seat;
      }
    }
    return null;
  }

  private boolean anyDealt() {
    return seats.stream().anyMatch(s -> s.inRotation);
  }

  private void rest(Connection c) {
    Asking next = waiting.poll();
    if (next != null) {
      next.send(c);
    } else {
      idle.add(c);
    }
  }

  private void closed(Connection c) {
    idle.remove(c);
    c.seat.connections--;
    Asking next = waiting.poll();
    if (next != null) {
      next.attempt();
    }
  }

  /** One request, as its client sees it. */
  private final class Asking {
    private final Arrival arrival;
    private final Script.RequestClass type;
    private final double giveUpAt;
    private int tries;
    private int resent;
    private int retriesLeft = script.load().retries();
    private boolean over;
    private ScheduledFuture<?> patience;

    Asking(Arrival arrival) {
      this.arrival = arrival;
      type = script.classes().get(arrival.requestClass());
      giveUpAt = arrival.atMs() + type.deadlineMs();
    }

    private void attempt() {
      attempt(rested());
    }

    private void attempt(Connection at) {
      double now = stage.now();
      if (over) {
        return;
      }
      if (now >= giveUpAt) {
        finish(Result.FAILED);
      } else if (at != null) {
        send(at);
      } else {
        connect();
      }
    }

    private void connect() {
      GatewayEndpoint seat = deal();
      if (seat == null) {
        if (anyDealt()) {
          // All places are taken: wait for one, as long as the client has patience.
          waiting.add(this);
          patience = stage.at(giveUpAt, this::outOfPatience);
        } else {
          tries++;
          retry(false, 0);
        }
        return;
      }
      seat.connections++;
      Connection c = new Connection(seat);
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
                          new HttpObjectAggregator(Wire.MOST_BODY + 1),
                          c);
                }
              })
          .connect(seat.address)
          .addListener(
              connecting -> {
                if (connecting.isSuccess()) {
                  send(c);
                } else {
                  c.seat.connections--;
                  unreachable(c);
                }
              });
    }

    private void outOfPatience() {
      if (waiting.remove(this)) {
        finish(Result.FAILED);
      }
    }

    private void unreachable(Connection c) {
      double now = stage.now();
      tries++;
      ClientAttempt t =
          ledger.requestStarted(
              txn(), arrival.number(), arrival.requestClass(), c.seat.gateway, true, giveUpAt);
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
      double now = stage.now();
      if (patience != null) {
        patience.cancel(false);
        patience = null;
      }
      double left = Math.min(giveUpAt - now, script.load().tryShare() * type.deadlineMs());
      if (left <= 0) {
        rest(c);
        finish(Result.FAILED);
        return;
      }
      tries++;
      double restMs = restMs();
      // Its time runs from its last byte.
      double deadline = now + restMs + left;
      String txn = txn();
      ClientAttempt t =
          ledger.requestStarted(
              txn,
              arrival.number(),
              arrival.requestClass(),
              c.seat.gateway,
              c.requests == 0,
              deadline);
      c.begin(this, t);
      t.sendStartedAt = now;
      DefaultFullHttpRequest whole = head(txn, left);
      if (restMs == 0) {
        last(c, t, whole);
        return;
      }
      ByteBuf body = whole.content();
      HttpContent first = new DefaultHttpContent(body.readBytes(1));
      c.channel.write(
          new DefaultHttpRequest(
              whole.protocolVersion(), whole.method(), whole.uri(), whole.headers()));
      c.channel.writeAndFlush(first);
      stage.at(now + restMs, () -> complete(c, t, body));
    }

    /** How much later than its head the rest of a request comes; 0 for most. */
    private double restMs() {
      long number = 64L * arrival.number() + tries;
      boolean slow =
          type.effect() != Script.Effect.REPEATABLE
              && SeededRandom.unit(seed, number, SLOW) < script.load().slowShare();
      return slow ? script.load().slowMs() * SeededRandom.unit(seed, number, SLOW_FOR) : 0;
    }

    private void complete(Connection c, ClientAttempt t, ByteBuf body) {
      if (c.current == t) {
        last(c, t, new DefaultLastHttpContent(body));
      } else {
        body.release();
      }
    }

    private void last(Connection c, ClientAttempt t, HttpContent message) {
      c.channel
          .writeAndFlush(message)
          .addListener(
              written -> {
                if (written.isSuccess()) {
                  t.sentAt = stage.now();
                }
              });
    }

    private DefaultFullHttpRequest head(String txn, double left) {
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
      h.set(Wire.REMAINING, String.format(Locale.ROOT, "%.4f", left / MS));
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

    /** What is safe to repeat has no body: the host finds its figures in the query. */
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

    /** It crossed the close of a connection at rest: sent once more, over a new one. */
    private void crossed() {
      if (resent++ == 0) {
        connect();
      } else {
        failed();
      }
    }

    private void retry(boolean refused, double retryAfterMs) {
      double now = stage.now();
      double delay = script.load().backoffMs();
      if (refused && SeededRandom.unit(seed, arrival.number(), HONOUR) < script.load().honour()) {
        delay = Math.max(delay, Math.min(retryAfterMs, MOST_RETRY_AFTER_MS));
      }
      if (retriesLeft-- > 0 && now + delay < giveUpAt) {
        stage.at(now + delay, this::attempt);
      } else {
        finish(refused ? Result.REFUSED : Result.FAILED);
      }
    }

    private void finish(Result fate) {
      if (!over) {
        over = true;
        done.accept(new Outcome(arrival, tries, fate, stage.now() - arrival.atMs()));
      }
    }
  }

  /** One connection to a gateway. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final GatewayEndpoint seat;
    private Channel channel;
    private int requests;
    private Asking asking;
    private ClientAttempt current;
    private ClientAttempt last;
    private boolean heard;
    private ScheduledFuture<?> limit;

    /** Sees the bytes themselves: whether any came, and whether some came unasked. */
    private final ChannelInboundHandlerAdapter counter =
        new ChannelInboundHandlerAdapter() {
          @Override
          public void channelRead(ChannelHandlerContext ctx, Object message) {
            heard = true;
            if (current == null && last != null) {
              last.hasExtraResponse = true;
            }
            ctx.fireChannelRead(message);
          }
        };

    Connection(GatewayEndpoint seat) {
      this.seat = seat;
    }

    private void begin(Asking by, ClientAttempt t) {
      asking = by;
      current = t;
      heard = false;
      requests++;
      limit =
          stage.at(
              RuleChecker.latestResponseTime(t.deadline, script.checker().slackMs()),
              () -> end(ClientAttemptEnd.SILENT, by, false));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      ClientAttempt t = current;
      Asking by = asking;
      if (t == null) {
        channel.close();
        return;
      }
      if (!response.decoderResult().isSuccess()) {
        end(ClientAttemptEnd.TRUNCATED, by, false);
        return;
      }
      limit.cancel(false);
      last = t;
      current = null;
      asking = null;
      t.end = ClientAttemptEnd.ANSWERED;
      t.endedAt = stage.now();
      t.status = response.status().code();
      if (t.status == 200) {
        t.respondingHost =
            Wire.respondingHost(t.txn, response.content().toString(StandardCharsets.UTF_8));
      }
      double retryAfter = seconds(response.headers().get(HttpHeaderNames.RETRY_AFTER));
      if (HttpUtil.isKeepAlive(response)) {
        rest(this);
      } else {
        channel.close();
      }
      by.answered(t, MS * retryAfter);
    }

    private void end(ClientAttemptEnd how, Asking by, boolean mayHaveCrossed) {
      limit.cancel(false);
      last = current;
      current.end = how;
      current.endedAt = stage.now();
      current = null;
      asking = null;
      channel.close();
      if (mayHaveCrossed) {
        by.crossed();
      } else {
        by.failed();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (current != null) {
        end(
            heard ? ClientAttemptEnd.TRUNCATED : ClientAttemptEnd.CLOSED,
            asking,
            !heard && requests > 1);
      }
      closed(this);
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
