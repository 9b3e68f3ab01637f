package hazelspoke.back.http;

import hazelspoke.core.Awaited;
import hazelspoke.core.Body;
import hazelspoke.core.BodyStream;
import hazelspoke.core.ByteBudget;
import hazelspoke.core.HostCall;
import hazelspoke.core.Request;
import hazelspoke.core.SendDecision;
import hazelspoke.core.WaitTracker;
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

/** A connection to a host. Carries one call at a time and maps the response to an outcome. */
final class HostConnection extends ChannelInboundHandlerAdapter implements ByteBudget.Holder {
  /**
   * How long a host may pause in a head or in a body that its head declares to be short; longer,
   * the response does not match its head.
   */
  private static final double SHORT_RESPONSE_STALL_MS = 1_000;

  /** How long a host may pause in any other response, which may be written slowly. */
  private static final double RESPONSE_STALL_MS = 5_000;

  private static final long UPLOAD_CHECK_INTERVAL_MS = 1_000;

  /**
   * How long a host may read nothing of a streamed request. A slow host takes long to free the
   * third of a large kernel buffer after which more can be written.
   */
  private static final double UPLOAD_STALL_MS = 30_000;

  private final HostClient client;
  private final HostClient.Pool pool;
  private final LastByteGate lastByteGate = new LastByteGate();
  private final ResponseStartValidator startValidator = new ResponseStartValidator(this);
  private final StrictResponseDecoder decoder =
      new StrictResponseDecoder(HttpLimits.decoderConfig());
  private final Channel channel;

  /** The call on this connection; null while idle or while the remainder of a response is read. */
  private HostCall call;

  /** Whether the call is a probe of the host's load. */
  private boolean probing;

  private BodyWriter writer;
  private boolean sent;

  /** Who is waited for: the host, its client, or room. */
  private final WaitTracker waitTracker;

  /** Whether this side closed it. Bytes that precede a close by the host are still processed. */
  private boolean closed;

  /** Whether bytes of a response may have arrived since the last {@link #channelReadComplete}. */
  private boolean bytesReceived;

  private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;
  private boolean readingResponse;
  private boolean reusable;
  private long bodyBytesRead;
  private long declaredBytes;
  private Body responseBody;
  private ByteBudget.Share responseShare;

  /** Receives the remainder of a response too large to be buffered; null for any other. */
  private BodyStream remainder;

  /** Whether the response is delimited by the end of the connection, so its length is unknown. */
  private boolean endsByClose;

  private ScheduledFuture<?> stallCheck;
  double idleSinceMs;

  HostConnection(HostClient client, HostClient.Pool pool, Channel channel) {
    this.client = client;
    this.pool = pool;
    this.channel = channel;
    waitTracker = client.waitTracker();
  }

  /** Adds this handler and those before it to the pipeline of its channel. */
  void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(lastByteGate, startValidator, decoder, this);
  }

  boolean isOpen() {
    return channel.isActive();
  }

  /** Whether discovery still lists the host of this connection. */
  boolean isOfListedHost() {
    return !pool.isRemoved();
  }

  void close() {
    closed = true;
    channel.close();
  }

  /**
   * Whether the last byte of the call was handed to the socket, after which the host may run it.
   */
  boolean isSent() {
    return sent;
  }

  void begin(HostCall next) {
    call = next;
    sent = false;
    readingResponse = false;
    headers = EmptyHttpHeaders.INSTANCE;
    startValidator.expectResponse();
    Request request = next.request();
    // A new connection cannot have been closed after an earlier response, and repeatable requests
    // need no proof that they did not run.
    probing = request == null;
    boolean withholdLastByte = idleSinceMs > 0 && !probing && request.effect() == Effect.ONCE;
    if (withholdLastByte) {
      lastByteGate.close();
    }
    Body body = probing ? new Body() : request.body();
    writer =
        new BodyWriter(
            channel,
            body,
            waitTracker,
            body.totalLength() == Body.UNKNOWN_LENGTH,
            withholdLastByte ? this::onAllButLastByteWritten : this::onLastByteWritten,
            this::terminate);
    writer.start(head(request, next.remainingMs()));
    if (body.remainder() != null) {
      scheduleUploadCheck(next);
    }
  }

  private void scheduleUploadCheck(HostCall expected) {
    EventLoop loop = channel.eventLoop();
    loop.schedule(
        // After a stall of the loop, the host may have read in the meantime.
        () -> SocketPolling.afterPoll(loop, () -> checkUpload(expected)),
        UPLOAD_CHECK_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Ends a streamed request that its host does not read. It has no deadline before it is complete,
   * and its client is not at fault.
   */
  private void checkUpload(HostCall expected) {
    if (call != expected || writer == null) {
      return;
    }
    if (waitTracker.waitedMs(Awaited.PEER_TO_READ) >= UPLOAD_STALL_MS) {
      terminate();
    } else {
      scheduleUploadCheck(expected);
    }
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

  private void onAllButLastByteWritten(Future<? super Void> written) {
    writer = null;
    if (!written.isSuccess() || !channel.isActive()) {
      terminate();
      return;
    }
    scheduleLastByte(call);
  }

  /**
   * Withholds the last byte of a request for about one round trip, to detect a broken connection. A
   * host may have closed the connection after its previous response, or may reset it on the first
   * byte. This proves that the request did not run only as long as the last byte has not been sent.
   * Not needed for repeatable requests.
   */
  private void scheduleLastByte(HostCall withheld) {
    EventLoop loop = channel.eventLoop();
    loop.schedule(
        // After a stall of the loop, a close by the host or by the client may still be unread.
        () -> SocketPolling.afterPoll(loop, () -> sendLastByte(withheld)),
        HostClient.ROUND_TRIP_MS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Sends the withheld last byte. Each step before that reads pending input and may end the call.
   */
  private void sendLastByte(HostCall expected) {
    SocketPolling.readPending(channel);
    if (expected == null || call != expected || !channel.isActive()) {
      return;
    }
    SendDecision decision = expected.maySend();
    if (call != expected) {
      return;
    }
    switch (decision) {
      case SEND -> lastByteGate.release().addListener(this::onLastByteWritten);
      case ASK_AGAIN -> scheduleLastByte(expected);
      case DO_NOT_SEND -> {
        endCall(Result.NOT_SENT);
        close();
      }
    }
  }

  private void onLastByteWritten(Future<? super Void> written) {
    writer = null;
    if (written.isSuccess()) {
      sent = true;
      waitTracker.setAwaited(Awaited.PEER_TO_SEND);
      if (call != null) {
        call.onSent();
      }
    } else {
      terminate();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (writer != null && channel.isWritable()) {
      writer.resume();
    }
  }

  /**
   * Called when bytes arrive, before they are decoded. Bytes that arrive while no request is
   * pending or before the request has been sent completely answer no request: they are a duplicate
   * of an earlier response, or invalid bytes after one.
   */
  void bytesReceived() {
    if (sent) {
      bytesReceived = true;
      waitTracker.progress(Awaited.PEER_TO_SEND);
    } else {
      terminate();
    }
  }

  /** Starts the stall check if all available bytes were read and the response is incomplete. */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (bytesReceived) {
      bytesReceived = false;
      if ((call != null || readingResponse) && stallCheck == null) {
        scheduleStallCheck(stallLimitMs());
      }
    }
    ctx.fireChannelReadComplete();
  }

  /** Fails the call because of a malformed response. The host may still have run the request. */
  void rejectResponse() {
    if (call != null && sent) {
      HostCall failed = call;
      call = null;
      releaseResponse();
      failed.onEnd(Result.ERROR, report());
    }
    terminate();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (closed) {
        // Closed because of an earlier message from the same read.
        return;
      }
      if (message instanceof HttpResponse response) {
        onResponseHead(response);
      } else if (!(message instanceof HttpContent)) {
        // Not HTTP.
        rejectResponse();
        return;
      }
      if (message instanceof HttpContent content && readingResponse) {
        onResponseContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onResponseHead(HttpResponse response) {
    if (call == null || response.decoderResult().isFailure()) {
      // Without a pending request, or not HTTP; must not be taken for a response to a later
      // request.
      rejectResponse();
      return;
    }
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      cancelStallCheck();
      bytesReceived = false;
      return;
    }
    readingResponse = true;
    bodyBytesRead = 0;
    headers = response.headers();
    long length = HttpUtil.getContentLength(response, Body.UNKNOWN_LENGTH);
    declaredBytes = length;
    reusable = HttpUtil.isKeepAlive(response);
    // A response without a length ends with its connection, and so does a truncated one: it counts
    // as complete only if its head announces that the connection closes.
    endsByClose = length < 0 && !HttpUtil.isTransferEncodingChunked(response);
    boolean fits = length <= Body.MAX_BYTES && !(endsByClose && reusable);
    if (!response.status().equals(HttpResponseStatus.OK)) {
      boolean rejected =
          (response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                  || response.status().equals(HttpResponseStatus.GATEWAY_TIMEOUT))
              && "1".equals(headers.get(Headers.REJECTED));
      endCall(rejected ? Result.REJECTED : Result.ERROR);
    } else if (fits) {
      responseBody = new Body();
      responseShare = client.responseBudget().share(this);
      // Its attempt has a timeout.
      responseShare.setMaxWait(Double.POSITIVE_INFINITY);
      if (length > Body.MAX_BUFFERED_RESPONSE_BYTES) {
        startStreaming(length);
      }
    }
    if (!fits) {
      rejectResponse();
    }
  }

  private void onResponseContent(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      rejectResponse();
      return;
    }
    ByteBuf bytes = content.content();
    bodyBytesRead += bytes.readableBytes();
    if (bodyBytesRead > Body.MAX_BYTES) {
      rejectResponse();
      return;
    }
    if (remainder != null && bytes.isReadable()) {
      remainder.offer(ByteBufUtil.getBytes(bytes));
    } else if (call != null && bytes.isReadable()) {
      responseBody.append(bytes);
      if (!countResponse()) {
        return;
      }
      if (responseBody.bufferedLength() > Body.MAX_BUFFERED_RESPONSE_BYTES) {
        startStreaming(Body.UNKNOWN_LENGTH);
      }
    }
    if (content instanceof LastHttpContent) {
      onResponseComplete();
    }
  }

  /** Counts the response received so far; returns false if it was rejected for want of room. */
  private boolean countResponse() {
    ByteBudget.Room room = responseShare.resize(responseBody.heldBytes());
    if (room == ByteBudget.Room.AWAITED) {
      waitTracker.setAwaited(Awaited.ROOM);
      channel.config().setAutoRead(false);
    } else if (room == ByteBudget.Room.NONE) {
      rejectResponse();
      return false;
    }
    return true;
  }

  /**
   * Delivers the response to this call if its body has begun; the remainder is streamed. It belongs
   * to its client from then on, and has no deadline. Returns false if it cannot be delivered.
   */
  boolean deliverIncompleteResponse(HostCall expected) {
    boolean hasBegun = call == expected && !probing && readingResponse && responseBody != null;
    if (hasBegun) {
      startStreaming(declaredBytes);
    }
    return hasBegun;
  }

  /** Delivers a response whose body is incomplete; the remainder is streamed as it arrives. */
  private void startStreaming(long length) {
    Body body = responseBody;
    ByteBudget.Share share = responseShare;
    remainder =
        new BodyStream(
            new ChannelBodySource(channel, waitTracker) {
              @Override
              public void onAttached() {
                body.releaseBuffered();
                share.resize(body.heldBytes());
              }

              @Override
              public void onAbandoned() {
                close();
              }
            });
    body.setRemainder(remainder, length);
    deliver();
  }

  private void deliver() {
    HostCall done = call;
    Body body = responseBody;
    ByteBudget.Share deliveredShare = responseShare;
    call = null;
    responseBody = null;
    responseShare = null;
    deliveredShare.commit();
    String report = probing ? body.text() : report();
    done.onAnswer(Headers.endToEnd(headers), report, body, deliveredShare);
  }

  private void scheduleStallCheck(double delayMs) {
    long waitMs = (long) Math.ceil(delayMs);
    stallCheck = channel.eventLoop().schedule(this::checkStall, waitMs, TimeUnit.MILLISECONDS);
  }

  private void cancelStallCheck() {
    if (stallCheck != null) {
      stallCheck.cancel(false);
      stallCheck = null;
    }
  }

  /** Ends a response in which the host has paused for too long. */
  private void checkStall() {
    SocketPolling.readPending(channel);
    stallCheck = null;
    if (call == null && !readingResponse) {
      return;
    }
    double leftMs = stallLimitMs() - waitTracker.waitedMs(Awaited.PEER_TO_SEND);
    if (leftMs <= 0) {
      rejectResponse();
    } else {
      scheduleStallCheck(leftMs);
    }
  }

  private double stallLimitMs() {
    boolean mayBeLong =
        readingResponse
            && (declaredBytes == Body.UNKNOWN_LENGTH
                || declaredBytes > Body.MAX_BUFFERED_RESPONSE_BYTES);
    return mayBeLong ? RESPONSE_STALL_MS : SHORT_RESPONSE_STALL_MS;
  }

  /** Describes who is waited for, for the log. */
  String describeWait() {
    return waitTracker.describe();
  }

  @Override
  public void resume() {
    waitTracker.setAwaited(Awaited.PEER_TO_SEND);
    channel.config().setAutoRead(true);
  }

  @Override
  public void giveWay() {
    rejectResponse();
  }

  private void onResponseComplete() {
    readingResponse = false;
    reusable &= !decoder.hasUndecodedBytes();
    cancelStallCheck();
    // In a later event-loop iteration, after all bytes that arrived with the response: surplus
    // bytes close the connection before it can be reused.
    channel.eventLoop().execute(this::becomeIdle);
    if (remainder != null) {
      BodyStream complete = remainder;
      remainder = null;
      complete.end();
    } else if (call != null) {
      deliver();
    }
  }

  private String report() {
    return headers.get(Headers.LOAD_REPORT, "");
  }

  private void becomeIdle() {
    sent = false;
    headers = EmptyHttpHeaders.INSTANCE;
    cancelStallCheck();
    channel.config().setAutoRead(true);
    if (reusable && !decoder.hasUndecodedBytes() && channel.isActive()) {
      pool.addIdle(this);
    } else {
      close();
    }
  }

  /** Abandons the call without notifying it. The connection is closed and never reused. */
  void abandonCall() {
    call = null;
    terminate();
  }

  /** Ends the call, if any, and closes the connection, which is broken or no longer usable. */
  private void terminate() {
    readingResponse = false;
    if (remainder != null) {
      BodyStream truncated = remainder;
      remainder = null;
      truncated.fail();
    }
    if (writer != null) {
      BodyWriter unfinished = writer;
      writer = null;
      unfinished.abandon();
    }
    if (call != null) {
      endCall(sent ? Result.RESET : Result.CONNECT_FAILED);
    } else {
      releaseResponse();
    }
    close();
  }

  private void endCall(Result result) {
    HostCall ended = call;
    call = null;
    releaseResponse();
    ended.onEnd(result, report());
  }

  private void releaseResponse() {
    responseBody = null;
    if (responseShare != null) {
      responseShare.release();
      responseShare = null;
    }
    cancelStallCheck();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    terminate();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    terminate();
    pool.remove(this);
  }
}
