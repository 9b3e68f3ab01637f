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

/** Classes keep their indices across reloads of the settings. */
class ClassRegistryTest {
  private static RequestClass type(Effect effect, double deadlineMs) {
    return new RequestClass(1, 0, deadlineMs, 1, 0, effect, DedupScope.ALL, 0, false);
  }

  /**
   * Each number encodes one reload: the low bits select the class names, the high bits their
   * effects.
   */
  @Property(tries = 300)
  void findsClassesOfNewestSettingsAndKeepsIndices(
      @ForAll @Size(min = 1, max = 30) List<@IntRange(min = 1, max = 1023) Integer> reloads) {
    ClassRegistry registry = ClassRegistry.of(List.of("n0"), List.of(type(Effect.ONCE, 1)));
    double nowMs = 0;
    for (int reload : reloads) {
      List<String> names = new ArrayList<>();
      List<RequestClass> types = new ArrayList<>();
      for (int i = 0; i < 5; i++) {
        if ((reload >> i & 1) != 0 || i == 0) {
          names.add("n" + i);
          types.add(type((reload >> 5 + i & 1) != 0 ? Effect.ONCE : Effect.BY_KEY, 1 + reload));
        }
      }
      ClassRegistry next = registry.reloaded(names, types, nowMs);
      for (int index = 0; index < registry.names().size(); index++) {
        assertThat(next.names().get(index)).isEqualTo(registry.names().get(index));
        assertThat(next.type(index).effect()).isEqualTo(registry.type(index).effect());
      }
      for (int i = 0; i < names.size(); i++) {
        Effect effect = types.get(i).effect();
        int index = next.find(names.get(i), effect, nowMs);
        assertThat(next.names().get(index)).isEqualTo(names.get(i));
        assertThat(next.type(index)).isEqualTo(types.get(i));
        // After the grace period, requests in the other form get the current class too, and are
        // refused.
        Effect other = effect == Effect.ONCE ? Effect.BY_KEY : Effect.ONCE;
        double afterGraceMs = nowMs + ClassRegistry.REMOVAL_GRACE_MS + 1;
        assertThat(next.find(names.get(i), other, afterGraceMs)).isEqualTo(index);
      }
      for (int i = 0; i < 5; i++) {
        if (!names.contains("n" + i)) {
          double afterGraceMs = nowMs + ClassRegistry.REMOVAL_GRACE_MS + 1;
          assertThat(next.find("n" + i, Effect.ONCE, afterGraceMs)).isEqualTo(-1);
        }
      }
      registry = next;
      nowMs += reload;
    }
  }

  @Test
  void findsRemovedClassDuringGracePeriod() {
    ClassRegistry registry =
        ClassRegistry.of(List.of("a", "b"), List.of(type(Effect.ONCE, 9), type(Effect.ONCE, 5)));
    ClassRegistry next = registry.reloaded(List.of("b"), List.of(type(Effect.BY_KEY, 3)), 100);
    double graceEndMs = 100 + ClassRegistry.REMOVAL_GRACE_MS;
    assertThat(next.find("a", Effect.ONCE, graceEndMs)).isZero();
    assertThat(next.find("a", Effect.ONCE, graceEndMs + 1)).isEqualTo(-1);
    assertThat(next.find("b", Effect.ONCE, graceEndMs)).isEqualTo(1);
    assertThat(next.find("b", Effect.BY_KEY, graceEndMs)).isEqualTo(2);
    assertThat(next.longestDeadlineMs(graceEndMs)).isEqualTo(9);
    assertThat(next.longestDeadlineMs(graceEndMs + 1)).isEqualTo(3);
  }

  @Test
  void boundsEntriesAndRejectsTooManyClasses() {
    RequestClass type = type(Effect.ONCE, 1);
    ClassRegistry registry = ClassRegistry.of(List.of("first"), List.of(type));
    double nowMs = 0;
    for (int i = 0; i < 1_000; i++) {
      nowMs += ClassRegistry.REMOVAL_GRACE_MS + 1;
      registry = registry.reloaded(List.of("n" + i), List.of(type), nowMs);
      assertThat(registry.find("n" + i, Effect.ONCE, nowMs)).isNotNegative();
      assertThat(registry.types()).hasSizeLessThanOrEqualTo(ClassRegistry.MAX_ENTRIES);
    }
    List<String> many =
        IntStream.rangeClosed(0, ClassRegistry.MAX_ENTRIES).mapToObj(i -> "m" + i).toList();
    List<RequestClass> types = many.stream().map(name -> type).toList();
    ClassRegistry full = registry;
    double laterMs = nowMs + 5_000;
    assertThatThrownBy(() -> full.reloaded(many, types, laterMs))
        .hasMessageContaining("64 classes");
    assertThatThrownBy(() -> full.reloaded(List.of("x", "x"), List.of(type, type), laterMs))
        .hasMessageContaining("name");
  }
}
