package hazelspoke.net;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;

/**
 * Makes an NIO handler wait at least until the next timer is due. A selector waits for whole
 * milliseconds, and Netty rounds the delay to the nearest: with half a millisecond or less left it
 * does not block, and the loop iterates thousands of times until the timer is due. In a process
 * limited to a fraction of a core, the CPU time spent this way is missing immediately afterwards,
 * and the loop stalls. With the delay rounded up, a timer is up to a millisecond late and costs one
 * iteration.
 */
final class TimerRoundingIoHandler implements IoHandler {
  private static final long NANOS_PER_MS = 1_000_000;

  private final IoHandler handler;

  /** A loop passes the same context to its handler in each iteration. */
  private IoHandlerContext lastContext;

  private IoHandlerContext roundedContext;

  TimerRoundingIoHandler(IoHandler handler) {
    this.handler = handler;
  }

  @Override
  public int run(IoHandlerContext context) {
    if (context != lastContext) {
      lastContext = context;
      roundedContext = new RoundedUpContext(context);
    }
    return handler.run(roundedContext);
  }

  @Override
  public void initialize() {
    handler.initialize();
  }

  @Override
  public void prepareToDestroy() {
    handler.prepareToDestroy();
  }

  @Override
  public void destroy() {
    handler.destroy();
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return handler.register(handle);
  }

  @Override
  public void wakeup() {
    handler.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> type) {
    return handler.isCompatible(type);
  }

  /**
   * Reports delays rounded up to whole milliseconds; elapsed delays and the absence of a timer are
   * unchanged.
   */
  private record RoundedUpContext(IoHandlerContext context) implements IoHandlerContext {
    @Override
    public boolean canBlock() {
      return context.canBlock();
    }

    @Override
    public long delayNanos(long now) {
      long delay = context.delayNanos(now);
      if (delay <= 0 || delay > Long.MAX_VALUE - NANOS_PER_MS) {
        return delay;
      }
      return (delay + NANOS_PER_MS - 1) / NANOS_PER_MS * NANOS_PER_MS;
    }

    @Override
    public long deadlineNanos() {
      return context.deadlineNanos();
    }

    @Override
    public void reportActiveIoTime(long activeNanos) {
      context.reportActiveIoTime(activeNanos);
    }

    @Override
    public boolean shouldReportActiveIoTime() {
      return context.shouldReportActiveIoTime();
    }
  }
}
