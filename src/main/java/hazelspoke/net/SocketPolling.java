package hazelspoke.net;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import java.util.concurrent.TimeUnit;

/**
 * Orders work on an event loop, which in each iteration reads its sockets before it runs its tasks.
 */
public final class SocketPolling {
  /** The maximum age of a poll of the sockets, in milliseconds; an older one is repeated. */
  static final long MAX_POLL_AGE_MS = 50;

  /**
   * The maximum number of polls, so that a loop whose every iteration is long still makes progress.
   */
  static final int MAX_POLLS = 3;

  private SocketPolling() {}

  /**
   * Runs a task after all sockets were polled again, so that what peers have sent by now, such as a
   * close, is read before the task. The loop may stall between reading its sockets and running its
   * tasks, and a task's knowledge of its peers is then out of date. It may also stall after the
   * second poll, while it handles another socket's bytes; a third poll follows in that case. Costs
   * a non-blocking poll; to be called on the loop.
   */
  public static void afterPoll(EventLoop loop, Runnable task) {
    loop.execute(() -> poll(loop, task, MAX_POLLS));
  }

  /**
   * Reads pending bytes of one socket immediately, independent of the last poll: what the peer has
   * sent is handled, and a close is reported, before this returns. To be called before starting
   * work for that peer or closing its connection, because the loop may have stalled since its last
   * poll. Costs one system call; to be called on the loop, and not while that channel is being
   * read.
   */
  public static void readPending(Channel channel) {
    if (channel.config().isAutoRead()) {
      readOnce(channel);
    }
  }

  /**
   * Reads pending bytes of one socket immediately, also while reading is paused. At least one read
   * buffer is filled if there is as much; more bytes may be left.
   */
  public static void readOnce(Channel channel) {
    if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
      socket.read();
    }
  }

  /**
   * Must be called from a task of the loop: due timers are collected before tasks run, so the timer
   * scheduled here runs in the next iteration.
   */
  private static void poll(EventLoop loop, Runnable task, int pollsLeft) {
    long scheduledAtNanos = loop.ticker().nanoTime();
    Runnable afterPoll =
        () -> {
          long ageMs = TimeUnit.NANOSECONDS.toMillis(loop.ticker().nanoTime() - scheduledAtNanos);
          if (ageMs > MAX_POLL_AGE_MS && pollsLeft > 1) {
            poll(loop, task, pollsLeft - 1);
          } else {
            task.run();
          }
        };
    loop.schedule(afterPoll, 0, TimeUnit.NANOSECONDS);
  }
}
