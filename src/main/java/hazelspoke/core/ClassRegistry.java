package hazelspoke.core;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import ternscale.api.Settings.Effect;
import ternscale.api.Settings.RequestClass;

/**
 * The classes of requests, each at a place that stays the same while new settings come: requests in
 * hand, the module and the figures know a class by its place. A class that is dropped, or asked for
 * in another form from now on, can be asked for as before until clients have heard of it.
 * Immutable; reads no clock.
 */
public final class ClassRegistry {
  /** Places are given away anew beyond so many, those first that were left longest ago. */
  static final int MOST_PLACES = 64;

  /** Clients go by new settings 1.2 s after the gateway was told; this is with some slack. */
  static final double GRACE_MS = 2_000;

  private static final double FOR_GOOD = Double.POSITIVE_INFINITY;

  /** A class at its place, which can be asked for until this time. */
  private record Entry(String name, RequestClass type, double until) {}

  private final List<Entry> entries;

  private ClassRegistry(List<Entry> entries) {
    this.entries = List.copyOf(entries);
  }

  /**
   * The classes of the first settings; the types stand in the order of the names.
   *
   * @throws IllegalArgumentException if a name is missing or stands there twice
   */
  public static ClassRegistry of(List<String> names, List<RequestClass> types) {
    return new ClassRegistry(List.of()).reloaded(names, types, 0);
  }

  /**
   * The book under new settings that came at {@code now}, in milliseconds of the gateway's clock.
   *
   * @throws IllegalArgumentException if a name is missing or stands there twice, or there are too
   *     many classes, with those counted that were dropped a moment ago
   */
  public ClassRegistry reloaded(List<String> names, List<RequestClass> types, double now) {
    if (names.contains("") || new HashSet<>(names).size() < names.size()) {
      throw new IllegalArgumentException("every class needs a name of its own: " + names);
    }
    List<Entry> next = new ArrayList<>();
    for (Entry e : entries) {
      int at = names.indexOf(e.name);
      boolean stays = at >= 0 && types.get(at).effect() == e.type.effect();
      // What is left for good stays where it is: a place is what others know it by.
      next.add(
          stays
              ? new Entry(e.name, types.get(at), FOR_GOOD)
              : new Entry(e.name, e.type, Math.min(e.until, now + GRACE_MS)));
    }
    for (int i = 0; i < names.size(); i++) {
      String name = names.get(i);
      if (next.stream().noneMatch(e -> e.name.equals(name) && e.until == FOR_GOOD)) {
        put(next, new Entry(name, types.get(i), FOR_GOOD), now);
      }
    }
    return new ClassRegistry(next);
  }

  private static void put(List<Entry> entries, Entry entry, double now) {
    if (entries.size() < MOST_PLACES) {
      entries.add(entry);
      return;
    }
    int place = 0;
    for (int i = 1; i < entries.size(); i++) {
      place = entries.get(i).until < entries.get(place).until ? i : place;
    }
    if (entries.get(place).until >= now) {
      throw new IllegalArgumentException("more than " + MOST_PLACES + " classes at a time");
    }
    entries.set(place, entry);
  }

  /**
   * The place of the class that a request names: the present one if the request has its form, else
   * one of that name and form that can be asked for still, else the present one all the same; -1 if
   * there is none of that name.
   *
   * @param form the effect that the request's form stands for
   */
  public int find(String name, Effect form, double now) {
    int found = -1;
    for (int i = 0; i < entries.size(); i++) {
      Entry e = entries.get(i);
      if (e.until < now || !e.name.equals(name)) {
        continue;
      }
      if (found < 0 || rank(e, form) > rank(entries.get(found), form)) {
        found = i;
      }
    }
    return found;
  }

  private static int rank(Entry e, Effect form) {
    return (e.type.effect() == form ? 2 : 0) + (e.until == FOR_GOOD ? 1 : 0);
  }

  /** The class at a place. */
  public RequestClass type(int place) {
    return entries.get(place).type;
  }

  /** The names by place; one may stand there twice, and those left for good among them. */
  public List<String> names() {
    return entries.stream().map(Entry::name).toList();
  }

  /** The classes by place, as above. */
  public List<RequestClass> types() {
    return entries.stream().map(Entry::type).toList();
  }

  /** The longest deadline that a request may have now, in milliseconds. */
  public double longestDeadlineMs(double now) {
    return entries.stream()
        .filter(e -> e.until >= now)
        .mapToDouble(e -> e.type.deadlineMs())
        .max()
        .orElse(0);
  }
}
