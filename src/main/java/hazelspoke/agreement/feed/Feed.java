package hazelspoke.agreement.feed;

import hazelspoke.agreement.engine.Scheduler;
import hazelspoke.agreement.record.FleetRecord;
import hazelspoke.agreement.wire.Cbor;
import hazelspoke.agreement.wire.Fields;
import hazelspoke.agreement.wire.MalformedException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A voter's part: pushes each entry that it has applied, and so is agreed on, to all that follow
 * it. Entries are encoded once for all that stand at the same place. Who is further behind than the
 * entries that are kept gets a snapshot, encoded once for many, in pieces, of which all together
 * get no more than a stated rate. Nothing is kept for a slow follower but its place: what its
 * connection drops it notices, and asks for.
 */
public class Feed {
  /** Entries that follow one another. */
  public static final String ENTRIES = "entries";

  /** A piece of a snapshot; one without bytes says that its turn has not come. */
  public static final String PIECE = "piece";

  /** More than this many do not follow one voter. */
  private static final int MOST_FOLLOWERS = 2_000;

  /** Who has said nothing for so many times the usual has gone. */
  private static final int GONE_AFTER = 4;

  private static final double NANOS_A_SECOND = 1e9;

  private record Kept(long index, byte[] entry) {}

  private record Snapshot(long index, byte[] bytes) {}

  private record Push(byte[] packet, long upTo) {}

  private static final class Place {
    private Consumer<byte[]> back;
    private long heardAt;

    /** It has all up to here, once what is under way to it has come. */
    private long sent;

    /** What it is given piece by piece, or null. */
    private Snapshot snapshot;

    private int offset;
    private boolean queued;
  }

  private final Scheduler scheduler;
  private final FeedSettings pace;
  private final Supplier<FleetRecord> record;
  private final Deque<Kept> kept = new ArrayDeque<>();
  private final Map<String, Place> places = new LinkedHashMap<>();

  /** Those that are owed pieces, each once, in the order of their turns. */
  private final Deque<Place> queue = new ArrayDeque<>();

  private int keptBytes;

  /** All that came later than this is kept. */
  private long floor;

  private long last;

  /** The newest that was written, and the one before, which some may still be given. */
  private Snapshot snapshot;

  private Snapshot previous;
  private boolean flushing;
  private double earned;
  private long earnedAt;

  /**
   * One that nobody follows.
   *
   * @param record as it was applied here up to now; never an older one's than what was pushed but
   *     while the engine catches up with itself after a restart
   */
  public Feed(Scheduler scheduler, FeedSettings pace, Supplier<FleetRecord> record) {
    this.scheduler = scheduler;
    this.pace = pace;
    this.record = record;
    earnedAt = scheduler.nanos();
  }

  /** An entry was applied here; those that come again after a restart of the engine are known. */
  public void applied(long index, byte[] entry) {
    if (index <= last) {
      return;
    }
    kept.add(new Kept(index, entry));
    keptBytes += entry.length;
    last = index;
    while (kept.size() > pace.keptEntries() || keptBytes > pace.keptBytes()) {
      Kept oldest = kept.remove();
      keptBytes -= oldest.entry.length;
      floor = oldest.index;
    }
    flushSoon();
  }

  /** A snapshot took the place of what was here: what lies between is not known. */
  public void installed(long index) {
    if (index <= last) {
      return;
    }
    kept.clear();
    keptBytes = 0;
    floor = index;
    last = index;
    flushSoon();
  }

  /**
   * Somebody follows, or still does.
   *
   * @param back the way to it
   */
  public void follow(String from, Fields in, Consumer<byte[]> back) throws MalformedException {
    long have = in.number("have");
    long of = in.number("of");
    int offset = in.nonNegativeInt("offset");
    Place place = places.get(from);
    if (place == null) {
      if (places.size() >= MOST_FOLLOWERS) {
        return;
      }
      place = new Place();
      places.put(from, place);
    }
    place.back = back;
    place.heardAt = scheduler.nanos();
    if (place.snapshot != null && place.snapshot.index == of && !in.bool("again")) {
      back.accept(piece(place.snapshot, 0, 0));
      return;
    }
    place.sent = have;
    place.snapshot = null;
    Snapshot begun = snapshot(of);
    if (have >= last) {
      back.accept(encoded(entries(last, List.of())));
    } else if (have >= floor) {
      push(place, new HashMap<>());
    } else if (begun != null && of > have && offset >= 0) {
      owe(place, begun, offset);
    } else {
      owe(place);
    }
  }

  private void flushSoon() {
    if (!flushing) {
      flushing = true;
      scheduler.schedule(pace.flushNanos(), this::flush);
    }
  }

  private void flush() {
    flushing = false;
    long now = scheduler.nanos();
    places.values().removeIf(p -> now - p.heardAt > GONE_AFTER * pace.followNanos() && forget(p));
    Map<Long, Push> shared = new HashMap<>();
    for (Place place : places.values()) {
      if (place.snapshot == null && place.sent < last) {
        if (place.sent >= floor) {
          push(place, shared);
        } else {
          owe(place);
        }
      }
    }
    pay(now);
  }

  private static boolean forget(Place place) {
    place.snapshot = null;
    return true;
  }

  /** Sends what is kept from a place on; what does not fit into one packet follows. */
  private void push(Place place, Map<Long, Push> shared) {
    Push push = shared.computeIfAbsent(place.sent, this::after);
    place.sent = push.upTo;
    place.back.accept(push.packet);
    if (place.sent < last) {
      flushSoon();
    }
  }

  private Push after(long index) {
    List<Map<String, Object>> some = new ArrayList<>();
    int bytes = 0;
    long upTo = index;
    for (Kept entry : kept) {
      if (entry.index > index && (some.isEmpty() || bytes < pace.pieceBytes())) {
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("index", entry.index);
        out.put("entry", entry.entry);
        some.add(out);
        bytes += entry.entry.length;
        upTo = entry.index;
      }
    }
    return new Push(encoded(entries(index, some)), upTo);
  }

  private static byte[] entries(long previous, List<Map<String, Object>> some) {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("kind", ENTRIES);
    out.put("previous", previous);
    out.put("entries", some);
    return Cbor.write(out);
  }

  private static byte[] piece(Snapshot of, int offset, int length) {
    byte[] bytes = new byte[length];
    System.arraycopy(of.bytes, offset, bytes, 0, length);
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("kind", PIECE);
    out.put("of", of.index);
    out.put("offset", offset);
    out.put("total", of.bytes.length);
    out.put("bytes", bytes);
    return Cbor.write(out);
  }

  private void owe(Place place) {
    Snapshot newest = newest();
    if (newest != null) {
      owe(place, newest, 0);
    }
  }

  private void owe(Place place, Snapshot what, int from) {
    place.snapshot = what;
    place.offset = Math.min(from, what.bytes.length);
    if (!place.queued) {
      place.queued = true;
      queue.add(place);
    }
    place.back.accept(piece(what, 0, 0));
    flushSoon();
  }

  private Snapshot snapshot(long index) {
    if (snapshot != null && snapshot.index == index) {
      return snapshot;
    }
    return previous != null && previous.index == index ? previous : null;
  }

  /**
   * The snapshot for whoever needs one now; null while the engine is behind what is kept. One
   * serves until half of what is kept has come after it, so that many that begin at once share it;
   * those that are still given the one before go on, and none that is older is held.
   */
  private Snapshot newest() {
    boolean serves =
        snapshot != null
            && snapshot.index >= floor
            && kept.stream().filter(k -> k.index > snapshot.index).count()
                <= pace.keptEntries() / 2;
    if (!serves) {
      FleetRecord now = record.get();
      if (now.index() < floor || now.index() == 0) {
        return null;
      }
      previous = snapshot;
      snapshot = new Snapshot(now.index(), now.bytes());
      for (Place place : places.values()) {
        if (place.snapshot != null && place.snapshot != previous) {
          place.snapshot = snapshot;
          place.offset = 0;
        }
      }
    }
    return snapshot;
  }

  /** Sends pieces in turn, as many as were earned since. */
  private void pay(long now) {
    double since = Math.max(0, now - earnedAt) / NANOS_A_SECOND;
    earnedAt = now;
    double most =
        Math.max(pace.pieceBytes(), 2 * pace.flushNanos() / NANOS_A_SECOND * pace.bytesASecond());
    earned = Math.min(most, earned + since * pace.bytesASecond());
    while (!queue.isEmpty() && mayPay(earned)) {
      Place place = queue.remove();
      place.queued = false;
      if (place.snapshot == null) {
        continue;
      }
      Snapshot of = place.snapshot;
      int length = Math.min(pace.pieceBytes(), of.bytes.length - place.offset);
      earned -= length;
      place.back.accept(encoded(piece(of, place.offset, length)));
      place.offset += length;
      if (place.offset < of.bytes.length) {
        place.queued = true;
        queue.add(place);
      } else {
        place.snapshot = null;
        place.sent = of.index;
        flushSoon();
      }
    }
    if (!queue.isEmpty()) {
      flushSoon();
    }
  }

  /** Whether a piece may be sent that costs more than what is left; what is earned pays it off. */
  protected boolean mayPay(double left) {
    return left > 0;
  }

  /** What is sent to many is never changed afterwards. */
  protected byte[] encoded(byte[] packet) {
    return packet;
  }
}
