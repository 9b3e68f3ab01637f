package hazelspoke.operations;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/** One call of an operator's: read whole, answered, and closed. */
final class ManagementHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  private final ManagedGateway gateway;

  ManagementHandler(ManagedGateway gateway) {
    this.gateway = gateway;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest call) {
    if (call.decoderResult().isFailure()) {
      answer(ctx, HttpResponseStatus.BAD_REQUEST, "this is no HTTP/1.1\n");
      return;
    }
    String path = call.uri().split("\\?", 2)[0];
    switch (path) {
      case "/_ready" -> {
        if (isBy(ctx, call, HttpMethod.GET)) {
          answer(ctx, gateway.isReady(), "ready\n", "not ready\n");
        }
      }
      case "/_vars" -> {
        if (isBy(ctx, call, HttpMethod.GET)) {
          answer(ctx, HttpResponseStatus.OK, gateway.metrics());
        }
      }
      case "/_lameduck/on" -> {
        if (isBy(ctx, call, HttpMethod.POST)) {
          answer(ctx, gateway.setDraining(true), "draining\n", "not serving\n");
        }
      }
      case "/_lameduck/off" -> {
        if (isBy(ctx, call, HttpMethod.POST)) {
          answer(ctx, gateway.setDraining(false), "serving\n", "not serving\n");
        }
      }
      default ->
          answer(
              ctx,
              HttpResponseStatus.NOT_FOUND,
              "GET /_ready, GET /_vars, POST /_lameduck/on, POST /_lameduck/off\n");
    }
  }

  private static boolean isBy(ChannelHandlerContext ctx, FullHttpRequest call, HttpMethod method) {
    if (call.method().equals(method)) {
      return true;
    }
    answer(ctx, HttpResponseStatus.METHOD_NOT_ALLOWED, "this is called by " + method + "\n");
    return false;
  }

  private static void answer(ChannelHandlerContext ctx, boolean yes, String ifYes, String ifNo) {
    answer(
        ctx,
        yes ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
        yes ? ifYes : ifNo);
  }

  private static void answer(ChannelHandlerContext ctx, HttpResponseStatus status, String text) {
    ByteBuf body = ByteBufUtil.writeUtf8(ctx.alloc(), text);
    FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
    answer
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
        .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    ctx.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
  }

  /** Silent for too long, or broken: nobody is left to answer. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
