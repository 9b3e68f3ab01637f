package hazelspoke.net;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * A TCP listener that can be closed with nobody left waiting in it. Connections that the kernel has
 * accepted belong to one listener, also where several share an address; with a plain close they are
 * reset.
 */
public final class Listener extends NioServerSocketChannel {
  /**
   * Takes in all who wait, and closes; on the loop. Who comes between the last look and the close,
   * which takes effect at the loop's next turn, is still reset.
   */
  public void closeEmpty() {
    List<Object> waiting = new ArrayList<>();
    try {
      while (doReadMessages(waiting) > 0) {
        // One at a time, until there is none.
      }
    } catch (Exception e) {
      // Out of descriptors, for one: who could not be taken in is lost with the close.
      pipeline().fireExceptionCaught(e);
    }
    close();
    waiting.forEach(pipeline()::fireChannelRead);
    pipeline().fireChannelReadComplete();
  }
}
