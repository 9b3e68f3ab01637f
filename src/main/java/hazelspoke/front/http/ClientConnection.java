package hazelspoke.front.http;

import hazelspoke.core.Answer;
import hazelspoke.core.Body;
import hazelspoke.core.ByteBudget;
import hazelspoke.core.Client;
import hazelspoke.core.Exchange;
import hazelspoke.http.BodyWriter;
import hazelspoke.http.HeadWriter;
import hazelspoke.http.Headers;
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

  /** What the connection is at, in the order in which others may take its place. */
  enum State {
    /** The last answer is out; what still comes is not read as a request. */
    CLOSING,
    /** Accepted, and no request has begun to come. */
    FRESH,
    /** Between requests. */
    IDLE,
    /** A request has begun to come. */
    READING,
    /** A whole request has not been answered. */
    IN_HAND,
    /** An answer is being written. */
    ANSWERING
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
  private BodyWriter writer;
  private ByteBudget.Share answerShare;
  private int lingerBytes;
  private double enteredAt;

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

  void close() {
    // At once, as the channel tells of its end on a later turn.
    server.closed(this);
    channel.close();
  }

  private void enter(State next) {
    State before = state;
    state = next;
    enteredAt = server.nowMs();
    server.changed(this, before);
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
    if (lingerBytes > MOST_LINGER_BYTES) {
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
      server.clientGone(exchange);
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
    if (state == State.READING) {
      turnAway(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not become whole");
    } else if (state == State.IDLE) {
      closeGracefully();
    } else {
      close();
    }
  }

  private void head(HttpRequest request) throws BadRequestException {
    version = request.protocolVersion();
    keepAlive = HttpUtil.isKeepAlive(request);
    health = request.method().equals(HttpMethod.GET) && request.uri().equals("/healthz");
    enter(State.READING);
    if (health) {
      RequestHead.checkLength(request, 0);
      return;
    }
    exchange = server.exchange(request, this);
    if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(HeadWriter.answer(channel.alloc(), HttpResponseStatus.CONTINUE).end(0));
    }
  }

  private void body(HttpContent content) throws BadRequestException {
    int more = content.content().readableBytes();
    if (!health && more > 0) {
      Body body = exchange.request().body();
      if (body.length() + more > Body.MOST_BYTES) {
        throw new BadRequestException(
            HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
      }
      body.append(content.content());
      if (!exchange.share().add(more)) {
        channel.config().setAutoRead(false);
      }
    }
    if (content instanceof LastHttpContent) {
      channel.config().setAutoRead(true);
      if (health) {
        boolean ready = server.isReady();
        answer(
            ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
            ready ? "ready" : "closing",
            0);
      } else if (server.isOpen(exchange)) {
        throw new BadRequestException(
            HttpResponseStatus.CONFLICT, Headers.TXN + " belongs to an open request");
      } else {
        enter(State.IN_HAND);
        server.taken(exchange);
      }
    }
  }

  void resumeReading() {
    channel.config().setAutoRead(true);
  }

  @Override
  public void answer(Answer answer) {
    switch (answer.outcome()) {
      case SERVED -> served(answer);
      case REFUSED -> own(HttpResponseStatus.SERVICE_UNAVAILABLE, answer.retryAfterMs());
      case FAILED ->
          own(
              answer.late() ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY,
              0);
    }
  }

  /** Answers with a host's whole answer, unchanged. */
  private void served(Answer answer) {
    answerShare = answer.share();
    write(head(HttpResponseStatus.OK, answer.body()).add(answer.metadata()), answer.body());
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
      head.add(HttpHeaderNames.RETRY_AFTER, Headers.seconds(retryAfterMs));
    }
    write(head, body);
  }

  private void write(HeadWriter head, Body body) {
    exchange = null;
    enter(State.ANSWERING);
    writer = new BodyWriter(channel, body, this::answerWritten);
    writer.start(head);
  }

  /** The head of an answer, with what is said of this connection. */
  private HeadWriter head(HttpResponseStatus status, Body body) {
    keepAlive &= !server.isSendingAway();
    HeadWriter head = HeadWriter.answer(channel.alloc(), status);
    if (!keepAlive) {
      head.add(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (version.equals(HttpVersion.HTTP_1_0)) {
      head.add(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
    return head.add(HttpHeaderNames.CONTENT_LENGTH, Long.toString(body.length()));
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
    } else if (state == State.IDLE && server.isLeaving()) {
      closeGracefully();
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
    channel.eventLoop().schedule(this::close, LINGER_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    server.closed(this);
    releaseAnswer();
    dropAhead();
    if (state == State.IN_HAND && exchange != null) {
      server.clientGone(exchange);
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

  /** Forgets a request that was not taken on. */
  private void dropExchange() {
    if (exchange != null) {
      exchange.share().release();
      exchange = null;
    }
  }

  private void dropAhead() {
    ahead.forEach(ReferenceCountUtil::release);
    ahead.clear();
    aheadBytes = 0;
  }
}
