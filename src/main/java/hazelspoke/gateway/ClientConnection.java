package hazelspoke.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
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
final class ClientConnection extends ChannelInboundHandlerAdapter {
  private static final long MOST_BODY_BYTES = 32L << 20;

  /** What a client may send ahead while its request is in hand; then reading stops. */
  private static final int MOST_AHEAD_BYTES = 16_384;

  private static final int HEAD_BYTES_ASSUMED = 1_024;

  /** How long a connection is read on after its last answer, so that no reset destroys that. */
  private static final long LINGER_MS = 1_000;

  /** What the connection is at. */
  enum State {
    /** Between requests. */
    IDLE,
    /** A request has begun to come. */
    READING,
    /** A whole request has not been answered. */
    IN_HAND,
    /** An answer is being written. */
    ANSWERING,
    /** The last answer is out; what still comes is not read as a request. */
    CLOSING
  }

  private final ClientServer server;
  private final Channel channel;
  private final Deque<HttpObject> ahead = new ArrayDeque<>();
  private int aheadBytes;
  private State state = State.IDLE;
  private HttpVersion version = HttpVersion.HTTP_1_1;
  private boolean keepAlive;
  private boolean health;
  private Exchange exchange;
  private BodyWriter writer;
  private ByteBudget.Share answerShare;
  private HostConnection source;
  private double progressAt;

  ClientConnection(ClientServer server, Channel channel) {
    this.server = server;
    this.channel = channel;
    progressAt = server.nowMs();
  }

  State state() {
    return state;
  }

  /** When the connection last got on with what it is at. */
  double progressAt() {
    return progressAt;
  }

  void close() {
    channel.close();
  }

  private void enter(State next) {
    state = next;
    progressAt = server.nowMs();
    server.changed(this);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (state == State.CLOSING) {
      ReferenceCountUtil.release(message);
    } else if (state == State.IN_HAND || state == State.ANSWERING) {
      ahead.add((HttpObject) message);
      aheadBytes += size(message);
      if (aheadBytes > MOST_AHEAD_BYTES) {
        channel.config().setAutoRead(false);
      }
    } else {
      take((HttpObject) message);
    }
  }

  private static int size(Object message) {
    return message instanceof HttpContent content
        ? content.content().readableBytes()
        : HEAD_BYTES_ASSUMED;
  }

  private void take(HttpObject message) {
    try {
      progressAt = server.nowMs();
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
      keepAlive = false;
      dropExchange();
      answer(e.status(), e.getMessage(), 0);
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void head(HttpRequest request) throws BadRequestException {
    version = request.protocolVersion();
    keepAlive = HttpUtil.isKeepAlive(request);
    health = request.uri().equals("/healthz");
    enter(State.READING);
    if (health) {
      return;
    }
    exchange = server.exchange(request, this);
    if (HttpUtil.getContentLength(request, 0L) > MOST_BODY_BYTES) {
      throw tooLarge();
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void body(HttpContent content) throws BadRequestException {
    int more = content.content().readableBytes();
    if (!health && more > 0) {
      if (exchange.body.length() + more > MOST_BODY_BYTES) {
        throw tooLarge();
      }
      exchange.body.append(content.content());
      if (!exchange.share.add(more)) {
        channel.config().setAutoRead(false);
      }
    }
    if (content instanceof LastHttpContent) {
      channel.config().setAutoRead(true);
      enter(State.IN_HAND);
      if (health) {
        boolean ready = server.isReady();
        answer(
            ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
            ready ? "ready" : "closing",
            0);
      } else {
        server.taken(exchange);
      }
    }
  }

  private static BadRequestException tooLarge() {
    return new BadRequestException(
        HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
  }

  void resumeReading() {
    progressAt = server.nowMs();
    channel.config().setAutoRead(true);
  }

  /** Answers with a host's whole answer, unchanged. */
  void answer(HttpHeaders headers, Body body, ByteBudget.Share share) {
    answerShare = share;
    HttpResponse head = responseHead(HttpResponseStatus.OK, headers);
    head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length());
    write(head, body);
  }

  /** Answers in the gateway's own words. */
  void answer(HttpResponseStatus status, double retryAfterSeconds) {
    answer(status, status.reasonPhrase(), retryAfterSeconds);
  }

  private void answer(HttpResponseStatus status, String text, double retryAfterSeconds) {
    Body body = new Body();
    body.append(Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8));
    HttpResponse head = responseHead(status, null);
    head.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
    head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length());
    if (retryAfterSeconds > 0) {
      head.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterSeconds);
    }
    write(head, body);
  }

  private void write(HttpResponse head, Body body) {
    exchange = null;
    enter(State.ANSWERING);
    writer = new BodyWriter(channel, head, body, this::answerWritten);
  }

  private HttpResponse responseHead(HttpResponseStatus status, HttpHeaders headers) {
    keepAlive &= server.isReady();
    HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    if (headers != null) {
      Headers.copyEndToEnd(headers, head.headers());
    }
    if (!keepAlive) {
      head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (version.equals(HttpVersion.HTTP_1_0)) {
      head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
    return head;
  }

  /** Begins a long answer; {@code length} below 0 when it is not known. */
  AnswerSink startAnswer(HttpHeaders headers, long length, HostConnection from) {
    source = from;
    boolean chunked = length < 0 && version.equals(HttpVersion.HTTP_1_1);
    keepAlive &= length >= 0 || chunked;
    HttpResponse head = responseHead(HttpResponseStatus.OK, headers);
    if (chunked) {
      HttpUtil.setTransferEncodingChunked(head, true);
    } else if (length >= 0) {
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
    }
    enter(State.ANSWERING);
    channel.write(head);
    return new LongAnswer();
  }

  private final class LongAnswer implements AnswerSink {
    @Override
    public void pass(ByteBuf bytes) {
      if (!bytes.isReadable()) {
        bytes.release();
        return;
      }
      channel.writeAndFlush(new DefaultHttpContent(bytes));
      if (!channel.isWritable() && source != null) {
        source.setReading(false);
      }
    }

    @Override
    public void finish() {
      source = null;
      exchange = null;
      channel
          .writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
          .addListener(ClientConnection.this::answerWritten);
    }

    /** Neither a last chunk nor the full length: the client sees that the answer is not whole. */
    @Override
    public void cutOff() {
      source = null;
      exchange = null;
      close();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    progressAt = server.nowMs();
    if (channel.isWritable()) {
      if (writer != null) {
        writer.resume();
      } else if (source != null) {
        source.setReading(true);
      }
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
    if (state == State.IDLE && server.isDraining()) {
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
    enter(State.CLOSING);
    dropAhead();
    channel.config().setAutoRead(true);
    ((SocketChannel) channel).shutdownOutput();
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
    if (state == State.IN_HAND || source != null) {
      source = null;
      if (exchange != null) {
        server.clientGone(exchange);
      }
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
      exchange.share.release();
      exchange = null;
    }
  }

  private void dropAhead() {
    ahead.forEach(ReferenceCountUtil::release);
    ahead.clear();
    aheadBytes = 0;
  }
}
