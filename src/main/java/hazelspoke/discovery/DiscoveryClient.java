package hazelspoke.discovery;

import hazelspoke.core.Clock;
import hazelspoke.core.Discovery;
import hazelspoke.core.HostList;
import hazelspoke.core.Log;
import hazelspoke.core.Names;
import hazelspoke.net.Buffers;
import hazelspoke.net.DescriptorAccount;
import hazelspoke.net.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ternscale.adapter.WireException;

/**
 * Calls discovery, by watches and polls. {@link ListCalls} decides which calls stay open and what
 * of their data is used. The balancer decides when to call, except for a pushed list, whose watch
 * this class maintains itself. The list is followed until the process ends: requests may be sent
 * during a shutdown too, and they need the current list.
 *
 * <p>An agent that pushes lists responds at once and at no cost, and the gateway is expected to
 * know its list whether or not a watch is open. But the agent may become unresponsive and recover
 * at any moment. So an unresponsive watch stays open while further watches are opened in parallel,
 * again and again, and the first of them to receive data replaces it.
 *
 * <p>Discovery on request handles calls one after the other, and answers or rejects each within 2
 * s. A watch that has received nothing for nearly as long is hedged in the same way by one more
 * watch, which bounds the cost of a dead connection. docs/design/endings.md shows how these times
 * add up to the required limits.
 */
public final class DiscoveryClient implements Discovery {
  /**
   * Discovery sends an empty line every 2 s; a watch without data for longer than this is broken.
   */
  private static final double WATCH_TIMEOUT_MS = 2_500;

  /**
   * A watch waits in discovery's queue for at most 2 s. A watch without data after this delay is
   * hedged by a second one, which is still answered within the 4 s allowed after SIGHUP; few calls
   * are answered later than this delay.
   */
  private static final double HEDGE_DELAY_MS = 1_700;

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final long CHECK_INTERVAL_MS = 100;

  /**
   * A watch of a pushed list without data for this long, longer than the interval of the empty
   * lines, is hedged by further watches.
   */
  private static final double PUSHED_TIMEOUT_MS = 2_200;

  /**
   * Interval at which further watches of a pushed list are opened, well within the shortest grace.
   */
  private static final double PUSHED_RETRY_INTERVAL_MS = 200;

  /** Limit of watches of a pushed list that wait at the current address. */
  private static final int MAX_PENDING_PUSHED = 4;

  /** The same limit for discovery on request, which has to process each call. */
  private static final int MAX_PENDING_ON_REQUEST = 2;

  /**
   * What is known before the first call.
   *
   * @param pushed whether discovery pushes its list, so that this client maintains the watch itself
   * @param version the version of the list that the gateway has
   */
  public record InitialState(
      InetSocketAddress address, boolean pushed, Names names, long version) {}

  private final Bootstrap bootstrap;
  private final Transport transport;
  private final DescriptorAccount descriptors;
  private final boolean pushed;
  private final Names names;
  private final Clock clock;
  private final Log log;
  private final EventLoop loop;
  private final Consumer<HostList.Update> onUpdate;
  private final Consumer<Boolean> onFailed;
  private final ListCalls calls;
  private final Map<ListCall, Call> connections = new HashMap<>();

  /** When the last watch was opened, which is at the current address. */
  private double lastWatchOpenedAtMs = Double.NEGATIVE_INFINITY;

  /** Timer that opens the next watch after a failure if the balancer has not; null without one. */
  private ScheduledFuture<?> nextWatch;

  /** Whether the next failure of a watch is followed by another watch at once. */
  private boolean retryImmediately;

  /**
   * Creates a client.
   *
   * @param onUpdate receives changes of the list
   * @param onFailed receives failures; true means that discovery was unresponsive
   */
  public DiscoveryClient(
      EventLoop loop,
      Transport transport,
      DescriptorAccount descriptors,
      InitialState start,
      Clock clock,
      Log log,
      Consumer<HostList.Update> onUpdate,
      Consumer<Boolean> onFailed) {
    this.loop = loop;
    this.transport = transport;
    this.descriptors = descriptors;
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(transport.clientChannelType())
            .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
            .option(ChannelOption.RECVBUF_ALLOCATOR, Buffers.receiveAllocator())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
    pushed = start.pushed();
    names = start.names();
    calls = new ListCalls(start.address(), start.version(), new CallListener());
    this.clock = clock;
    this.log = log;
    this.onUpdate = onUpdate;
    this.onFailed = onFailed;
  }

  /** Starts to maintain the watch if the list is pushed. */
  public void start() {
    if (pushed) {
      loop.scheduleWithFixedDelay(this::maintainWatch, 0, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** Maintains a watch of a pushed list that receives data. */
  private void maintainWatch() {
    double now = clock.nowMs();
    if (hasPushedData(now)) {
      calls.closeWaitingWatches();
    } else if (now - lastWatchOpenedAtMs >= PUSHED_RETRY_INTERVAL_MS
        && !calls.isReceivingFirstLine(now, PUSHED_TIMEOUT_MS)) {
      openWatch(MAX_PENDING_PUSHED);
    }
  }

  private boolean hasPushedData(double now) {
    return calls.isCurrentActive()
        && !calls.needsCompleteList()
        && now - connections.get(calls.active()).lastDataAtMs <= PUSHED_TIMEOUT_MS;
  }

  private void openWatch(int maxPending) {
    lastWatchOpenedAtMs = clock.nowMs();
    connect(calls.openWatch(lastWatchOpenedAtMs, maxPending));
  }

  private void connect(ListCall call) {
    connections.put(call, new Call(call));
  }

  /**
   * Limits the balancer's back-off after a failure. A failed call may have waited for most of its
   * time, so the next one begins no later than a hedge of an unresponsive one would have. Two
   * consecutive failures of any kind thus leave time for a third call within the required 6 s.
   */
  private void limitBackoff() {
    cancelNextWatch();
    long delayMs = (long) Math.max(0, lastWatchOpenedAtMs + HEDGE_DELAY_MS - clock.nowMs());
    nextWatch = loop.schedule(() -> watch(true), delayMs, TimeUnit.MILLISECONDS);
  }

  private void cancelNextWatch() {
    if (nextWatch != null) {
      nextWatch.cancel(false);
      nextWatch = null;
    }
  }

  @Override
  public void watch(boolean on) {
    if (on) {
      if (!pushed && calls.needsWatch()) {
        openWatch(MAX_PENDING_ON_REQUEST);
      }
    } else {
      cancelNextWatch();
      calls.closeWatches();
    }
  }

  @Override
  public void poll() {
    connect(calls.openPoll(clock.nowMs()));
  }

  /**
   * Calls discovery at another address, at once and for the complete list, as versions of one
   * service are not comparable with another's. What is open at the old address stays open for as
   * long as {@link ListCalls} needs it. If the first watch at the new address fails, another is
   * opened at once: the gateway has to know the list there within 4 s, which leaves no time for the
   * balancer's back-off.
   */
  public void moveTo(InetSocketAddress next) {
    if (next.equals(calls.current().address())) {
      return;
    }
    log.line("discovery is now at " + next);
    boolean hasWaitingPoll = calls.hasWaitingPoll();
    calls.moveTo(next);
    cancelNextWatch();
    if (pushed) {
      lastWatchOpenedAtMs = Double.NEGATIVE_INFINITY;
      maintainWatch();
    } else {
      retryImmediately = true;
      watch(true);
    }
    if (hasWaitingPoll) {
      poll();
    }
  }

  /** Carries out what {@link ListCalls} decides. */
  private final class CallListener implements ListCalls.Listener {
    @Override
    public void close(ListCall call) {
      Call connection = connections.remove(call);
      if (call.endpoint != calls.current()) {
        connection.logClosed();
      }
      connection.close();
    }

    @Override
    public void apply(HostList.Update update) {
      onUpdate.accept(update);
    }
  }

  /** The connection of a watch or a poll, and the state of its response. */
  private final class Call extends ChannelInboundHandlerAdapter {
    private final ListCall call;
    private Channel channel;
    private ScheduledFuture<?> check;
    private HostListReader reader;
    private boolean isValid;
    private boolean closed;
    private double lastDataAtMs = clock.nowMs();

    Call(ListCall call) {
      this.call = call;
      ChannelFuture connecting =
          bootstrap
              .clone()
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                      descriptors.opened(DescriptorAccount.Owner.DISCOVERY, ch);
                      ch.pipeline().addLast(new HttpClientCodec(), Call.this);
                    }
                  })
              .connect(transport.connectAddress().apply(call.endpoint.address()));
      channel = connecting.channel();
      if (!pushed || !call.isWatch) {
        check =
            loop.scheduleWithFixedDelay(
                this::checkTimeouts, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
      }
      connecting.addListener(this::onConnected);
    }

    private void onConnected(Future<? super Void> connecting) {
      if (!connecting.isSuccess()) {
        // In a later event-loop iteration, as a connection may fail while the balancer requests it.
        boolean timedOut = connecting.cause() instanceof ConnectTimeoutException;
        if (connecting.cause() instanceof ChannelException) {
          descriptors.failed();
        }
        loop.execute(() -> fail("cannot connect", timedOut));
        return;
      }
      String path = "/v1/servers" + (call.isWatch ? "?watch=1&from=" + call.from : "");
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
      InetSocketAddress address = call.endpoint.address();
      request
          .headers()
          .set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
      channel.writeAndFlush(request);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        if (closed) {
          return;
        }
        if (message instanceof HttpResponse response) {
          lastDataAtMs = clock.nowMs();
          isValid =
              response.decoderResult().isSuccess()
                  && response.status().equals(HttpResponseStatus.OK);
          reader = new HostListReader(names);
        }
        if (isValid && message instanceof HttpContent content) {
          byte[] bytes = ByteBufUtil.getBytes(content.content());
          onData(reader.feed(bytes), bytes.length > 0 && bytes[bytes.length - 1] == '\n');
          isValid = content.decoderResult().isSuccess();
        }
        if (!isValid) {
          fail("invalid response", false);
        } else if (message instanceof LastHttpContent) {
          fail("the response ended", false);
        }
      } catch (IOException | WireException e) {
        fail(e.getMessage(), false);
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    /** Handles complete lines and entries; other bytes do not count as data. */
    private void onData(List<HostList.Update> updates, boolean lineEnded) {
      boolean isEmptyLine = updates.isEmpty() && lineEnded && reader.isBetweenLines();
      if (isEmptyLine) {
        lastDataAtMs = clock.nowMs();
        calls.onEmptyLine(call);
      }
      for (HostList.Update update : updates) {
        if (closed) {
          return;
        }
        lastDataAtMs = clock.nowMs();
        calls.onUpdate(call, update, lastDataAtMs);
      }
      if (calls.isCurrentActive()) {
        retryImmediately = false;
      }
      if (calls.needsCompleteList()) {
        watch(true);
      }
    }

    /** Detects a peer that was partitioned: its connection stays open but receives no data. */
    private void checkTimeouts() {
      double now = clock.nowMs();
      if (now - lastDataAtMs > silenceLimitMs()) {
        fail("unresponsive", true);
      } else if (calls.isNewestWaitingWatch(call)
          && now - lastWatchOpenedAtMs > HEDGE_DELAY_MS
          && !calls.isReceivingFirstLine(now, WATCH_TIMEOUT_MS)) {
        openWatch(MAX_PENDING_ON_REQUEST);
      }
    }

    /** A watch that waits at the current address is hedged instead. */
    private double silenceLimitMs() {
      if (call.isWaitingWatchAt(calls.current())) {
        return Double.POSITIVE_INFINITY;
      }
      boolean hasData = call.state != ListCall.State.WAITING || call.version >= 0;
      return hasData ? WATCH_TIMEOUT_MS : ListCall.ANSWER_TIMEOUT_MS;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      fail("the connection was closed", false);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      fail(cause.toString(), false);
    }

    private void fail(String why, boolean unresponsive) {
      if (closed) {
        return;
      }
      close();
      connections.remove(call);
      boolean wasWaiting = call.isWaitingWatchAt(calls.current());
      boolean isExpected = call.isWatch ? pushed : call.version >= 0;
      if (!isExpected) {
        log.line("discovery: " + describe() + " failed: " + why);
      }
      calls.onEnded(call);
      boolean isAtFormerAddress = call.endpoint != calls.current();
      if (isExpected || isAtFormerAddress || (call.isWatch && calls.hasWaitingWatch())) {
        return; // Another call is open, or will be opened in time.
      }
      if (call.isWatch && retryImmediately) {
        retryImmediately = false;
        watch(true);
      } else {
        onFailed.accept(unresponsive);
        if (wasWaiting) {
          limitBackoff();
        }
      }
    }

    private String describe() {
      return call.isWatch ? "a watch" : "a poll";
    }

    /** Logs a call that is closed while its peer keeps it open. */
    private void logClosed() {
      double now = clock.nowMs();
      log.line(
          "discovery: %s at %s, %s, is closed after %.0f ms, its last data is %.0f ms old"
              .formatted(
                  describe(),
                  call.endpoint.address(),
                  call.state,
                  now - call.openedAtMs,
                  now - lastDataAtMs));
    }

    private void close() {
      closed = true;
      if (check != null) {
        check.cancel(false);
      }
      if (channel.isRegistered()) {
        channel.close();
      }
    }
  }
}
