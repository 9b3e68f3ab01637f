package hazelspoke.emulator.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * The host list of discovery: a change of a host is published some time later. The caller supplies
 * the time.
 */
public final class Registry {
  /** The listed status of a host. */
  public enum Status {
    READY("Ready"),
    TERMINATING("Terminating"),
    GONE("Gone");

    private final String wireName;

    Status(String wireName) {
      this.wireName = wireName;
    }

    public String wireName() {
      return wireName;
    }
  }

  /**
   * One entry of the list.
   *
   * @param sinceMs when the host started, in Unix milliseconds; 0 for long ago
   * @param index the list version that introduced it
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
    /**
     * Returns the entry with another address, for a gateway that reaches the host through a relay.
     */
    public Entry reachedAt(String other) {
      return new Entry(name, other, zone, kind, group, status, sinceMs, index);
    }

    Entry withIndex(long version) {
      return new Entry(name, address, zone, kind, group, status, sinceMs, version);
    }
  }

  private record Announcement(double at, long order, Entry entry) {}

  private final PriorityQueue<Announcement> pending =
      new PriorityQueue<>(
          (a, b) ->
              a.at() != b.at()
                  ? Double.compare(a.at(), b.at())
                  : Long.compare(a.order(), b.order()));
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private long index = 1;
  private long order;
  private double announcementDelayMs;

  /** Adds an initial entry to the list at once. */
  public void put(Entry entry) {
    entries.put(entry.name(), entry.withIndex(index));
  }

  /**
   * Publishes an entry after {@code afterMs} plus the present announcement delay. A pending
   * announcement of the same host is dropped.
   */
  public void announce(Entry entry, double now, double afterMs) {
    pending.removeIf(n -> n.entry().name().equals(entry.name()));
    pending.add(new Announcement(now + afterMs + announcementDelayMs, order++, entry));
  }

  /** Sets the additional delay of later announcements. */
  public void setAnnouncementDelay(double delayMs) {
    announcementDelayMs = delayMs;
  }

  /** Publishes all announcements that are due and returns the changed entries. */
  public List<Entry> advance(double now) {
    List<Entry> out = new ArrayList<>();
    while (!pending.isEmpty() && pending.peek().at() <= now) {
      if (out.isEmpty()) {
        index++;
      }
      Entry entry = pending.poll().entry().withIndex(index);
      out.add(entry);
      entries.put(entry.name(), entry);
    }
    return out;
  }

  public long index() {
    return index;
  }

  /** All listed entries, without removed hosts. */
  public List<Entry> all() {
    return entries.values().stream().filter(e -> e.status() != Status.GONE).toList();
  }

  /** The entries changed after this version; the full list for version 0 or an unknown version. */
  public List<Entry> since(long version) {
    return version <= 0 || version > index
        ? all()
        : entries.values().stream().filter(e -> e.index() > version).toList();
  }
}
