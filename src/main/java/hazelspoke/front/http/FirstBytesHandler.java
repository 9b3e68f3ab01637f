package hazelspoke.front.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Tells a connection that bytes have come before they are decoded: a head may take its time. */
final class FirstBytesHandler extends ChannelInboundHandlerAdapter {
  private final ClientConnection connection;

  FirstBytesHandler(ClientConnection connection) {
    this.connection = connection;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    connection.bytesReceived();
    ctx.fireChannelRead(message);
  }
}
