package hazelspoke.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** An event loop without work blocks until its next timer is due. */
class EventLoopsTest {
  /** Records the delay that it is given. */
  private static final class Recording implements IoHandler {
    private long delayNanos;

    @Override
    public int run(IoHandlerContext context) {
      delayNanos = context.delayNanos(0);
      return 0;
    }

    @Override
    public void destroy() {}

    @Override
    public IoRegistration register(IoHandle handle) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void wakeup() {}

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
      return false;
    }
  }

  /** The context that a loop passes to its handler, with the delay until the next timer. */
  private record Context(long delayNanos) implements IoHandlerContext {
    @Override
    public boolean canBlock() {
      return delayNanos > 0;
    }

    @Override
    public long delayNanos(long now) {
      return delayNanos;
    }

    @Override
    public long deadlineNanos() {
      return delayNanos;
    }
  }

  /**
   * Selectors wait for whole milliseconds, and their handler rounds to the nearest: with half a
   * millisecond or less it does not block, and the loop spins until the timer is due.
   */
  @ParameterizedTest
  @CsvSource({
    "1, 1000000",
    "300000, 1000000",
    "499999, 1000000",
    "1000000, 1000000",
    "1000001, 2000000",
    "5300000, 6000000",
    "0, 0",
    "-7, -7",
    "9223372036854775807, 9223372036854775807"
  })
  void roundsDelayUpToWholeMilliseconds(long delayNanos, long waited) {
    Recording handler = new Recording();
    EventLoops.withoutBusyPolling(executor -> handler)
        .newHandler(null)
        .run(new Context(delayNanos));
    assertThat(handler.delayNanos).isEqualTo(waited);
  }
}
