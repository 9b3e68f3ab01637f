package hazelspoke.front.http;

import hazelspoke.core.Answer;
import hazelspoke.core.Body;
import hazelspoke.core.BodyStream;
import hazelspoke.core.ByteBudget;
import hazelspoke.core.Client;
import hazelspoke.core.Exchange;
import hazelspoke.core.Violations;
import hazelspoke.http.BodyWriter;
import hazelspoke.http.ChannelBodySource;
import hazelspoke.http.HeadWriter;
import hazelspoke.http.Headers;
import hazelspoke.net.SocketPolling;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** One connection of a client's: reads its requests one after the other, and writes the answers. */
final class ClientConnection extends ChannelInboundHandlerAdapter implements Client {
  /** What a client may send ahead while its answer is being written; then reading stops. */
  private static final int MOST_AHEAD_BYTES = 16_384;

  private static final int HEAD_BYTES_ASSUMED = 1_024;

  /** How long a connection is read on after its last answer, so that no reset destroys that. */
  private static final long LINGER_MS = 1_000;

  /** And how much of what still comes: a client that sends on and on is not worth the reading. */
  private static final int MOST_LINGER_BYTES = 262_144;

  /** But the rest of a request that was taken is read for so long, or its sender sees a reset. */
  private static final double MOST_LINGER_MS = 10_000;

  /** What the connection is at, in the order in which others may take its place. */
  enum State {
    /** The last answer is out; what still comes is not read as a request. */
    CLOSING,
    /** Accepted, and no request has begun to come. */
    FRESH,
    /** The first bytes of a request have come, and its head is not whole. */
    HEAD,
    /** Between requests. */
    IDLE,
    /** The head of a request has come, and the body has not, or not all of it. */
    READING,
    /** A whole request has not been answered. */
    IN_HAND,
    /** An answer is being written. */
    ANSWERING;

    /** Whether bytes of a request were read that has had no whole answer. */
    boolean isAwaitingResponse() {
      return this == HEAD || this == READING || this == IN_HAND || this == ANSWERING;
    }
  }

  private final ClientServer server;
  private final Channel channel;
  private final Deque<HttpObject> ahead = new ArrayDeque<>();
  private int aheadBytes;
  private State state = State.FRESH;
  private HttpVersion version = HttpVersion.HTTP_1_1;
  private boolean keepAlive;
  private boolean health;
  private Exchange exchange;

  /** What the answer that is being written answers; null with the gateway's own words to none. */
  private Exchange answering;

  private BodyWriter writer;
  private ByteBudget.Share answerShare;
  private int lingerBytes;

  /** Whether an answer went out to a request that was taken and whose rest is still coming. */
  private boolean unfinished;

  private double enteredAt;

  /** When it is looked at next whether a client that was answered still sends on. */
  private double lingerUntil;

  /** Of the request that is being read: its bytes so far, and when the last of them came. */
  private long bodyBytes;

  /** What its head says that it will have, or {@link Body#UNKNOWN_LENGTH}. */
  private long declaredBytes;

  private double heardAt;

  /** From when on its rate is looked at, and the bytes that had come by then. */
  private double countedFrom;

  private long countedBytes;

  /** Where the rest of a request goes that is handed over already; null with any other. */
  private BodyStream passing;

  /** How far an answer had come when that was last looked at, and since when it stands there. */
  private long seenGone;

  private double seenGoneAt;

  ClientConnection(ClientServer server, Channel channel) {
    this.server = server;
    this.channel = channel;
    enteredAt = server.nowMs();
  }

  State state() {
    return state;
  }

  /** Since when the connection is at what it is at; trickling bytes do not renew it. */
  double enteredAt() {
    return enteredAt;
  }

  /** Bytes have come, which are not decoded yet. */
  void bytesReceived() {
    heardAt = server.nowMs();
    if (state == State.FRESH || state == State.IDLE) {
      enter(State.HEAD);
      if (server.isRejectingRequests()) {
        turnAway(HttpResponseStatus.SERVICE_UNAVAILABLE, "closing");
      }
    }
  }

  private void close() {
    // At once, as the channel tells of its end on a later turn.
    server.connectionClosed(this);
    channel.close();
  }

  /** Closes it from here, where its client is not known to have gone. */
  private void closeUnasked() {
    if (hasPendingResponse() && channel.isActive()) {
      server.reportViolation(Violations.Kind.CLOSED_UNANSWERED, describe());
    }
    close();
  }

  /** Whether a request has begun here whose answer waits for this side, not for its client. */
  boolean hasPendingResponse() {
    boolean unread = state == State.ANSWERING && writer != null && writer.isAwaitingPeer();
    return state.isAwaitingResponse() && !unread;
  }

  /** The request that is open here, for the log. */
  String describe() {
    Exchange open = exchange != null ? exchange : answering;
    String txn = open == null || open.request() == null ? "of no id" : open.request().txn();
    return txn + " (" + state + ")";
  }

  @Override
  public void readPending() {
    SocketPolling.readPending(channel);
    if (!channel.isActive()) {
      // The channel tells of its end on a later turn, which may be too late.
      ended();
    }
  }

  /**
   * Makes room for others. What a client has sent by now is read first; one whose request has begun
   * to come is answered, and its connection ends behind that.
   */
  void makeRoom() {
    State seen = state;
    readPending();
    if (state != seen || !channel.isActive()) {
      return;
    }
    if (state == State.HEAD || state == State.READING) {
      turnAway(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for a slow request");
    } else {
      closeUnasked();
    }
  }

  /**
   * This process ends now: a request that is still coming is refused, and nothing is read as one
   * any more. Reads first what its client has sent by now.
   */
  void rejectIncompleteRequest() {
    readPending();
    if (!channel.isActive()) {
      return;
    }
    switch (state) {
      case HEAD, READING -> turnAway(HttpResponseStatus.SERVICE_UNAVAILABLE, "closing");
      case IDLE -> closeGracefully();
      default -> {
        // Its answer is on its way, or it has had it; one that has not spoken yet is answered when
        // it does.
      }
    }
  }

  private void enter(State next) {
    State before = state;
    state = next;
    enteredAt = server.nowMs();
    server.stateChanged(this, before);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (state == State.CLOSING || (state == State.ANSWERING && !keepAlive)) {
      discard(message);
    } else if (state == State.IN_HAND) {
      ReferenceCountUtil.release(message);
      sentAhead();
    } else if (state == State.ANSWERING) {
      ahead.add((HttpObject) message);
      aheadBytes += size(message);
      if (aheadBytes > MOST_AHEAD_BYTES) {
        channel.config().setAutoRead(false);
      }
    } else {
      take((HttpObject) message);
    }
  }

  private void discard(Object message) {
    lingerBytes += size(message);
    ReferenceCountUtil.release(message);
    if (lingerBytes > (unfinished ? Body.MAX_BYTES : MOST_LINGER_BYTES)) {
      channel.config().setAutoRead(false);
    }
  }

  /**
   * Clients send one request at a time. What comes before the answer is noise behind a body, a
   * request hidden in it, or hundreds at once; none of it, nor what it came with, is served.
   */
  private void sentAhead() {
    keepAlive = false;
    if (exchange != null) {
      server.clientDisconnected(exchange);
      exchange = null;
    }
    answer(HttpResponseStatus.BAD_REQUEST, "one request at a time", 0);
  }

  private static int size(Object message) {
    return message instanceof HttpContent content
        ? content.content().readableBytes()
        : HEAD_BYTES_ASSUMED;
  }

  private void take(HttpObject message) {
    try {
      if (message.decoderResult().isFailure()) {
        throw new BadRequestException(HttpResponseStatus.BAD_REQUEST, "this is no HTTP/1.1");
      }
      if (message instanceof HttpRequest request) {
        head(request);
      }
      if (message instanceof HttpContent content && state == State.READING) {
        body(content);
      }
    } catch (BadRequestException e) {
      turnAway(e.status(), e.getMessage());
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  /** Answers what was not taken on, and closes: nothing behind it can be trusted. */
  void turnAway(HttpResponseStatus status, String why) {
    keepAlive = false;
    dropExchange();
    answer(status, why, 0);
  }

  /** The request did not become whole in time, or none came. */
  void expire() {
    State seen = state;
    readPending();
    if (state != seen || !channel.isActive()) {
      return;
    }
    switch (state) {
      case HEAD, READING ->
          turnAway(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not become whole");
      case IDLE -> closeGracefully();
      // It never said anything, or has not taken what was written for it in good time.
      default -> close();
    }
  }

  /** Whether a body comes so slowly, by all that has come and by the last of it, as to not end. */
  boolean isStalled(double now) {
    if (countedFrom < enteredAt) {
      countedFrom = enteredAt;
      countedBytes = 0;
    }
    if (!channel.config().isAutoRead()) {
      // It is this side that does not read on: counted anew from here.
      countedFrom = now;
      countedBytes = bodyBytes;
      heardAt = now;
    }
    double readingMs = now - countedFrom;
    double least = (readingMs - ClientServer.READING_MS) * ClientServer.LEAST_BYTES_PER_MS;
    return readingMs > ClientServer.READING_MS
        && (now - heardAt > ClientServer.READING_MS || bodyBytes - countedBytes < least);
  }

  /** Whether the client has not taken anything of its answer for so long, with some to take. */
  boolean isUnread(double now, double forMs) {
    long gone = writer == null ? 0 : writer.piecesWritten();
    if (gone != seenGone || (writer != null && !writer.isAwaitingPeer())) {
      seenGone = gone;
      seenGoneAt = now;
    }
    return now - Math.max(seenGoneAt, enteredAt) > forMs;
  }

  private void head(HttpRequest request) throws BadRequestException {
    version = request.protocolVersion();
    keepAlive = HttpUtil.isKeepAlive(request);
    health = request.method().equals(HttpMethod.GET) && request.uri().equals("/healthz");
    enter(State.READING);
    bodyBytes = 0;
    if (health) {
      RequestHead.checkLength(request, 0);
      return;
    }
    exchange = server.exchange(request, this);
    declaredBytes = HttpUtil.getContentLength(request, Body.UNKNOWN_LENGTH);
    if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          HeadWriter.response(channel.alloc(), HttpResponseStatus.CONTINUE).finish(0));
    }
  }

  private void body(HttpContent content) throws BadRequestException {
    int more = content.content().readableBytes();
    bodyBytes += more;
    if (bodyBytes > Body.MAX_BYTES) {
      throw new BadRequestException(
          HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
    }
    if (passing != null) {
      passOn(content);
      return;
    }
    if (!health && more > 0) {
      Body body = exchange.request().body();
      body.append(content.content());
      boolean room = exchange.share().add(more);
      boolean large =
          body.bufferedLength() > Body.MAX_BUFFERED_REQUEST_BYTES
              || (body.bufferedLength() > Body.STREAMING_THRESHOLD_BYTES
                  && !server.hasRoomForBodies());
      if (large && !(content instanceof LastHttpContent)) {
        passOnFrom(body);
        return;
      }
      if (!room) {
        channel.config().setAutoRead(false);
      }
    }
    if (content instanceof LastHttpContent) {
      channel.config().setAutoRead(true);
      if (health) {
        enter(State.IN_HAND);
        boolean ready = server.isReady();
        answer(
            ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
            ready ? "ready" : "closing",
            0);
      } else {
        checkNotOpen();
        enter(State.IN_HAND);
        server.requestAccepted(exchange);
      }
    }
  }

  /** Hands over a request of which only the beginning is there; the rest goes on as it comes. */
  private void passOnFrom(Body body) throws BadRequestException {
    checkNotOpen();
    Exchange handed = exchange;
    passing =
        new BodyStream(
            new ChannelBodySource(channel) {
              @Override
              public void onAttached() {
                body.releaseBuffered();
                handed.share().release();
              }

              @Override
              public void onAbandoned() {
                // The answer is on its way; what still comes is read and dropped behind it.
                channel.config().setAutoRead(true);
              }
            });
    body.setRemainder(passing, declaredBytes);
    server.requestAccepted(handed);
  }

  private void passOn(HttpContent content) {
    BodyStream to = passing;
    to.offer(ByteBufUtil.getBytes(content.content()));
    if (content instanceof LastHttpContent) {
      passing = null;
      channel.config().setAutoRead(true);
      Exchange whole = exchange;
      enter(State.IN_HAND);
      // Before its host has it: the time of the request runs from here.
      server.requestComplete(whole);
      to.end();
    }
  }

  private void checkNotOpen() throws BadRequestException {
    if (server.isOpen(exchange)) {
      throw new BadRequestException(
          HttpResponseStatus.CONFLICT, Headers.TXN + " belongs to an open request");
    }
  }

  void resumeReading() {
    channel.config().setAutoRead(true);
  }

  @Override
  public void answer(Answer answer) {
    if (state == State.ANSWERING || state == State.CLOSING) {
      server.reportViolation(Violations.Kind.ANSWERED_TWICE, describe());
      if (answer.outcome() == Answer.Outcome.SERVED) {
        answer.share().release();
        answer.body().abandon();
      }
      return;
    }
    switch (answer.outcome()) {
      case SERVED -> served(answer);
      case REFUSED -> own(HttpResponseStatus.SERVICE_UNAVAILABLE, answer.retryAfterMs());
      case FAILED ->
          own(
              answer.deadlineExceeded()
                  ? HttpResponseStatus.GATEWAY_TIMEOUT
                  : HttpResponseStatus.BAD_GATEWAY,
              0);
    }
  }

  /** Answers with a host's whole answer, unchanged. */
  private void served(Answer answer) {
    answerShare = answer.share();
    Body body = answer.body();
    boolean untold = body.totalLength() == Body.UNKNOWN_LENGTH;
    // A client of the old protocol knows no chunks: its answer ends with the connection.
    keepAlive &= !untold || !version.equals(HttpVersion.HTTP_1_0);
    write(head(HttpResponseStatus.OK, body).add(answer.metadata()), body);
  }

  /** Answers in the gateway's own words. */
  private void own(HttpResponseStatus status, double retryAfterMs) {
    answer(status, status.reasonPhrase(), retryAfterMs);
  }

  private void answer(HttpResponseStatus status, String text, double retryAfterMs) {
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
    passing = null;
    enter(State.ANSWERING);
    boolean chunked =
        body.totalLength() == Body.UNKNOWN_LENGTH && !version.equals(HttpVersion.HTTP_1_0);
    writer = new BodyWriter(channel, body, chunked, this::answerWritten, this::close);
    writer.start(head);
  }

  /** The head of an answer, with what is said of this connection. */
  private HeadWriter head(HttpResponseStatus status, Body body) {
    if (state == State.READING || state == State.HEAD) {
      // The rest of the request may still come, and is none of the next.
      keepAlive = false;
      unfinished = passing != null;
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

  private void answerWritten(Future<? super Void> written) {
    writer = null;
    releaseAnswer();
    answerLeft();
    if (!written.isSuccess()) {
      close();
    } else if (keepAlive) {
      // On a later turn: answers to many requests sent ahead must not pile up on the stack.
      channel.eventLoop().execute(this::next);
    } else {
      closeGracefully();
    }
  }

  private void next() {
    if (!channel.isActive()) {
      return;
    }
    enter(State.IDLE);
    while (!ahead.isEmpty() && (state == State.IDLE || state == State.READING)) {
      HttpObject message = ahead.poll();
      aheadBytes -= size(message);
      take(message);
    }
    if (state == State.IN_HAND && !ahead.isEmpty()) {
      sentAhead();
    } else if (state == State.IDLE && server.isShuttingDown()) {
      expire();
    } else if (aheadBytes <= MOST_AHEAD_BYTES) {
      channel.config().setAutoRead(true);
    }
  }

  /**
   * Ends the own side and reads on for a moment: a close with unread input sends a reset, and that
   * can destroy the answer on its way to the client.
   */
  void closeGracefully() {
    keepAlive = false;
    enter(State.CLOSING);
    dropAhead();
    channel.config().setAutoRead(true);
    ((DuplexChannel) channel).shutdownOutput();
    linger();
  }

  private void linger() {
    lingerUntil = server.nowMs() + LINGER_MS;
    channel.eventLoop().schedule(this::endLinger, LINGER_MS, TimeUnit.MILLISECONDS);
  }

  private void endLinger() {
    double now = server.nowMs();
    // A loop that stood still has heard nobody, and its client may have stood still with it.
    boolean late = now - lingerUntil > LINGER_MS / 4.0;
    boolean sendsOn =
        unfinished && channel.config().isAutoRead() && (late || now - heardAt < LINGER_MS);
    if (sendsOn && now - enteredAt < MOST_LINGER_MS) {
      linger();
    } else {
      close();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    boolean broken = cause instanceof IOException;
    if (!broken) {
      server.logFailure(cause);
    }
    if (broken || !channel.isActive()) {
      close();
    } else if (state.isAwaitingResponse() && state != State.ANSWERING) {
      failOwn();
    } else {
      // Where nothing is asked an answer would be taken for that to the next request.
      closeUnasked();
    }
  }

  /** A fault of this program: whoever asked is told, and nothing behind it is read. */
  private void failOwn() {
    keepAlive = false;
    if (state == State.IN_HAND && exchange != null) {
      server.clientDisconnected(exchange);
      exchange = null;
    }
    dropExchange();
    answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, "a fault of this gateway", 0);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    ended();
  }

  /** The connection has ended: nothing more is done for who was there. May be told twice. */
  private void ended() {
    server.connectionClosed(this);
    if (writer != null) {
      BodyWriter unfinished = writer;
      writer = null;
      unfinished.abandon();
    }
    releaseAnswer();
    answerLeft();
    dropAhead();
    if (state == State.IN_HAND && exchange != null) {
      server.clientDisconnected(exchange);
      exchange = null;
    }
    dropExchange();
    state = State.CLOSING;
  }

  private void releaseAnswer() {
    if (answerShare != null) {
      answerShare.release();
      answerShare = null;
    }
  }

  private void answerLeft() {
    if (answering != null) {
      Exchange left = answering;
      answering = null;
      server.responseWritten(left);
    }
  }

  /** Forgets a request that was not taken on. */
  private void dropExchange() {
    if (exchange != null) {
      Exchange dropped = exchange;
      exchange = null;
      if (passing != null) {
        // It was handed over, but never became whole: it is owed no answer but this side's.
        passing.fail();
        passing = null;
        server.clientDisconnected(dropped);
      } else {
        dropped.share().release();
      }
    }
  }

  private void dropAhead() {
    ahead.forEach(ReferenceCountUtil::release);
    ahead.clear();
    aheadBytes = 0;
  }
}
