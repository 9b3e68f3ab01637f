package hazelspoke.core;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.core.ByteBudget.Room;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Who is paused, who goes on and who gives way when room is short. */
class ByteBudgetTest {
  private static final long POOL_BYTES = 1_000;
  private static final double STALLED_MS = 25;

  private final MockTicker ticker = Ticker.newMockTicker();
  private final Deque<Runnable> checks = new ArrayDeque<>();
  private final ByteBudget budget =
      new ByteBudget(
          POOL_BYTES, STALLED_MS, new Clock(ticker), (task, delayMs) -> checks.add(task));
  private final List<String> events = new ArrayList<>();

  /** A holder that releases its share when it gives way. */
  private final class Message implements ByteBudget.Holder {
    private final String name;
    private final ByteBudget.Share share = budget.share(this);

    Message(String name) {
      this.name = name;
    }

    @Override
    public void resume() {
      events.add(name + " resumed");
    }

    @Override
    public void giveWay() {
      events.add(name + " gave way");
      share.release();
    }
  }

  private void advance(double milliseconds) {
    ticker.advance((long) (milliseconds * 1e6), TimeUnit.NANOSECONDS);
    Runnable check = checks.poll();
    if (check != null) {
      check.run();
    }
  }

  /** Fills the pool and the reserve with holders that stop then. */
  private List<Message> fill() {
    List<Message> holders = new ArrayList<>();
    for (String name : List.of("a", "b", "c")) {
      Message holder = new Message(name);
      assertThat(holder.share.add(400)).isEqualTo(Room.AVAILABLE);
      holders.add(holder);
    }
    return holders;
  }

  /** Guards against requests that wait for as long as others keep a part of the pool. */
  @Test
  void thoseThatHaveStoppedGiveWayToPausedOnes() {
    List<Message> holders = fill();
    Message paused = new Message("paused");
    assertThat(paused.share.add(400)).isEqualTo(Room.AWAITED);
    advance(STALLED_MS / 2);
    assertThat(events).isEmpty();
    holders.get(0).share.progress();
    advance(STALLED_MS / 2);
    assertThat(events).containsExactly("b gave way", "paused resumed");
    assertThat(paused.share.add(100)).isEqualTo(Room.AVAILABLE);
  }

  @Test
  void pauseEndsAlthoughAllOthersGoOn() {
    List<Message> holders = fill();
    Message paused = new Message("paused");
    paused.share.setMaxWait(60);
    paused.share.add(400);
    for (int waitedMs = 0; waitedMs < 60; waitedMs += 10) {
      assertThat(events).isEmpty();
      holders.forEach(holder -> holder.share.progress());
      advance(10);
    }
    assertThat(events).containsExactly("paused gave way");
    assertThat(checks).as("nobody waits").isEmpty();
  }

  @Test
  void completeMessagesNeverGiveWay() {
    fill().forEach(holder -> holder.share.commit());
    Message paused = new Message("paused");
    paused.share.add(400);
    for (int waitedMs = 0; waitedMs <= ByteBudget.MAX_WAIT_MS; waitedMs += 10) {
      advance(10);
    }
    assertThat(events).containsExactly("paused gave way");
    Message large = new Message("large");
    assertThat(large.share.add(POOL_BYTES + ByteBudget.MAX_OVERRUN_BYTES)).isEqualTo(Room.NONE);
  }

  @Test
  void beyondTheOverrunTheOneWithoutProgressForLongestGivesWayAtOnce() {
    fill();
    Message paused = new Message("paused");
    paused.share.add(400);
    Message large = new Message("large");
    assertThat(large.share.add(ByteBudget.MAX_OVERRUN_BYTES)).isEqualTo(Room.AWAITED);
    assertThat(events).startsWith("a gave way");
    assertThat(budget.usedBytes()).isLessThanOrEqualTo(POOL_BYTES + ByteBudget.MAX_OVERRUN_BYTES);
  }

  /** Guards against uploads that are streamed and were rejected as if they still waited. */
  @Test
  void holderThatShrinksWaitsNoLonger() {
    fill().forEach(holder -> holder.share.commit());
    Message streamed = new Message("streamed");
    assertThat(streamed.share.add(400)).isEqualTo(Room.AWAITED);
    assertThat(streamed.share.resize(100)).isEqualTo(Room.AVAILABLE);
    advance(ByteBudget.MAX_WAIT_MS);
    assertThat(events).isEmpty();
  }

  /** Guards against bodies that arrive slowly and fit into memory that is already counted. */
  @Test
  void bytesThatNeedNoFurtherMemoryAreProgress() {
    Message slow = fill().get(0);
    Message paused = new Message("paused");
    paused.share.add(400);
    advance(STALLED_MS - 1);
    assertThat(slow.share.resize(400)).isEqualTo(Room.AVAILABLE);
    advance(1);
    assertThat(events).startsWith("b gave way").doesNotContain("a gave way");
  }

  /** Whatever holders do, the total is bounded, and nothing is counted once all have ended. */
  @Test
  void totalIsBoundedAndEndsAtZero() {
    for (int seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      List<Message> messages = new ArrayList<>();
      for (int i = 0; i < 30; i++) {
        messages.add(new Message("m" + i));
      }
      for (int step = 0; step < 500; step++) {
        Message message = messages.get(random.nextInt(messages.size()));
        switch (random.nextInt(8)) {
          case 0 -> message.share.release();
          case 1 -> message.share.commit();
          case 2 -> message.share.resize(random.nextInt(200));
          case 3 -> advance(random.nextInt(30));
          default -> {
            if (message.share.add(random.nextInt(600_000)) == Room.NONE) {
              message.share.release();
            }
          }
        }
        assertThat(budget.usedBytes())
            .as("seed %d, step %d", seed, step)
            .isBetween(0L, POOL_BYTES + ByteBudget.MAX_OVERRUN_BYTES);
      }
      messages.forEach(message -> message.share.release());
      assertThat(budget.usedBytes()).as("seed %d", seed).isZero();
      advance(1);
      assertThat(checks).isEmpty();
    }
  }
}
