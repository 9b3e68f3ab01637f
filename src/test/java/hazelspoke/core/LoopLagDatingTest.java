package hazelspoke.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** How long unread bytes may have waited, in time that is made here. */
class LoopLagDatingTest {
  private static final long STALL_MS = 600;
  private static final long TICK_MS = 5;

  private final MockTicker ticker = Ticker.newMockTicker();
  private final EmbeddedChannel channel = EmbeddedChannel.builder().ticker(ticker).build();
  private final LoopLag lag = new LoopLag(channel.eventLoop(), new Clock(ticker));

  @Test
  void bytesReadInAStalledTurnHaveWaitedForAllOfIt() {
    ticker.advance(TICK_MS + STALL_MS, TimeUnit.MILLISECONDS);
    assertThat(lag.waitedMs()).isEqualTo(STALL_MS);
  }

  /** They may have come at its beginning, and the tick ran before they were read. */
  @Test
  void bytesReadInTheTurnAfterAStallMayHaveWaitedForAllOfIt() {
    turn(STALL_MS);
    assertThat(lag.waitedMs()).isEqualTo(STALL_MS);
  }

  /** A new connection is accepted in the turn after the stall, and read in the one after that. */
  @Test
  void bytesOfANewConnectionMayHaveWaitedForTheStallBeforeItWasAccepted() {
    turn(STALL_MS);
    turn(0);
    assertThat(lag.waitedMs()).isEqualTo(STALL_MS);
  }

  @Test
  void aStallIsForgottenTwoTurnsLater() {
    turn(STALL_MS);
    turn(0);
    turn(0);
    assertThat(lag.waitedMs()).isZero();
  }

  /** One turn that is late by so much. */
  private void turn(long lateMs) {
    ticker.advance(TICK_MS + lateMs, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }
}
