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
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ternscale.adapter.WireException;

/**
 * The calls to discovery: one watch at most, and look-ups. When to call is the module's to say;
 * only a pushed list, which nobody asks for, is kept up from here.
 */
public final class DiscoveryClient implements Discovery {
  /** An empty line comes every 2 s; a watch silent for longer than this is broken. */
  private static final double WATCH_SILENCE_MS = 2_500;

  /** Calls wait their turn; one that has not begun to answer by then will not. */
  private static final double FIRST_BYTES_MS = 3_000;

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final long CHECK_EVERY_MS = 100;
  private static final long PUSHED_AGAIN_MS = 500;

  /**
   * What is known before the first call.
   *
   * @param pushed whether the list is told unasked, so that the watch is held from here
   * @param version of the list that the gateway has
   */
  public record Start(InetSocketAddress address, boolean pushed, Names names, long version) {}

  private final Bootstrap bootstrap;
  private final Transport transport;
  private InetSocketAddress address;
  private final boolean pushed;
  private final Names names;
  private final Clock clock;
  private final Log log;
  private final Consumer<HostList.Update> onUpdate;
  private final Runnable onFailed;
  private long version;
  private final Set<Call> calls = new HashSet<>();
  private Call watch;

  public DiscoveryClient(
      EventLoop loop,
      Transport transport,
      Start start,
      Clock clock,
      Log log,
      Consumer<HostList.Update> onUpdate,
      Runnable onFailed) {
    this.transport = transport;
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(transport.client())
            .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
            .option(ChannelOption.RECVBUF_ALLOCATOR, Buffers.reads())
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
      watch(true);
    }
  }

  @Override
  public void watch(boolean on) {
    if (on) {
      if (watch == null) {
        watch = new Call(true);
      }
    } else if (watch != null) {
      watch.close();
      watch = null;
    }
  }

  @Override
  public void lookup() {
    calls.add(new Call(false));
  }

  /**
   * Turns to discovery at another address, at once and with a watch from its beginning: versions of
   * one service say nothing of another's. What the old one still says is not heard.
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
    watch(true);
    askedOfOld.forEach(call -> lookup());
  }

  public void close() {
    watch(false);
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
              .connect(transport.calling().apply(address));
      channel = connecting.channel();
      check =
          channel
              .eventLoop()
              .scheduleAtFixedRate(
                  this::checkSilence, CHECK_EVERY_MS, CHECK_EVERY_MS, TimeUnit.MILLISECONDS);
      connecting.addListener(this::connected);
    }

    private void connected(Future<? super Void> connecting) {
      if (!connecting.isSuccess()) {
        // On a later turn, as a connection may fail while the module is still asking for it.
        channel.eventLoop().execute(() -> end("cannot connect"));
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
        heardAt = clock.nowMs();
        if (over) {
          return;
        }
        if (message instanceof HttpResponse response) {
          good =
              response.decoderResult().isSuccess()
                  && response.status().equals(HttpResponseStatus.OK);
          reader = new HostListReader(names);
        }
        if (good && message instanceof HttpContent content) {
          List<HostList.Update> news = reader.feed(ByteBufUtil.getBytes(content.content()));
          for (HostList.Update update : news) {
            take(update);
          }
          good = content.decoderResult().isSuccess();
        }
        if (!good) {
          end("an answer that is none");
        } else if (message instanceof LastHttpContent) {
          end("the answer ended");
        }
      } catch (IOException | WireException e) {
        end(e.getMessage());
      } finally {
        ReferenceCountUtil.release(message);
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
      double limit = whole ? WATCH_SILENCE_MS : FIRST_BYTES_MS;
      if (clock.nowMs() - heardAt > limit) {
        end("silent");
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      end("the connection ended");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      end(cause.toString());
    }

    private void end(String why) {
      if (over) {
        return;
      }
      close();
      if (watch == this) {
        watch = null;
      }
      if (pushed && isWatch) {
        channel.eventLoop().schedule(this::again, PUSHED_AGAIN_MS, TimeUnit.MILLISECONDS);
      } else if (isWatch || !whole) {
        log.line("discovery: " + (isWatch ? "the watch" : "a look-up") + " failed: " + why);
        onFailed.run();
      }
    }

    private void again() {
      if (watch == null) {
        watch(true);
      }
    }

    private void close() {
      over = true;
      calls.remove(this);
      check.cancel(false);
      channel.close();
    }
  }
}
