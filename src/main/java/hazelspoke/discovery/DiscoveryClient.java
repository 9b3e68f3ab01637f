package hazelspoke.discovery;

import hazelspoke.core.Clock;
import hazelspoke.core.Discovery;
import hazelspoke.core.HostList;
import hazelspoke.core.Log;
import hazelspoke.core.Names;
import hazelspoke.net.Buffers;
import hazelspoke.net.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
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
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ternscale.adapter.WireException;

/**
 * The calls to discovery: a watch, and polls. When to call is the module's to say; only a pushed
 * list, which nobody asks for, is kept up from here. It is followed until the process ends: as long
 * as anything may be sent, also in a leave, what is told has to be known.
 *
 * <p>An agent that pushes lists answers at once and at no cost, and what it has counts as told
 * whether or not a watch is open; but it may fall silent, and begin to speak again at any moment.
 * So a watch that says nothing is not given up: others are opened beside it, again and again, and
 * the first that speaks takes its place.
 *
 * <p>Where discovery is asked, it works through calls in turn and answers one within 2 s or turns
 * it away. A watch that has said nothing for nearly as long is hedged in the same way, by one more
 * beside it, so that a connection that leads nowhere costs no more than that. How the times add up
 * to the terms of the pages is reckoned in docs/design/endings.md.
 */
public final class DiscoveryClient implements Discovery {
  /** An empty line comes every 2 s; a watch silent for longer than this is broken. */
  private static final double WATCH_SILENCE_MS = 2_500;

  /** A poll waits its turn; one that has not begun to answer by then will not. */
  private static final double FIRST_BYTES_MS = 3_000;

  /**
   * A watch waits its turn for 2 s at most. What has not spoken by then is joined by another, which
   * still is answered within the 4 s after SIGHUP; calls that are answered later than this are few.
   */
  private static final double HEDGE_MS = 1_700;

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final long CHECK_EVERY_MS = 100;

  /** Of a pushed list: silence beyond the empty lines, after which others are opened beside it. */
  private static final double PUSHED_SILENCE_MS = 2_200;

  /** So often, well within the shortest grace; and so many wait for their first word at once. */
  private static final double PUSHED_AGAIN_MS = 200;

  private static final int MOST_TRIED_PUSHED = 4;

  /** As many where discovery is asked, which has to work through each. */
  private static final int MOST_TRIED_ASKED = 2;

  /**
   * What is known before the first call.
   *
   * @param pushed whether the list is told unasked, so that the watch is held from here
   * @param version of the list that the gateway has
   */
  public record InitialState(
      InetSocketAddress address, boolean pushed, Names names, long version) {}

  private final Bootstrap bootstrap;
  private final Transport transport;
  private InetSocketAddress address;
  private final boolean pushed;
  private final Names names;
  private final Clock clock;
  private final Log log;
  private final EventLoop loop;
  private final Consumer<HostList.Update> onUpdate;
  private final Consumer<Boolean> onFailed;
  private long version;
  private final Set<Call> calls = new HashSet<>();
  private Call watch;

  /** Watches that have not said anything yet; of a pushed list, beside one that fell silent. */
  private final Deque<Call> tried = new ArrayDeque<>();

  private double triedAt = Double.NEGATIVE_INFINITY;

  /** The latest begin of the next watch after one that failed; null when none did. */
  private ScheduledFuture<?> nextTry;

  /** Whether the next failure of a watch is answered from here, at once. */
  private boolean justMoved;

  /** One that tells whoever asks it to of news, and of failures and whether they were silence. */
  public DiscoveryClient(
      EventLoop loop,
      Transport transport,
      InitialState start,
      Clock clock,
      Log log,
      Consumer<HostList.Update> onUpdate,
      Consumer<Boolean> onFailed) {
    this.loop = loop;
    this.transport = transport;
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(transport.clientChannelType())
            .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
            .option(ChannelOption.RECVBUF_ALLOCATOR, Buffers.receiveAllocator())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
    address = start.address();
    pushed = start.pushed();
    names = start.names();
    version = start.version();
    this.clock = clock;
    this.log = log;
    this.onUpdate = onUpdate;
    this.onFailed = onFailed;
  }

  /** Where lists are pushed the gateway holds the watch itself, from the start. */
  public void start() {
    if (pushed) {
      loop.scheduleWithFixedDelay(this::keepUp, 0, CHECK_EVERY_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** Sees to a watch of a pushed list that speaks. */
  private void keepUp() {
    double now = clock.nowMs();
    if (watch != null && now - watch.heardAt <= PUSHED_SILENCE_MS) {
      closeTried();
    } else if (now - triedAt >= PUSHED_AGAIN_MS) {
      tryAnother(MOST_TRIED_PUSHED);
    }
  }

  private void tryAnother(int most) {
    if (tried.size() == most) {
      tried.removeFirst().close();
    }
    triedAt = clock.nowMs();
    tried.add(new Call(true));
  }

  /**
   * The module backs off from a failure, and a call that failed may have waited for most of its
   * time before: the next one begins no later than it would have beside a silent one. So two calls
   * that fail in a row, in whichever way, leave time for a third within the 6 s of the pages.
   */
  private void limitBackOff() {
    cancelNextTry();
    long delayMs = (long) Math.max(0, triedAt + HEDGE_MS - clock.nowMs());
    nextTry = loop.schedule(() -> watch(true), delayMs, TimeUnit.MILLISECONDS);
  }

  private void cancelNextTry() {
    if (nextTry != null) {
      nextTry.cancel(false);
      nextTry = null;
    }
  }

  private void closeTried() {
    tried.forEach(Call::close);
    tried.clear();
  }

  @Override
  public void watch(boolean on) {
    if (on) {
      if (watch == null && !pushed && tried.isEmpty()) {
        tryAnother(MOST_TRIED_ASKED);
      }
    } else {
      cancelNextTry();
      closeTried();
      closeWatch();
    }
  }

  private void closeWatch() {
    if (watch != null) {
      watch.close();
      watch = null;
    }
  }

  @Override
  public void poll() {
    calls.add(new Call(false));
  }

  /**
   * Turns to discovery at another address, at once and with a watch from its beginning: versions of
   * one service say nothing of another's. What the old one still says is not heard. Should the
   * first watch there fail, another is opened at once: what is told there counts after 4 s, which
   * leaves no time for the module to back off.
   */
  public void moveTo(InetSocketAddress next) {
    if (next.equals(address)) {
      return;
    }
    log.line("discovery is now at " + next);
    address = next;
    version = 0;
    List<Call> askedOfOld = List.copyOf(calls);
    askedOfOld.forEach(Call::close);
    watch(false);
    if (pushed) {
      triedAt = Double.NEGATIVE_INFINITY;
      keepUp();
    } else {
      justMoved = true;
      watch(true);
    }
    askedOfOld.forEach(call -> poll());
  }

  /** One call: its connection, and what was heard on it so far. */
  private final class Call extends ChannelInboundHandlerAdapter {
    private final boolean isWatch;
    private Channel channel;
    private ScheduledFuture<?> check;
    private HostListReader reader;
    private boolean good;
    private boolean whole;
    private boolean over;
    private double heardAt = clock.nowMs();

    Call(boolean isWatch) {
      this.isWatch = isWatch;
      ChannelFuture connecting =
          bootstrap
              .clone()
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                      ch.pipeline().addLast(new HttpClientCodec(), Call.this);
                    }
                  })
              .connect(transport.connectAddress().apply(address));
      channel = connecting.channel();
      if (!pushed || !isWatch) {
        check =
            loop.scheduleWithFixedDelay(
                this::checkSilence, CHECK_EVERY_MS, CHECK_EVERY_MS, TimeUnit.MILLISECONDS);
      }
      connecting.addListener(this::connected);
    }

    private void connected(Future<? super Void> connecting) {
      if (!connecting.isSuccess()) {
        // On a later turn, as a connection may fail while the module is still asking for it.
        boolean unheard = connecting.cause() instanceof ConnectTimeoutException;
        loop.execute(() -> end("cannot connect", unheard));
        return;
      }
      String path = "/v1/servers" + (isWatch ? "?watch=1&from=" + version : "");
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
      request
          .headers()
          .set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
      channel.writeAndFlush(request);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        if (over) {
          return;
        }
        if (message instanceof HttpResponse response) {
          heardAt = clock.nowMs();
          good =
              response.decoderResult().isSuccess()
                  && response.status().equals(HttpResponseStatus.OK);
          reader = new HostListReader(names);
        }
        if (good && message instanceof HttpContent content) {
          byte[] bytes = ByteBufUtil.getBytes(content.content());
          List<HostList.Update> news = reader.feed(bytes);
          boolean lineEnded = bytes.length > 0 && bytes[bytes.length - 1] == '\n';
          if (!news.isEmpty() || (lineEnded && reader.isBetweenLines())) {
            heard();
          }
          for (HostList.Update update : news) {
            take(update);
          }
          good = content.decoderResult().isSuccess();
        }
        if (!good) {
          end("an answer that is none", false);
        } else if (message instanceof LastHttpContent) {
          end("the answer ended", false);
        }
      } catch (IOException | WireException e) {
        end(e.getMessage(), false);
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    /** A line, or an entry of one: bytes that make neither are no sign of life. */
    private void heard() {
      heardAt = clock.nowMs();
      if (tried.remove(this)) {
        closeTried();
        closeWatch();
        watch = this;
        justMoved = false;
      }
    }

    private void take(HostList.Update update) {
      if (update.version() >= 0) {
        version = update.version();
        whole = true;
      }
      onUpdate.accept(update);
    }

    /** A peer that was cut off says nothing, and its connection stays open: only time tells. */
    private void checkSilence() {
      double now = clock.nowMs();
      if (watch == this) {
        if (now - heardAt > WATCH_SILENCE_MS) {
          end("silent", true);
        }
      } else if (!isWatch) {
        if (now - heardAt > (whole ? WATCH_SILENCE_MS : FIRST_BYTES_MS)) {
          end("silent", true);
        }
      } else if (tried.peekLast() == this && now - triedAt > HEDGE_MS) {
        tryAnother(MOST_TRIED_ASKED);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      end("the connection ended", false);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      end(cause.toString(), false);
    }

    private void end(String why, boolean silent) {
      if (over) {
        return;
      }
      close();
      boolean hadNotSpoken = tried.remove(this);
      if (watch == this) {
        watch = null;
      }
      if (isWatch ? pushed : whole) {
        return;
      }
      log.line("discovery: " + (isWatch ? "a watch" : "a poll") + " failed: " + why);
      if (isWatch && !tried.isEmpty()) {
        return; // The one beside it may still be answered.
      }
      if (isWatch && justMoved) {
        justMoved = false;
        watch(true);
      } else {
        onFailed.accept(silent);
        if (isWatch && hadNotSpoken) {
          limitBackOff();
        }
      }
    }

    private void close() {
      over = true;
      calls.remove(this);
      if (check != null) {
        check.cancel(false);
      }
      channel.close();
    }
  }
}
