package hazelspoke.front.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Notifies a connection of received bytes before and after they are decoded. */
final class FirstBytesHandler extends ChannelInboundHandlerAdapter {
  private final ClientConnection connection;

  FirstBytesHandler(ClientConnection connection) {
    this.connection = connection;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    connection.bytesReceived((ByteBuf) message);
    ctx.fireChannelRead(message);
    connection.bytesHandled();
  }
}
