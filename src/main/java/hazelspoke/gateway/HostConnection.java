package hazelspoke.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
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

/** One connection to a host, with one call on it at a time; maps what comes back to outcomes. */
final class HostConnection extends ChannelInboundHandlerAdapter {
  /**
   * How long the last byte waits for news of a broken connection: about a round trip. A rested
   * connection may be reset by the first byte, and only before the last one does that prove that
   * nothing ran.
   */
  private static final long LAST_BYTE_WAIT_MS = 5;

  /** An answer up to this size is passed on when it is whole, so that a break can be retried. */
  private static final int HELD_BYTES = 65_536;

  /**
   * A host may take seconds to write a long answer; one that says nothing for this long stopped.
   */
  private static final double STALL_MS = 10_000;

  private static final long STALL_CHECK_MS = 1_000;

  /** How long the rest of an answer that nobody needs may take before the connection is closed. */
  private static final long REST_MS = 1_000;

  private final HostClient client;
  private final HostClient.Pool pool;
  private final LastByteGate gate;
  private final Channel channel;

  /** The call on this connection; null while it rests or reads what is left of an answer. */
  private HostCall call;

  private BodyWriter writer;
  private boolean sent;
  private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;
  private boolean reading;
  private boolean interim;
  private boolean reusable;
  private long length;
  private Body answer;
  private ByteBudget.Share share;
  private AnswerSink sink;
  private double heardAt;
  private ScheduledFuture<?> stallCheck;
  double restsSince;

  HostConnection(HostClient client, HostClient.Pool pool, LastByteGate gate, Channel channel) {
    this.client = client;
    this.pool = pool;
    this.gate = gate;
    this.channel = channel;
  }

  boolean isOpen() {
    return channel.isActive();
  }

  void close() {
    channel.close();
  }

  /** Whether the last byte of the call was handed to the socket: from then on it may run. */
  boolean isSent() {
    return sent;
  }

  boolean hasStarted() {
    return sink != null;
  }

  void begin(HostCall next) {
    call = next;
    sent = false;
    reading = false;
    headers = EmptyHttpHeaders.INSTANCE;
    HttpRequest head = next.head(pool.authority());
    writer = new BodyWriter(channel, head, next.body(), this::allButLastWritten);
  }

  private void allButLastWritten(Future<? super Void> written) {
    writer = null;
    if (!written.isSuccess()) {
      broken();
      return;
    }
    HostCall mine = call;
    channel
        .eventLoop()
        .schedule(
            () -> {
              if (mine != null && call == mine && channel.isActive()) {
                gate.letGo().addListener(this::lastWritten);
              }
            },
            LAST_BYTE_WAIT_MS,
            TimeUnit.MILLISECONDS);
  }

  private void lastWritten(Future<? super Void> written) {
    if (written.isSuccess()) {
      sent = true;
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

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      heardAt = client.nowMs();
      if (message instanceof HttpResponse response) {
        answerHead(response);
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
      broken();
      return;
    }
    interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (interim) {
      return;
    }
    reading = true;
    headers = response.headers();
    length = HttpUtil.getContentLength(response, -1L);
    boolean framed = length >= 0 || HttpUtil.isTransferEncodingChunked(response);
    reusable = framed && sent && HttpUtil.isKeepAlive(response);
    if (response.status().equals(HttpResponseStatus.OK)) {
      answer = new Body();
      share = client.answerBudget().share(this::resumeReading);
    } else {
      boolean turnedAway =
          (response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                  || response.status().equals(HttpResponseStatus.GATEWAY_TIMEOUT))
              && "1".equals(headers.get(Headers.TURNED_AWAY));
      end(turnedAway ? Result.REJECTED : Result.ERROR);
      channel.eventLoop().schedule(this::closeUnlessDone, REST_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void answerContent(HttpContent content) {
    if (interim) {
      interim = !(content instanceof LastHttpContent);
      return;
    }
    if (content.decoderResult().isFailure()) {
      broken();
      return;
    }
    if (call != null) {
      take(content.content());
    }
    if (content instanceof LastHttpContent) {
      answerWhole();
    }
  }

  private void take(ByteBuf bytes) {
    if (sink == null && Math.max(length, answer.length() + bytes.readableBytes()) > HELD_BYTES) {
      start();
    }
    if (sink != null) {
      sink.pass(bytes.retainedSlice());
    } else if (bytes.isReadable()) {
      int more = bytes.readableBytes();
      answer.append(bytes);
      if (!share.add(more)) {
        channel.config().setAutoRead(false);
      }
    }
  }

  /** Goes over from holding the answer to passing it on. */
  private void start() {
    sink = call.answerStarted(headers, length, this);
    for (long at = 0; at < answer.length(); ) {
      ByteBuf slice = answer.slice(at, HELD_BYTES);
      at += slice.readableBytes();
      sink.pass(slice);
    }
    answer = null;
    share.release();
    share = null;
    stallCheck =
        channel
            .eventLoop()
            .scheduleAtFixedRate(
                this::checkStall, STALL_CHECK_MS, STALL_CHECK_MS, TimeUnit.MILLISECONDS);
  }

  /** A host that stopped in the middle may leave its connection open for ever. */
  private void checkStall() {
    if (channel.config().isAutoRead() && client.nowMs() - heardAt > STALL_MS) {
      broken();
    }
  }

  void setReading(boolean on) {
    heardAt = client.nowMs();
    channel.config().setAutoRead(on);
  }

  private void resumeReading() {
    setReading(true);
  }

  private void answerWhole() {
    reading = false;
    HostCall done = call;
    if (done == null) {
      rest();
      return;
    }
    if (sink != null) {
      sink.finish();
      end(Result.OK);
    } else {
      Body whole = answer;
      ByteBudget.Share held = share;
      call = null;
      answer = null;
      share = null;
      done.answered(headers, whole, held);
    }
    rest();
  }

  private void rest() {
    channel.config().setAutoRead(true);
    if (reusable && channel.isActive()) {
      pool.rest(this);
    } else {
      close();
    }
  }

  private void closeUnlessDone() {
    if (call == null && reading) {
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
    if (sink != null) {
      sink.cutOff();
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
    ended.ended(result, headers);
  }

  private void clear() {
    sink = null;
    answer = null;
    if (share != null) {
      share.release();
      share = null;
    }
    if (stallCheck != null) {
      stallCheck.cancel(false);
      stallCheck = null;
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // Before the codec ends an answer that has no length: a reset is no end.
    broken();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    broken();
    pool.closed(this);
  }
}
