package hazelspoke.core;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import ternscale.api.Settings.Effect;
import ternscale.api.Settings.RequestClass;

/**
 * The request classes, each at an index that is stable across reloads of the settings: open
 * requests, the balancer and the metrics identify a class by its index. A class that was removed,
 * or whose effect changed, can still be requested in its previous form until clients have learned
 * of the change. Immutable; does not read a clock.
 */
public final class ClassRegistry {
  /**
   * The maximum number of entries. Above it the index of the entry that expired first is reused.
   */
  static final int MAX_ENTRIES = 64;

  /**
   * How long a removed class can be requested. Clients apply new settings 1.2 s after the gateway
   * has; the remaining time is a margin.
   */
  static final double REMOVAL_GRACE_MS = 2_000;

  private static final double NEVER = Double.POSITIVE_INFINITY;

  /** A class and the time until which it can be requested. */
  private record Entry(String name, RequestClass type, double expiresAtMs) {}

  private final List<Entry> entries;

  private ClassRegistry(List<Entry> entries) {
    this.entries = List.copyOf(entries);
  }

  /**
   * Creates the registry for the first settings; the types are in the order of the names.
   *
   * @throws IllegalArgumentException if a name is empty or duplicate
   */
  public static ClassRegistry of(List<String> names, List<RequestClass> types) {
    return new ClassRegistry(List.of()).reloaded(names, types, 0);
  }

  /**
   * Returns the registry for new settings that are in force from {@code nowMs} on the gateway's
   * clock.
   *
   * @throws IllegalArgumentException if a name is empty or duplicate, or if there are too many
   *     classes, including those removed within the grace period
   */
  public ClassRegistry reloaded(List<String> names, List<RequestClass> types, double nowMs) {
    if (names.contains("") || new HashSet<>(names).size() < names.size()) {
      throw new IllegalArgumentException("class names must be unique and not empty: " + names);
    }
    List<Entry> next = new ArrayList<>();
    for (Entry e : entries) {
      int newIndex = names.indexOf(e.name);
      boolean isUnchanged = newIndex >= 0 && types.get(newIndex).effect() == e.type.effect();
      // Expired entries keep their positions, because other components refer to a class by its
      // index.
      next.add(
          isUnchanged
              ? new Entry(e.name, types.get(newIndex), NEVER)
              : new Entry(e.name, e.type, Math.min(e.expiresAtMs, nowMs + REMOVAL_GRACE_MS)));
    }
    for (int i = 0; i < names.size(); i++) {
      String name = names.get(i);
      if (next.stream().noneMatch(e -> e.name.equals(name) && e.expiresAtMs == NEVER)) {
        addOrReplaceExpired(next, new Entry(name, types.get(i), NEVER), nowMs);
      }
    }
    return new ClassRegistry(next);
  }

  private static void addOrReplaceExpired(List<Entry> entries, Entry entry, double nowMs) {
    if (entries.size() < MAX_ENTRIES) {
      entries.add(entry);
      return;
    }
    int index = 0;
    for (int i = 1; i < entries.size(); i++) {
      index = entries.get(i).expiresAtMs < entries.get(index).expiresAtMs ? i : index;
    }
    if (entries.get(index).expiresAtMs >= nowMs) {
      throw new IllegalArgumentException("more than " + MAX_ENTRIES + " classes at a time");
    }
    entries.set(index, entry);
  }

  /**
   * Returns the index of the class that a request names, or -1 if there is none of that name. The
   * current class is preferred if its effect matches the request, then a removed class of that name
   * and effect within the grace period, then the current class with another effect.
   *
   * @param effect the effect that corresponds to the form of the request
   */
  public int find(String name, Effect effect, double nowMs) {
    int found = -1;
    for (int i = 0; i < entries.size(); i++) {
      Entry e = entries.get(i);
      if (e.expiresAtMs < nowMs || !e.name.equals(name)) {
        continue;
      }
      if (found < 0 || rank(e, effect) > rank(entries.get(found), effect)) {
        found = i;
      }
    }
    return found;
  }

  private static int rank(Entry e, Effect effect) {
    return (e.type.effect() == effect ? 2 : 0) + (e.expiresAtMs == NEVER ? 1 : 0);
  }

  /** The class at an index. */
  public RequestClass type(int index) {
    return entries.get(index).type;
  }

  /** The names by index; a name may occur twice, and expired entries are included. */
  public List<String> names() {
    return entries.stream().map(Entry::name).toList();
  }

  /** The classes by index, including expired ones. */
  public List<RequestClass> types() {
    return entries.stream().map(Entry::type).toList();
  }

  /** The longest deadline that a request accepted at {@code nowMs} can have, in milliseconds. */
  public double longestDeadlineMs(double nowMs) {
    return entries.stream()
        .filter(e -> e.expiresAtMs >= nowMs)
        .mapToDouble(e -> e.type.deadlineMs())
        .max()
        .orElse(0);
  }
}
