package hazelspoke.front.http;

import hazelspoke.core.Answer;
import hazelspoke.core.Awaited;
import hazelspoke.core.Body;
import hazelspoke.core.BodyStream;
import hazelspoke.core.ByteBudget;
import hazelspoke.core.Client;
import hazelspoke.core.Exchange;
import hazelspoke.core.Request;
import hazelspoke.core.Violations;
import hazelspoke.core.WaitTracker;
import hazelspoke.http.BodyWriter;
import hazelspoke.http.ChannelBodySource;
import hazelspoke.http.HeadWriter;
import hazelspoke.http.Headers;
import hazelspoke.http.HttpLimits;
import hazelspoke.net.SocketPolling;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** A client connection: reads requests one after the other and writes the responses. */
final class ClientConnection extends ChannelInboundHandlerAdapter
    implements Client, ByteBudget.Holder {
  /** The fraction of a request's time that it may wait for room. */
  private static final double MAX_WAIT_FRACTION = 0.25;

  private final ClientServer server;
  private final Channel channel;

  /** Null once further input is discarded. */
  private StrictRequestDecoder decoder;

  /** Counts what the decoder holds of an incomplete head, and input that awaits a response. */
  private final ByteBudget.Share inputShare;

  private final PipelinedInput pipelined = new PipelinedInput();

  private final SurplusInput surplus = new SurplusInput();

  /** Whether the next request began to arrive while a response was being written. */
  private boolean nextRequestBegun;

  /** Whether the request after the current response is rejected, as there is no room for it. */
  private boolean rejectsNext;

  private ConnectionState state = ConnectionState.FRESH;
  private HttpVersion version = HttpVersion.HTTP_1_1;
  private boolean keepAlive;
  private boolean isHealthCheck;
  private Exchange exchange;

  /**
   * The request whose response is being written; null if the gateway responds to no valid request.
   */
  private Exchange answering;

  private BodyWriter writer;
  private ByteBudget.Share responseShare;
  private final Linger linger;

  /** The client-assigned id of the current or last request, for the log. */
  private String txn = "of no id";

  private double enteredAtMs;

  /** Who is waited for: the client, its host, or room. */
  private final WaitTracker waitTracker;

  private final ClientInput input;

  /** Since when the streamed request may be complete, as reported; infinite if it is not. */
  private double mayBeCompleteSinceMs;

  /** Number of body bytes received of the current request. */
  private long bodyBytes;

  /** Its body length according to the head, or {@link Body#UNKNOWN_LENGTH}. */
  private long declaredBytes;

  /** The total time for which the client was waited for to send, when the body began. */
  private double sendingMsBeforeBody;

  /** Receives the remainder of a request that was handed over incomplete; null for any other. */
  private BodyStream remainder;

  /** The total time for which the client was waited for to read, when the response began. */
  private double readingMsBeforeResponse;

  ClientConnection(ClientServer server, Channel channel) {
    this.server = server;
    this.channel = channel;
    decoder = new StrictRequestDecoder(HttpLimits.decoderConfig());
    inputShare = server.share(this);
    waitTracker = server.waitTracker();
    input = new ClientInput(server, channel, waitTracker);
    linger = new Linger(server, channel, this::close);
    enteredAtMs = server.nowMs();
  }

  /** Adds this handler and those before it to the pipeline of its channel. */
  void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(new FirstBytesHandler(this), decoder, this);
  }

  ConnectionState state() {
    return state;
  }

  /** When the connection entered its state; further bytes in the same state do not renew it. */
  double enteredAtMs() {
    return enteredAtMs;
  }

  /**
   * Called when bytes arrive, before they are decoded.
   *
   * @param bytes the bytes, which are not consumed here
   */
  void bytesReceived(ByteBuf bytes) {
    linger.onBytes();
    // A read that filled its buffer may have left bytes unread.
    input.onRead(bytes.readableBytes(), !bytes.isWritable(), remainder != null);
    switch (state) {
      case FRESH -> beginHead();
      case IDLE -> {
        if (!SurplusInput.isLineEnds(bytes)) {
          beginHead();
        }
      }
      case IN_HAND -> {
        if (surplus.exceedsEmptyLine(bytes)) {
          rejectSurplus();
        }
      }
      case ANSWERING -> nextRequestBegun |= !SurplusInput.isLineEnds(bytes);
      case HEAD, READING, CLOSING -> {
        // The decoder's output tells.
      }
    }
  }

  private void beginHead() {
    enter(ConnectionState.HEAD);
    if (server.isRejectingRequests()) {
      reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "closing");
    }
  }

  /** Called after the bytes that arrived were decoded. */
  void bytesHandled() {
    countInput();
    reportMayBeComplete();
  }

  /** Counts the input that is held besides that of the current request. */
  private void countInput() {
    long decoderBytes = decoder == null ? 0 : decoder.heldBytes();
    switch (inputShare.resize(decoderBytes + pipelined.heldBytes())) {
      case AVAILABLE -> {
        // Reads on.
      }
      case AWAITED -> pauseReading(Awaited.ROOM);
      case NONE -> giveWay();
    }
  }

  /** Rejects the request that is being received, or input after the current one. */
  @Override
  public void giveWay() {
    server.logGaveWay(describe());
    switch (state) {
      case HEAD, READING ->
          reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for a slow request");
      case IN_HAND -> rejectSurplus();
      case ANSWERING -> {
        rejectsNext = true;
        dropInput();
      }
      case CLOSING -> dropInput();
      case FRESH, IDLE -> closeFromThisSide();
    }
  }

  /** Stops decoding and releases what the decoder holds; all further input is discarded. */
  private void dropInput() {
    pipelined.drop();
    if (decoder != null) {
      StrictRequestDecoder removed = decoder;
      decoder = null;
      if (channel.pipeline().context(removed) != null) {
        channel.pipeline().remove(removed);
      }
    }
    inputShare.release();
  }

  private void close() {
    // At once, as the channel reports its close in a later event-loop iteration.
    server.connectionClosed(this);
    channel.close();
  }

  /** Closes the connection although the client is not known to have disconnected. */
  private void closeFromThisSide() {
    server.logClosed(describe());
    if (hasPendingResponse() && channel.isActive()) {
      server.reportViolation(Violations.Kind.CLOSED_UNANSWERED, describe());
    }
    close();
  }

  /** Whether a request has begun whose response is delayed by this side, not by its client. */
  boolean hasPendingResponse() {
    boolean awaitsClient = waitTracker.awaited() == Awaited.PEER_TO_READ;
    return state.isAwaitingResponse() && !(state == ConnectionState.ANSWERING && awaitsClient);
  }

  /** Describes the open request, for the log. */
  String describe() {
    return txn + " (" + state + ", " + describeWait() + ")";
  }

  @Override
  public String describeWait() {
    return waitTracker.describe();
  }

  @Override
  public Presence checkPresence() {
    Presence presence = input.checkPresence(() -> exchange != null, this::afterReadAhead);
    reportMayBeComplete();
    return presence;
  }

  private void afterReadAhead() {
    endIfInactive();
    countReadAhead();
  }

  /** Counts the part of a streamed body that was read before its host takes it. */
  private void countReadAhead() {
    Request request = exchange == null ? null : exchange.request();
    if (request != null && request.body().remainder() != null) {
      long heldBytes = request.heldBytes() + request.body().remainder().pendingBytes();
      // The little that is pending while a host reads makes nobody else give way.
      if (heldBytes < exchange.share().heldBytes() || server.hasRoomForBodies()) {
        exchange.share().resize(heldBytes);
      }
    }
  }

  /** Reads what is pending, unless reading is paused. */
  private void readPending() {
    SocketPolling.readPending(channel);
    endIfInactive();
  }

  private void endIfInactive() {
    if (!channel.isActive()) {
      // The channel reports its close in a later event-loop iteration, which may be too late.
      onEnd();
    }
  }

  /**
   * Closes the connection to make room for others. Pending input is read first; if a request has
   * begun, it is rejected before the close.
   */
  void evict() {
    ConnectionState before = state;
    readPending();
    if (state != before || !channel.isActive()) {
      return;
    }
    if (state == ConnectionState.HEAD || state == ConnectionState.READING) {
      reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for a slow request");
    } else {
      closeFromThisSide();
    }
  }

  /**
   * Rejects an incomplete request, as this process ends, and accepts no further one. Reads pending
   * input first.
   */
  void rejectIncompleteRequest() {
    readPending();
    if (!channel.isActive()) {
      return;
    }
    switch (state) {
      case HEAD, READING -> reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "closing");
      case IDLE -> closeGracefully();
      default -> {
        // The response is being written or was written. A client that has sent nothing yet is
        // rejected once it does.
      }
    }
  }

  private void enter(ConnectionState next) {
    ConnectionState before = state;
    state = next;
    enteredAtMs = server.nowMs();
    server.stateChanged(this, before);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (state == ConnectionState.CLOSING
        || (state == ConnectionState.ANSWERING && (!keepAlive || rejectsNext))
        || message instanceof ByteBuf) {
      linger.discard(message);
    } else if (state == ConnectionState.IN_HAND) {
      ReferenceCountUtil.release(message);
      rejectSurplus();
    } else if (state == ConnectionState.ANSWERING) {
      pipelined.add((HttpObject) message);
      if (pipelined.isFull()) {
        channel.config().setAutoRead(false);
      }
    } else {
      onMessage((HttpObject) message);
    }
  }

  /**
   * Rejects input that follows a request before its response; neither that input nor the request
   * before it is served. See {@link SurplusInput}.
   */
  private void rejectSurplus() {
    server.logRejected(
        describe(), HttpResponseStatus.BAD_REQUEST.code(), SurplusInput.REJECTION_MESSAGE);
    keepAlive = false;
    if (exchange != null) {
      server.clientDisconnected(exchange);
      exchange = null;
    }
    sendOwnResponse(HttpResponseStatus.BAD_REQUEST, SurplusInput.REJECTION_MESSAGE, 0);
  }

  /** Whether input that was read already follows the request that has just been received. */
  private boolean isFollowedByInput() {
    return !pipelined.isEmpty() || surplus.exceedsEmptyLine(decoder.undecodedBytes());
  }

  private void onMessage(HttpObject message) {
    try {
      if (message.decoderResult().cause() instanceof TooLongHttpHeaderException) {
        throw new BadRequestException(
            HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large");
      }
      if (message.decoderResult().isFailure()) {
        throw new BadRequestException(HttpResponseStatus.BAD_REQUEST, "this is no HTTP/1.1");
      }
      if (message instanceof HttpRequest request) {
        head(request);
      }
      if (message instanceof HttpContent content && state == ConnectionState.READING) {
        onBody(content);
      }
    } catch (BadRequestException e) {
      reject(e.status(), e.getMessage());
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  /** Rejects a request that was not accepted and closes, as later input cannot be trusted. */
  void reject(HttpResponseStatus status, String why) {
    server.logRejected(describe(), status.code(), why);
    keepAlive = false;
    dropExchange();
    sendOwnResponse(status, why, 0);
  }

  /** Ends a connection whose request is not complete in time or on which none was received. */
  void expire() {
    ConnectionState before = state;
    readPending();
    if (state != before || !channel.isActive()) {
      return;
    }
    server.logClosed(describe());
    switch (state) {
      case HEAD, READING ->
          reject(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not become whole");
      case IDLE -> closeGracefully();
      // The client never sent anything or does not read its response.
      default -> close();
    }
  }

  /** Whether the client sends a body too slowly: nothing for too long, or at too low a rate. */
  boolean isStalled() {
    double sendingMs = waitTracker.totalMs(Awaited.PEER_TO_SEND) - sendingMsBeforeBody;
    double minBytes = (sendingMs - ClientServer.BODY_TIMEOUT_MS) * ClientServer.MIN_BYTES_PER_MS;
    return waitTracker.waitedMs(Awaited.PEER_TO_SEND) > ClientServer.BODY_TIMEOUT_MS
        || bodyBytes < minBytes;
  }

  /** Whether the client has read nothing for this long although response bytes await it. */
  boolean isUnread(double limitMs) {
    return waitTracker.waitedMs(Awaited.PEER_TO_READ) > limitMs;
  }

  private void head(HttpRequest request) throws BadRequestException {
    version = request.protocolVersion();
    keepAlive = HttpUtil.isKeepAlive(request);
    isHealthCheck = request.method().equals(HttpMethod.GET) && request.uri().equals("/healthz");
    enter(ConnectionState.READING);
    bodyBytes = 0;
    sendingMsBeforeBody = waitTracker.totalMs(Awaited.PEER_TO_SEND);
    mayBeCompleteSinceMs = Double.POSITIVE_INFINITY;
    input.onRequestBegun();
    surplus.onRequestBegun();
    nextRequestBegun = false;
    if (isHealthCheck) {
      RequestHead.checkLength(request, 0);
      return;
    }
    exchange = server.exchange(request, this);
    txn = exchange.request().txn();
    declaredBytes = HttpUtil.getContentLength(request, Body.UNKNOWN_LENGTH);
    exchange
        .share()
        .setMaxWait(
            Math.min(ByteBudget.MAX_WAIT_MS, MAX_WAIT_FRACTION * exchange.request().remainingMs()));
    countRequest();
    if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          HeadWriter.response(channel.alloc(), HttpResponseStatus.CONTINUE).finish(0));
    }
  }

  private void onBody(HttpContent content) throws BadRequestException {
    int byteCount = content.content().readableBytes();
    bodyBytes += byteCount;
    if (bodyBytes > Body.MAX_BYTES) {
      throw new BadRequestException(
          HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
    }
    if (content instanceof LastHttpContent && isFollowedByInput()) {
      throw new BadRequestException(HttpResponseStatus.BAD_REQUEST, SurplusInput.REJECTION_MESSAGE);
    }
    if (remainder != null) {
      stream(content);
      return;
    }
    if (!isHealthCheck && byteCount > 0) {
      Body body = exchange.request().body();
      body.append(content.content());
      countRequest();
      boolean large =
          body.bufferedLength() > Body.MAX_BUFFERED_REQUEST_BYTES
              || (body.bufferedLength() > Body.STREAMING_THRESHOLD_BYTES
                  && !server.hasRoomForBodies());
      if (large && !(content instanceof LastHttpContent)) {
        startStreaming(body);
        return;
      }
    }
    if (content instanceof LastHttpContent) {
      channel.config().setAutoRead(true);
      waitTracker.setAwaited(Awaited.OTHER_SIDE);
      if (isHealthCheck) {
        enter(ConnectionState.IN_HAND);
        boolean ready = server.isReady();
        sendOwnResponse(
            ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
            ready ? "ready" : "closing",
            0);
      } else {
        claimId();
        exchange.share().commit();
        reportWait();
        enter(ConnectionState.IN_HAND);
        server.requestAccepted(exchange);
      }
    }
  }

  /** Counts the head and the body received so far, and pauses if there is no room for more. */
  private void countRequest() throws BadRequestException {
    switch (exchange.share().resize(exchange.request().heldBytes())) {
      case AVAILABLE -> {
        // Reads on.
      }
      case AWAITED -> pauseReading(Awaited.ROOM);
      case NONE ->
          throw new BadRequestException(
              HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for the request");
    }
  }

  /** Hands over a request whose body is incomplete; the remainder is streamed as it arrives. */
  private void startStreaming(Body body) throws BadRequestException {
    claimId();
    Exchange handedOver = exchange;
    remainder =
        new BodyStream(
            new ChannelBodySource(channel, waitTracker) {
              @Override
              public void setReading(boolean enabled) {
                if (enabled) {
                  resume();
                } else {
                  pauseReading(Awaited.OTHER_SIDE);
                }
              }

              @Override
              public void onAttached() {
                body.releaseBuffered();
                countReadAhead();
              }

              @Override
              public void onTaken() {
                countReadAhead();
              }

              @Override
              public void onAbandoned() {
                // The response is being written; input after it is read and discarded.
                channel.config().setAutoRead(true);
              }
            });
    body.setRemainder(remainder, declaredBytes);
    // From now on a host and this side determine when it is read on.
    handedOver.share().commit();
    server.requestAccepted(handedOver);
  }

  private void stream(HttpContent content) {
    BodyStream target = remainder;
    target.offer(ByteBufUtil.getBytes(content.content()));
    if (content instanceof LastHttpContent) {
      remainder = null;
      channel.config().setAutoRead(true);
      waitTracker.setAwaited(Awaited.OTHER_SIDE);
      Exchange complete = exchange;
      enter(ConnectionState.IN_HAND);
      reportWait();
      // Before the host can have it all, as the time of the request runs from here.
      server.requestComplete(complete);
      target.end();
    }
  }

  private void claimId() throws BadRequestException {
    if (!server.claimId(exchange)) {
      throw new BadRequestException(
          HttpResponseStatus.CONFLICT, Headers.TXN + " belongs to an open or a recent request");
    }
  }

  private void pauseReading(Awaited awaited) {
    awaitForRequest(awaited);
    input.pause();
  }

  /** Reports who is waited for while a request is received; a response has its own account. */
  private void awaitForRequest(Awaited awaited) {
    if (state == ConnectionState.HEAD || state == ConnectionState.READING) {
      waitTracker.setAwaited(awaited);
    }
  }

  /** Reports since when the client of a streamed request may wait for its answer. */
  private void reportMayBeComplete() {
    if (remainder == null || exchange == null) {
      return;
    }
    long missingBytes =
        declaredBytes == Body.UNKNOWN_LENGTH ? Body.UNKNOWN_LENGTH : declaredBytes - bodyBytes;
    double sinceMs = input.mayBeCompleteSinceMs(missingBytes);
    if (sinceMs != mayBeCompleteSinceMs) {
      mayBeCompleteSinceMs = sinceMs;
      server.requestMayBeComplete(exchange, sinceMs);
    }
    input.recheckWhenCaughtUp(this::reportMayBeComplete);
  }

  /** Counts the wait of the last bytes of the request as its time. */
  private void reportWait() {
    exchange.setUnread(input.waitedMs());
  }

  /** Continues to read after a pause. */
  @Override
  public void resume() {
    awaitForRequest(Awaited.PEER_TO_SEND);
    input.resume();
  }

  @Override
  public void answer(Answer answer) {
    if (state == ConnectionState.ANSWERING || state == ConnectionState.CLOSING) {
      server.reportViolation(Violations.Kind.ANSWERED_TWICE, describe());
      if (answer.outcome() == Answer.Outcome.SERVED) {
        answer.share().release();
        answer.body().abandon();
      }
      return;
    }
    switch (answer.outcome()) {
      case SERVED -> respondFromHost(answer);
      case REFUSED ->
          respondWithStatus(HttpResponseStatus.SERVICE_UNAVAILABLE, answer.retryAfterMs());
      case FAILED ->
          respondWithStatus(
              answer.deadlineExceeded()
                  ? HttpResponseStatus.GATEWAY_TIMEOUT
                  : HttpResponseStatus.BAD_GATEWAY,
              0);
    }
  }

  /** Writes the response of a host unchanged. */
  private void respondFromHost(Answer answer) {
    responseShare = answer.share();
    Body body = answer.body();
    boolean unknownLength = body.totalLength() == Body.UNKNOWN_LENGTH;
    // HTTP/1.0 has no chunked encoding: the end of the connection delimits the response.
    keepAlive &= !unknownLength || !version.equals(HttpVersion.HTTP_1_0);
    write(head(HttpResponseStatus.OK, body).add(answer.metadata()), body);
  }

  /** Writes a response of the gateway itself, with the reason phrase as its body. */
  private void respondWithStatus(HttpResponseStatus status, double retryAfterMs) {
    sendOwnResponse(status, status.reasonPhrase(), retryAfterMs);
  }

  private void sendOwnResponse(HttpResponseStatus status, String text, double retryAfterMs) {
    Body body = new Body();
    body.append(Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8));
    HeadWriter head =
        head(status, body).add(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
    if (retryAfterMs > 0) {
      head.add(HttpHeaderNames.RETRY_AFTER, Headers.formatSeconds(retryAfterMs));
    }
    write(head, body);
  }

  private void write(HeadWriter head, Body body) {
    answering = exchange;
    exchange = null;
    remainder = null;
    enter(ConnectionState.ANSWERING);
    if (!keepAlive) {
      dropInput();
    }
    boolean chunked =
        body.totalLength() == Body.UNKNOWN_LENGTH && !version.equals(HttpVersion.HTTP_1_0);
    readingMsBeforeResponse = waitTracker.totalMs(Awaited.PEER_TO_READ);
    writer =
        new BodyWriter(channel, body, waitTracker, chunked, this::onResponseWritten, this::close);
    writer.start(head);
  }

  /** Builds the head of a response with the headers of this connection. */
  private HeadWriter head(HttpResponseStatus status, Body body) {
    if (state == ConnectionState.READING || state == ConnectionState.HEAD) {
      // The remainder of the request may still arrive and must not be read as the next one.
      keepAlive = false;
      linger.setAwaitsRequestBody(remainder != null);
    }
    keepAlive &= !server.isClosingAfterResponse();
    HeadWriter head = HeadWriter.response(channel.alloc(), status);
    if (!keepAlive) {
      head.add(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (version.equals(HttpVersion.HTTP_1_0)) {
      head.add(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
    if (body.totalLength() != Body.UNKNOWN_LENGTH) {
      head.add(HttpHeaderNames.CONTENT_LENGTH, Long.toString(body.totalLength()));
    } else if (!version.equals(HttpVersion.HTTP_1_0)) {
      head.add(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    return head;
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (writer != null && channel.isWritable()) {
      writer.resume();
    }
  }

  private void onResponseWritten(Future<? super Void> written) {
    writer = null;
    releaseResponse();
    reportResponseWritten();
    if (!written.isSuccess()) {
      close();
    } else if (keepAlive) {
      // In a later event-loop iteration, so that pipelined requests do not deepen the stack.
      channel.eventLoop().execute(this::readNext);
    } else {
      closeGracefully();
    }
  }

  private void readNext() {
    if (!channel.isActive()) {
      return;
    }
    enter(ConnectionState.IDLE);
    waitTracker.setAwaited(Awaited.PEER_TO_SEND);
    input.reset();
    if (rejectsNext) {
      reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for a further request");
      return;
    }
    while (!pipelined.isEmpty()
        && (state == ConnectionState.IDLE || state == ConnectionState.READING)) {
      onMessage(pipelined.poll());
    }
    if (state == ConnectionState.IDLE && nextRequestBegun) {
      nextRequestBegun = false;
      beginHead();
    }
    countInput();
    if (state == ConnectionState.IDLE && server.isShuttingDown()) {
      expire();
    } else if (!pipelined.isFull()) {
      channel.config().setAutoRead(true);
    }
  }

  /**
   * Shuts the output down and reads on for a while: a close with unread input sends a reset, which
   * can destroy the response on its way to the client.
   */
  void closeGracefully() {
    keepAlive = false;
    enter(ConnectionState.CLOSING);
    waitTracker.setAwaited(Awaited.PEER_TO_SEND);
    dropInput();
    channel.config().setAutoRead(true);
    ((DuplexChannel) channel).shutdownOutput();
    linger.start();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    boolean connectionBroken = cause instanceof IOException;
    if (!connectionBroken) {
      server.logFailure(cause);
    }
    if (connectionBroken || !channel.isActive()) {
      close();
    } else if (state.isAwaitingResponse() && state != ConnectionState.ANSWERING) {
      failWithInternalError();
    } else {
      // Without a pending request, a response would be taken for that to the next request.
      closeFromThisSide();
    }
  }

  /** Reports an error of this program to the client and reads no further requests. */
  private void failWithInternalError() {
    keepAlive = false;
    if (state == ConnectionState.IN_HAND && exchange != null) {
      server.clientDisconnected(exchange);
      exchange = null;
    }
    dropExchange();
    sendOwnResponse(HttpResponseStatus.INTERNAL_SERVER_ERROR, "a fault of this gateway", 0);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    onEnd();
  }

  /** Releases everything of a connection that has ended. May be called twice. */
  private void onEnd() {
    server.connectionClosed(this);
    if (writer != null) {
      BodyWriter abandoned = writer;
      writer = null;
      abandoned.abandon();
    }
    releaseResponse();
    reportResponseWritten();
    pipelined.drop();
    inputShare.release();
    if (state == ConnectionState.IN_HAND && exchange != null) {
      server.clientDisconnected(exchange);
      exchange = null;
    }
    dropExchange();
    state = ConnectionState.CLOSING;
  }

  private void releaseResponse() {
    if (responseShare != null) {
      responseShare.release();
      responseShare = null;
    }
  }

  private void reportResponseWritten() {
    if (answering != null) {
      Exchange answered = answering;
      answering = null;
      double unreadMs = waitTracker.totalMs(Awaited.PEER_TO_READ) - readingMsBeforeResponse;
      server.responseWritten(answered, unreadMs);
    }
  }

  /** Drops a request that is incomplete. */
  private void dropExchange() {
    if (exchange != null) {
      Exchange dropped = exchange;
      exchange = null;
      if (remainder != null) {
        // It was handed over but never completed: only this side responds to it.
        remainder.fail();
        remainder = null;
        server.clientDisconnected(dropped);
      } else {
        dropped.share().release();
      }
    }
  }
}
