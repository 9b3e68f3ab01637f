package hazelspoke.net;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import java.util.concurrent.TimeUnit;

/**
 * The order of things on a loop, whose every turn reads the sockets first and then does its tasks.
 */
public final class SocketPolling {
  /** A look at the sockets that is older than this is taken again, in milliseconds. */
  static final long MAX_POLL_AGE_MS = 50;

  /** So many looks are taken at most: a loop whose every turn is long still has to get on. */
  static final int MAX_POLLS = 3;

  private SocketPolling() {}

  /**
   * Does something once all sockets have been looked at again: whatever a peer has said by now, an
   * end for one, is read before. A loop may stand still between its reading and its tasks, so that
   * what a task knows of its peers is old by as much. It may also stand still right behind that
   * second look, while another socket's bytes are handled; then there is a third. Costs a look that
   * does not wait; on the loop.
   */
  public static void afterPoll(EventLoop loop, Runnable task) {
    loop.execute(() -> look(loop, task, MAX_POLLS));
  }

  /**
   * Reads at once what lies at one socket, whatever the last look at all of them said: what its
   * peer has sent is handled, and its end is told, before this returns. To be called right before
   * something is begun for that peer or its connection is ended, as the loop may have stood still
   * since it looked. Costs one call of the kernel; on the loop, and not while that channel is being
   * read.
   */
  public static void readPending(Channel channel) {
    if (channel.isActive()
        && channel.config().isAutoRead()
        && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
      socket.read();
    }
  }

  /** For a task of the loop: due timers are fetched before these, and so are of the next turn. */
  private static void look(EventLoop loop, Runnable task, int looksLeft) {
    long askedAt = loop.ticker().nanoTime();
    Runnable afterLook =
        () -> {
          long ageMs = TimeUnit.NANOSECONDS.toMillis(loop.ticker().nanoTime() - askedAt);
          if (ageMs > MAX_POLL_AGE_MS && looksLeft > 1) {
            look(loop, task, looksLeft - 1);
          } else {
            task.run();
          }
        };
    loop.schedule(afterLook, 0, TimeUnit.NANOSECONDS);
  }
}
