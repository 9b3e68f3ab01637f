package hazelspoke.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.nio.ByteBuffer;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;

class RequestIdsTest {
  /** Times are rounded to ticks of 16 ms. */
  private static final long TICK_MS = 16;

  private final MockTicker ticker = Ticker.newMockTicker();
  private final ByteBuffer buffer = ByteBuffer.allocateDirect(RequestIds.BUFFER_BYTES);
  private final RequestIds ids = RequestIds.shared(buffer, ticker::nanoTime);
  private final RequestIds otherProcess = RequestIds.shared(buffer, ticker::nanoTime);

  @Test
  void idIsTakenFromItsClaimToItsRelease() {
    assertThat(ids.contains("a")).isFalse();
    assertThat(ids.claim("a")).isTrue();
    assertThat(ids.claim("a")).isFalse();
    assertThat(otherProcess.contains("a")).isTrue();
    assertThat(otherProcess.claim("a")).isFalse();
    assertThat(otherProcess.claim("b")).isTrue();
    ids.release("a");
    assertThat(ids.contains("b")).isTrue();
    assertThat(otherProcess.claim("a")).isTrue();
    assertThat(ids.size()).isEqualTo(2);
  }

  @Test
  void forgetsIdsAfterTheRetention() {
    assertThat(ids.claim("a")).isTrue();
    ids.retain("a");
    ticker.advanceMillis(RequestIds.RETENTION_MS - TICK_MS);
    assertThat(ids.claim("a")).isFalse();
    assertThat(otherProcess.claim("a")).isFalse();
    ticker.advanceMillis(2 * TICK_MS);
    assertThat(otherProcess.claim("a")).isTrue();
  }

  /** A process that was killed renews nothing. */
  @Test
  void leaseOfAnOpenRequestExpiresUnlessItIsRenewed() {
    assertThat(ids.claim("renewed")).isTrue();
    assertThat(ids.claim("killed")).isTrue();
    for (long ms = 0; ms < RequestIds.LEASE_MS; ms += RequestIds.RENEWAL_INTERVAL_MS) {
      assertThat(otherProcess.contains("killed")).isTrue();
      ticker.advanceMillis(RequestIds.RENEWAL_INTERVAL_MS);
      ids.renew("renewed");
    }
    ticker.advanceMillis(TICK_MS);
    assertThat(otherProcess.contains("killed")).isFalse();
    assertThat(otherProcess.contains("renewed")).isTrue();
  }

  @Test
  void keepsTheLastIdsOfAFloodAndThoseOfOpenRequests() {
    assertThat(ids.claim("open")).isTrue();
    for (int i = 0; i < 3 * RequestIds.MAX_IDS; i++) {
      assertThat(ids.claim("id" + i)).isTrue();
      ids.retain("id" + i);
      if (i % 100 == 0) {
        ticker.advanceMillis(1);
      }
    }
    assertThat(ids.size()).isLessThanOrEqualTo(RequestIds.MAX_IDS);
    assertThat(ids.contains("id" + (3 * RequestIds.MAX_IDS - 1))).isTrue();
    assertThat(ids.contains("id0")).isFalse();
    assertThat(ids.contains("open")).isTrue();
  }

  /** An open request never loses its id; further requests are rejected before that. */
  @Test
  void claimsNothingBeyondTheOpenRequestsThatFit() {
    int claimed = 0;
    for (int i = 0; i < 3 * RequestIds.MAX_IDS; i++) {
      claimed += ids.claim("id" + i) ? 1 : 0;
    }
    assertThat(ids.size()).isEqualTo(claimed).isGreaterThan(RequestIds.MAX_IDS / 2);
  }

  /** A day of a busy gateway, past the time after which times of expiry repeat. */
  @Test
  void takesNoNewIdForATakenOne() {
    int retained = 0;
    for (int i = 0; i < 2_000_000; i++) {
      String id = "%x".formatted(i * 0x9e3779b97f4a7c15L);
      if (ids.claim(id)) {
        retained++;
        ids.retain(id);
      }
      ticker.advanceMillis(40);
    }
    assertThat(retained).isEqualTo(2_000_000);
  }

  /** Both processes claim the same ids in the same instants: none is claimed by both. */
  @Test
  void atMostOneOfTwoProcessesGetsAnId() throws Exception {
    int rounds = 20_000;
    CyclicBarrier barrier = new CyclicBarrier(2);
    ExecutorService threads = Executors.newFixedThreadPool(2);
    try {
      Future<boolean[]> first = threads.submit(() -> claimAll(ids, rounds, barrier, 0));
      Future<boolean[]> second = threads.submit(() -> claimAll(otherProcess, rounds, barrier, 1));
      int claimed = 0;
      for (int i = 0; i < rounds; i++) {
        assertThat(first.get()[i] && second.get()[i]).as("id %d", i).isFalse();
        claimed += first.get()[i] || second.get()[i] ? 1 : 0;
      }
      assertThat(claimed).isGreaterThan(rounds / 2);
    } finally {
      threads.shutdownNow();
    }
  }

  /** Claims contended ids, and releases ids of its own so that free places differ. */
  private static boolean[] claimAll(
      RequestIds process, int rounds, CyclicBarrier barrier, int number) throws Exception {
    boolean[] claimed = new boolean[rounds];
    for (int i = 0; i < rounds; i++) {
      String own = number + "/" + i;
      process.claim(own);
      if (i % 64 == 0) {
        barrier.await();
      }
      claimed[i] = process.claim("contended" + i);
      if (claimed[i]) {
        process.retain("contended" + i);
      }
      process.release(own);
    }
    return claimed;
  }
}
