package hazelspoke.net;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * A TCP listener that can accept all pending connections before it is closed. Connections in the
 * kernel's accept queue belong to one listener even if several share an address; a plain close
 * resets them.
 */
public final class Listener extends NioServerSocketChannel {
  /** An error in accepting a connection does not close the listener, of whatever kind it is. */
  @Override
  protected boolean closeOnReadError(Throwable cause) {
    return !isActive();
  }

  /**
   * Accepts the pending connections, and closes the listener if the accept queue is then empty; on
   * the event loop. A connection that arrives between the last accept and the close, which takes
   * effect in the next event-loop iteration, is still reset.
   *
   * @param maxAccepted the maximum number of connections to accept
   * @return whether the listener was closed; if not, connections may still be pending
   */
  public boolean acceptPendingAndClose(int maxAccepted) {
    List<Object> accepted = new ArrayList<>();
    boolean isEmpty = false;
    try {
      while (!isEmpty && accepted.size() < maxAccepted) {
        // Accepts one connection per call until the queue is empty.
        isEmpty = doReadMessages(accepted) <= 0;
      }
    } catch (Throwable e) {
      // For example out of file descriptors: connections that were not accepted stay in the queue.
      pipeline().fireExceptionCaught(e);
    }
    if (isEmpty) {
      close();
    }
    accepted.forEach(pipeline()::fireChannelRead);
    pipeline().fireChannelReadComplete();
    return isEmpty;
  }
}
