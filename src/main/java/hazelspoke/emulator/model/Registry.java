package hazelspoke.emulator.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * The list of hosts as discovery has it: what happens to a host becomes news some time later. Told
 * the time by its caller.
 */
public final class Registry {
  /** What the list says of a host. */
  public enum Status {
    READY("Ready"),
    TERMINATING("Terminating"),
    GONE("Gone");

    private final String word;

    Status(String word) {
      this.word = word;
    }

    public String word() {
      return word;
    }
  }

  /**
   * One entry.
   *
   * @param sinceMs when the host started, Unix time; 0 for long ago
   * @param index the version of the list that brought it
   */
  public record Entry(
      String name,
      String address,
      String zone,
      String kind,
      int group,
      Status status,
      long sinceMs,
      long index) {
    /** The same host as one is told who reaches it by another address. */
    public Entry reachedAt(String other) {
      return new Entry(name, other, zone, kind, group, status, sinceMs, index);
    }

    Entry at(long version) {
      return new Entry(name, address, zone, kind, group, status, sinceMs, version);
    }
  }

  private record News(double at, long order, Entry entry) {}

  private final PriorityQueue<News> pending =
      new PriorityQueue<>(
          (a, b) ->
              a.at() != b.at()
                  ? Double.compare(a.at(), b.at())
                  : Long.compare(a.order(), b.order()));
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private long index = 1;
  private long order;
  private double lateMs;

  /** Puts an entry on the list at once: what is there from the start. */
  public void put(Entry entry) {
    entries.put(entry.name(), entry.at(index));
  }

  /**
   * An entry that will be news after this time, and later still while news is late. What was to be
   * said of the host and has not been said yet is dropped.
   */
  public void announce(Entry entry, double now, double afterMs) {
    pending.removeIf(n -> n.entry().name().equals(entry.name()));
    pending.add(new News(now + afterMs + lateMs, order++, entry));
  }

  /** From now on news comes later by this much. */
  public void setAnnouncementDelay(double byMs) {
    lateMs = byMs;
  }

  /** Moves the list on; returns what has changed. */
  public List<Entry> advance(double now) {
    List<Entry> out = new ArrayList<>();
    while (!pending.isEmpty() && pending.peek().at() <= now) {
      if (out.isEmpty()) {
        index++;
      }
      Entry entry = pending.poll().entry().at(index);
      out.add(entry);
      entries.put(entry.name(), entry);
    }
    return out;
  }

  public long index() {
    return index;
  }

  /** All that is listed; what has gone is left out. */
  public List<Entry> all() {
    return entries.values().stream().filter(e -> e.status() != Status.GONE).toList();
  }

  /** What changed after this version; all of the list for version 0 or one that never was. */
  public List<Entry> since(long version) {
    return version <= 0 || version > index
        ? all()
        : entries.values().stream().filter(e -> e.index() > version).toList();
  }
}
