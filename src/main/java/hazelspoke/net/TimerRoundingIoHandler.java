package hazelspoke.net;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;

/**
 * Has an NIO handler wait until the next timer is due, never shorter. A selector waits for whole
 * milliseconds, and Netty rounds the delay to the nearest: with half a millisecond or less to go it
 * polls, and its loop turns thousands of times before the timer is due. Where a process has a part
 * of a core only, the time burnt so is missing right afterwards, and the loop stands still. Rounded
 * up, a timer is up to a millisecond late and costs one turn.
 */
final class TimerRoundingIoHandler implements IoHandler {
  private static final long NANOS_PER_MS = 1_000_000;

  private final IoHandler handler;

  /** A loop gives its handler the same context at each turn. */
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

  /** Tells delays in whole milliseconds, rounded up; what is due, and no timer at all, stay. */
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
