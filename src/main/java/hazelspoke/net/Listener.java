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
   * Takes in who waits, and closes if that were all; on the loop. Who comes between the last look
   * and the close, which takes effect at the loop's next turn, is still reset.
   *
   * @param most how many may be taken in
   * @return whether it is closed; otherwise somebody may wait still
   */
  public boolean acceptPendingAndClose(int most) {
    List<Object> waiting = new ArrayList<>();
    boolean empty = false;
    try {
      while (!empty && waiting.size() < most) {
        // One at a time, until there is none.
        empty = doReadMessages(waiting) <= 0;
      }
    } catch (Exception e) {
      // Out of descriptors, for one: who could not be taken in waits on.
      pipeline().fireExceptionCaught(e);
    }
    if (empty) {
      close();
    }
    waiting.forEach(pipeline()::fireChannelRead);
    pipeline().fireChannelReadComplete();
    return empty;
  }
}
