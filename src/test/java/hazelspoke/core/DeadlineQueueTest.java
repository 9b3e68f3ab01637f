package hazelspoke.core;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class DeadlineQueueTest {
  private static final class Entry extends DeadlineQueue.Entry {
    private final int number;
    private final double at;

    Entry(int number, double at) {
      this.number = number;
      this.at = at;
    }

    @Override
    void onDue() {
      throw new AssertionError("the queue must not run its entries");
    }
  }

  /** Compares the queue with a sorted list; each step adds, removes or polls an entry. */
  @Property(seed = "1")
  void behavesLikeSortedList(
      @ForAll @Size(max = 400) List<@IntRange(min = 0, max = 99) Integer> steps) {
    DeadlineQueue queue = new DeadlineQueue();
    List<Entry> model = new ArrayList<>();
    int number = 0;
    for (int step : steps) {
      if (step < 50 || model.isEmpty()) {
        Entry entry = new Entry(number++, step % 7);
        queue.add(entry, entry.at);
        model.add(entry);
        model.sort(Comparator.comparingDouble((Entry e) -> e.at).thenComparing(e -> e.number));
      } else if (step < 75) {
        queue.remove(model.remove(step % model.size()));
      } else {
        double now = step % 7;
        Entry expected = model.get(0).at <= now ? model.remove(0) : null;
        assertThat(queue.pollDue(now)).isSameAs(expected);
      }
      assertThat(queue.size()).isEqualTo(model.size());
      assertThat(queue.nextMs())
          .isEqualTo(model.isEmpty() ? Double.POSITIVE_INFINITY : model.get(0).at);
    }
  }

  @Test
  void acceptsRemovedEntryAgainAndRejectsQueuedOne() {
    DeadlineQueue queue = new DeadlineQueue();
    Entry entry = new Entry(0, 0);
    queue.remove(entry);
    queue.add(entry, 5);
    assertThatThrownBy(() -> queue.add(entry, 6)).isInstanceOf(IllegalStateException.class);
    queue.remove(entry);
    queue.add(entry, 7);
    assertThat(queue.nextMs()).isEqualTo(7);
  }

  @Test
  void keepsInsertionOrderForEqualTimes() {
    DeadlineQueue queue = new DeadlineQueue();
    for (int i = 0; i < 10_000; i++) {
      queue.add(new Entry(i, 3), 3);
    }
    for (int i = 0; i < 10_000; i++) {
      assertThat(((Entry) queue.pollDue(3)).number).isEqualTo(i);
    }
    assertThat(queue.pollDue(3)).isNull();
  }
}
