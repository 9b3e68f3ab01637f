package hazelspoke.core;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import ternscale.api.Settings.DedupScope;
import ternscale.api.Settings.Effect;
import ternscale.api.Settings.RequestClass;

/** Classes keep their places, whatever settings come. */
class ClassRegistryTest {
  private static RequestClass type(Effect effect, double deadlineMs) {
    return new RequestClass(1, 0, deadlineMs, 1, 0, effect, DedupScope.ALL, 0, false);
  }

  /** Names of the days' classes, as bits of a number; their effect as another's. */
  @Property(tries = 300)
  void whatCanBeAskedForIsWhatTheNewestSettingsSayAndPlacesStay(
      @ForAll @Size(min = 1, max = 30) List<@IntRange(min = 1, max = 1023) Integer> days) {
    ClassRegistry book = ClassRegistry.of(List.of("n0"), List.of(type(Effect.ONCE, 1)));
    double now = 0;
    for (int day : days) {
      List<String> names = new ArrayList<>();
      List<RequestClass> types = new ArrayList<>();
      for (int i = 0; i < 5; i++) {
        if ((day >> i & 1) != 0 || i == 0) {
          names.add("n" + i);
          types.add(type((day >> 5 + i & 1) != 0 ? Effect.ONCE : Effect.BY_KEY, 1 + day));
        }
      }
      ClassRegistry next = book.reloaded(names, types, now);
      for (int place = 0; place < book.names().size(); place++) {
        assertThat(next.names().get(place)).isEqualTo(book.names().get(place));
        assertThat(next.type(place).effect()).isEqualTo(book.type(place).effect());
      }
      for (int i = 0; i < names.size(); i++) {
        Effect form = types.get(i).effect();
        int place = next.find(names.get(i), form, now);
        assertThat(next.names().get(place)).isEqualTo(names.get(i));
        assertThat(next.type(place)).isEqualTo(types.get(i));
        // Once all have heard, the other form gets the present class too, and its refusal.
        Effect other = form == Effect.ONCE ? Effect.BY_KEY : Effect.ONCE;
        double later = now + ClassRegistry.GRACE_MS + 1;
        assertThat(next.find(names.get(i), other, later)).isEqualTo(place);
      }
      for (int i = 0; i < 5; i++) {
        if (!names.contains("n" + i)) {
          double later = now + ClassRegistry.GRACE_MS + 1;
          assertThat(next.find("n" + i, Effect.ONCE, later)).isEqualTo(-1);
        }
      }
      book = next;
      now += day;
    }
  }

  @Test
  void aDroppedClassCanBeAskedForUntilClientsHaveHeard() {
    ClassRegistry book =
        ClassRegistry.of(List.of("a", "b"), List.of(type(Effect.ONCE, 9), type(Effect.ONCE, 5)));
    ClassRegistry next = book.reloaded(List.of("b"), List.of(type(Effect.BY_KEY, 3)), 100);
    double end = 100 + ClassRegistry.GRACE_MS;
    assertThat(next.find("a", Effect.ONCE, end)).isZero();
    assertThat(next.find("a", Effect.ONCE, end + 1)).isEqualTo(-1);
    assertThat(next.find("b", Effect.ONCE, end)).isEqualTo(1);
    assertThat(next.find("b", Effect.BY_KEY, end)).isEqualTo(2);
    assertThat(next.longestDeadlineMs(end)).isEqualTo(9);
    assertThat(next.longestDeadlineMs(end + 1)).isEqualTo(3);
  }

  @Test
  void placesAreBoundedAndTooManyClassesAtATimeAreAnError() {
    RequestClass type = type(Effect.ONCE, 1);
    ClassRegistry book = ClassRegistry.of(List.of("first"), List.of(type));
    double now = 0;
    for (int i = 0; i < 1_000; i++) {
      now += ClassRegistry.GRACE_MS + 1;
      book = book.reloaded(List.of("n" + i), List.of(type), now);
      assertThat(book.find("n" + i, Effect.ONCE, now)).isNotNegative();
      assertThat(book.types()).hasSizeLessThanOrEqualTo(ClassRegistry.MOST_PLACES);
    }
    List<String> many =
        IntStream.rangeClosed(0, ClassRegistry.MOST_PLACES).mapToObj(i -> "m" + i).toList();
    List<RequestClass> types = many.stream().map(name -> type).toList();
    ClassRegistry full = book;
    double then = now + 5_000;
    assertThatThrownBy(() -> full.reloaded(many, types, then)).hasMessageContaining("64 classes");
    assertThatThrownBy(() -> full.reloaded(List.of("x", "x"), List.of(type, type), then))
        .hasMessageContaining("name");
  }
}
