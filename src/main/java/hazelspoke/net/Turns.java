package hazelspoke.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * The order of things on a loop, whose every turn reads the sockets first and then does its tasks.
 */
public final class Turns {
  private Turns() {}

  /**
   * Does something once all sockets have been looked at again: whatever a peer has said by now, an
   * end for one, is read before. A loop may stand still between its reading and its tasks, so that
   * what a task knows of its peers is old by as much. Costs a look that does not wait; on the loop.
   */
  public static void afterReading(EventLoop loop, Runnable task) {
    // Due timers are fetched before a turn's tasks: what is set by one of these is for the next.
    loop.execute(() -> loop.schedule(task, 0, TimeUnit.NANOSECONDS));
  }
}
