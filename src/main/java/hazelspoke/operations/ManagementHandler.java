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

/** Serves one call on the management listener, then closes the connection. */
final class ManagementHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  private final ManagedGateway gateway;

  ManagementHandler(ManagedGateway gateway) {
    this.gateway = gateway;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
    if (request.decoderResult().isFailure()) {
      respond(ctx, HttpResponseStatus.BAD_REQUEST, "this is no HTTP/1.1\n");
      return;
    }
    String path = request.uri().split("\\?", 2)[0];
    switch (path) {
      case "/_ready" -> {
        if (checkMethod(ctx, request, HttpMethod.GET)) {
          respond(ctx, gateway.isReady(), "ready\n", "not ready\n");
        }
      }
      case "/_vars" -> {
        if (checkMethod(ctx, request, HttpMethod.GET)) {
          respond(ctx, HttpResponseStatus.OK, gateway.metrics());
        }
      }
      case "/_lameduck/on" -> {
        if (checkMethod(ctx, request, HttpMethod.POST)) {
          respond(ctx, gateway.setDraining(true), "draining\n", "not serving\n");
        }
      }
      case "/_lameduck/off" -> {
        if (checkMethod(ctx, request, HttpMethod.POST)) {
          respond(ctx, gateway.setDraining(false), "serving\n", "not serving\n");
        }
      }
      default ->
          respond(
              ctx,
              HttpResponseStatus.NOT_FOUND,
              "GET /_ready, GET /_vars, POST /_lameduck/on, POST /_lameduck/off\n");
    }
  }

  private static boolean checkMethod(
      ChannelHandlerContext ctx, FullHttpRequest request, HttpMethod method) {
    if (request.method().equals(method)) {
      return true;
    }
    respond(ctx, HttpResponseStatus.METHOD_NOT_ALLOWED, "this is called by " + method + "\n");
    return false;
  }

  private static void respond(
      ChannelHandlerContext ctx, boolean succeeded, String textOnSuccess, String textOnFailure) {
    respond(
        ctx,
        succeeded ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
        succeeded ? textOnSuccess : textOnFailure);
  }

  private static void respond(ChannelHandlerContext ctx, HttpResponseStatus status, String text) {
    ByteBuf body = ByteBufUtil.writeUtf8(ctx.alloc(), text);
    FullHttpResponse respond = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
    respond
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
        .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    ctx.writeAndFlush(respond).addListener(ChannelFutureListener.CLOSE);
  }

  /** Read timeout or connection error: a response is no longer possible. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
