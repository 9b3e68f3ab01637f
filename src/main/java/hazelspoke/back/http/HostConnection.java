package hazelspoke.back.http;

import hazelspoke.core.Body;
import hazelspoke.core.BodyStream;
import hazelspoke.core.ByteBudget;
import hazelspoke.core.HostCall;
import hazelspoke.core.Request;
import hazelspoke.http.BodyWriter;
import hazelspoke.http.ChannelBodySource;
import hazelspoke.http.HeadWriter;
import hazelspoke.http.Headers;
import hazelspoke.http.HttpLimits;
import hazelspoke.net.SocketPolling;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import ternscale.api.Outcome.Result;
import ternscale.api.Settings.Effect;

/** One connection to a host, with one call on it at a time; maps what comes back to outcomes. */
final class HostConnection extends ChannelInboundHandlerAdapter {
  /**
   * How long the last byte waits for news of a broken connection: about a round trip. A host may
   * have closed a connection behind its last answer, or reset it at the first byte; only before the
   * last byte does that prove that nothing ran. What may be repeated need not know.
   */
  private static final long LAST_BYTE_WAIT_MS = 2;

  /**
   * A host writes its answer at once: one that stops in the middle for this long does not fit its
   * own head. It is as good as spoilt, and waiting on would only keep its request from another try.
   */
  private static final long STALL_MS = 100;

  /** What is passed on as it comes may come slowly; and its client has a part of it already. */
  private static final long PASSING_STALL_MS = 5_000;

  private final HostClient client;
  private final HostClient.Pool pool;
  private final LastByteGate gate = new LastByteGate();
  private final ResponseStartValidator guard = new ResponseStartValidator(this);
  private final StrictResponseDecoder decoder =
      new StrictResponseDecoder(HttpLimits.decoderConfig());
  private final Channel channel;

  /** The call on this connection; null while it rests or reads what is left of an answer. */
  private HostCall call;

  /** Whether the call asks for the host's load. */
  private boolean probing;

  private BodyWriter writer;
  private boolean sent;

  /** Whether it was closed from here; what its host had to say before it closed it still counts. */
  private boolean closed;

  /** Whether bytes have come that may be the beginning of an answer, since the last look. */
  private boolean heard;

  private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;
  private boolean reading;
  private boolean reusable;
  private long read;
  private Body answer;
  private ByteBudget.Share share;

  /** Where the rest of an answer goes that is too large to be held; null with any other. */
  private BodyStream passing;

  /** Of an answer that ends with its connection no length can be told. */
  private boolean endsByClose;

  private ScheduledFuture<?> stallCheck;
  double restsSince;

  HostConnection(HostClient client, HostClient.Pool pool, Channel channel) {
    this.client = client;
    this.pool = pool;
    this.channel = channel;
  }

  /** Sets up what lies between the socket and this. */
  void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(gate, guard, decoder, this);
  }

  boolean isOpen() {
    return channel.isActive();
  }

  /** Whether discovery still lists its host. */
  boolean isOfListedHost() {
    return !pool.isForgotten();
  }

  void close() {
    closed = true;
    channel.close();
  }

  /** Whether the last byte of the call was handed to the socket: from then on it may run. */
  boolean isSent() {
    return sent;
  }

  void begin(HostCall next) {
    call = next;
    sent = false;
    reading = false;
    headers = EmptyHttpHeaders.INSTANCE;
    guard.expectAnswer();
    Request request = next.request();
    // Of a connection that came up a moment ago there is no news to wait for, and what may be
    // repeated need not know.
    probing = request == null;
    boolean wait = restsSince > 0 && !probing && request.effect() == Effect.ONCE;
    if (wait) {
      gate.close();
    }
    Body body = probing ? new Body() : request.body();
    writer =
        new BodyWriter(
            channel,
            body,
            body.totalLength() == Body.UNKNOWN_LENGTH,
            wait ? this::allButLastWritten : this::lastWritten,
            this::broken);
    writer.start(head(request, next.remainingMs()));
  }

  private HeadWriter head(Request request, double remainingMs) {
    if (probing) {
      return HeadWriter.request(channel.alloc(), "GET", "/load")
          .add(HttpHeaderNames.HOST, pool.authority());
    }
    boolean safe = request.effect() == Effect.REPEATABLE;
    HeadWriter head =
        HeadWriter.request(channel.alloc(), safe ? "GET" : "POST", request.target())
            .add(request.metadata())
            .add(HttpHeaderNames.HOST, pool.authority())
            .add(Headers.REMAINING, Headers.formatSeconds(remainingMs));
    long length = request.body().totalLength();
    if (length == Body.UNKNOWN_LENGTH) {
      head.add(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else if (length > 0 || !safe) {
      head.add(HttpHeaderNames.CONTENT_LENGTH, Long.toString(length));
    }
    return head;
  }

  private void allButLastWritten(Future<? super Void> written) {
    writer = null;
    if (!written.isSuccess() || !channel.isActive()) {
      broken();
      return;
    }
    HostCall mine = call;
    EventLoop loop = channel.eventLoop();
    loop.schedule(
        // The news may lie unread, of this connection or of the client, where the loop stood still.
        () -> SocketPolling.afterPoll(loop, () -> letGo(mine)),
        LAST_BYTE_WAIT_MS,
        TimeUnit.MILLISECONDS);
  }

  /** Each step may end the call: what the host or the client has said by now is read first. */
  private void letGo(HostCall of) {
    SocketPolling.readPending(channel);
    if (of == null || call != of || !channel.isActive()) {
      return;
    }
    boolean may = of.maySendLastByte();
    if (call != of) {
      return;
    }
    if (may) {
      gate.letGo().addListener(this::lastWritten);
    } else {
      end(Result.NOT_SENT);
      close();
    }
  }

  private void lastWritten(Future<? super Void> written) {
    writer = null;
    if (written.isSuccess()) {
      sent = true;
      if (call != null) {
        call.onSent();
      }
    } else {
      broken();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (writer != null && channel.isWritable()) {
      writer.resume();
    }
  }

  /**
   * Bytes have come. Those that come while nothing is asked, or before all of the request is out,
   * belong to no request of ours: a second copy or noise behind an earlier answer.
   */
  void heard() {
    if (sent) {
      heard = true;
    } else {
      broken();
    }
  }

  /** All that was there has been read: an answer that is not whole by now is watched. */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (heard) {
      heard = false;
      if (call != null || reading) {
        watchStall();
      }
    }
    ctx.fireChannelReadComplete();
  }

  /** What came instead of an answer is none: the host may have run the request all the same. */
  void spoilt() {
    if (call != null && sent) {
      HostCall mine = call;
      call = null;
      clear();
      mine.onEnd(Result.ERROR, report());
    }
    broken();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (closed) {
        // Closed on account of what came before it in the same bytes.
        return;
      }
      if (message instanceof HttpResponse response) {
        answerHead(response);
      } else if (!(message instanceof HttpContent)) {
        // Bytes of another protocol.
        spoilt();
        return;
      }
      if (message instanceof HttpContent content && reading) {
        answerContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void answerHead(HttpResponse response) {
    if (call == null || response.decoderResult().isFailure()) {
      // Nothing was asked, or it is no HTTP: whatever it is, it answers no later request.
      spoilt();
      return;
    }
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      unwatchStall();
      heard = false;
      return;
    }
    reading = true;
    read = 0;
    headers = response.headers();
    long length = HttpUtil.getContentLength(response, -1L);
    reusable = HttpUtil.isKeepAlive(response);
    // One without a length ends with its connection, and so does one that broke off: only where the
    // head says that the connection ends is it taken for whole.
    endsByClose = length < 0 && !HttpUtil.isTransferEncodingChunked(response);
    boolean fits = length <= Body.MAX_BYTES && !(endsByClose && reusable);
    if (!response.status().equals(HttpResponseStatus.OK)) {
      boolean turnedAway =
          (response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                  || response.status().equals(HttpResponseStatus.GATEWAY_TIMEOUT))
              && "1".equals(headers.get(Headers.REJECTED));
      end(turnedAway ? Result.REJECTED : Result.ERROR);
    } else if (fits) {
      answer = new Body();
      share = client.answerBudget().share(this::resumeReading);
      if (length > Body.MAX_BUFFERED_RESPONSE_BYTES) {
        passOn(length);
      }
    }
    if (!fits) {
      spoilt();
    }
  }

  private void answerContent(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      spoilt();
      return;
    }
    ByteBuf bytes = content.content();
    read += bytes.readableBytes();
    if (read > Body.MAX_BYTES) {
      spoilt();
      return;
    }
    if (passing != null && bytes.isReadable()) {
      passing.offer(ByteBufUtil.getBytes(bytes));
    } else if (call != null && bytes.isReadable()) {
      int more = bytes.readableBytes();
      answer.append(bytes);
      if (!share.add(more)) {
        channel.config().setAutoRead(false);
      }
      if (answer.bufferedLength() > Body.MAX_BUFFERED_RESPONSE_BYTES) {
        passOn(Body.UNKNOWN_LENGTH);
      }
    }
    if (content instanceof LastHttpContent) {
      answerWhole();
    }
  }

  /** Hands over an answer of which only the beginning is there; the rest goes on as it comes. */
  private void passOn(long length) {
    passing =
        new BodyStream(
            new ChannelBodySource(channel) {
              @Override
              public void onAbandoned() {
                close();
              }
            });
    answer.setRemainder(passing, length);
    hand();
  }

  private void hand() {
    HostCall done = call;
    Body body = answer;
    ByteBudget.Share held = share;
    call = null;
    answer = null;
    share = null;
    String report = probing ? body.text() : report();
    done.onAnswer(Headers.endToEnd(headers), report, body, held);
  }

  private void watchStall() {
    unwatchStall();
    long ms = passing == null ? STALL_MS : PASSING_STALL_MS;
    stallCheck = channel.eventLoop().schedule(this::checkStall, ms, TimeUnit.MILLISECONDS);
  }

  private void unwatchStall() {
    if (stallCheck != null) {
      stallCheck.cancel(false);
      stallCheck = null;
    }
  }

  private void checkStall() {
    if (channel.config().isAutoRead()) {
      spoilt();
    } else {
      // It is this side that does not read on.
      watchStall();
    }
  }

  private void resumeReading() {
    channel.config().setAutoRead(true);
  }

  private void answerWhole() {
    reading = false;
    reusable &= !decoder.hasMore();
    unwatchStall();
    // On a turn of its own, after all that came with the answer: what lies behind it closes the
    // connection before it can be used again.
    channel.eventLoop().execute(this::rest);
    if (passing != null) {
      BodyStream whole = passing;
      passing = null;
      whole.end();
    } else if (call != null) {
      hand();
    }
  }

  private String report() {
    return headers.get(Headers.LOAD_REPORT, "");
  }

  private void rest() {
    sent = false;
    headers = EmptyHttpHeaders.INSTANCE;
    unwatchStall();
    channel.config().setAutoRead(true);
    if (reusable && !decoder.hasMore() && channel.isActive()) {
      pool.rest(this);
    } else {
      close();
    }
  }

  /** Stops waiting: a connection with a call given up on it is never used again. */
  void giveUp() {
    call = null;
    broken();
  }

  /** The connection broke, or is of no more use. */
  private void broken() {
    reading = false;
    if (passing != null) {
      BodyStream cut = passing;
      passing = null;
      cut.fail();
    }
    if (writer != null) {
      BodyWriter unfinished = writer;
      writer = null;
      unfinished.abandon();
    }
    if (call != null) {
      end(sent ? Result.RESET : Result.CONNECT_FAILED);
    } else {
      clear();
    }
    close();
  }

  private void end(Result result) {
    HostCall ended = call;
    call = null;
    clear();
    ended.onEnd(result, report());
  }

  private void clear() {
    answer = null;
    if (share != null) {
      share.release();
      share = null;
    }
    unwatchStall();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    broken();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    broken();
    pool.closed(this);
  }
}
