package hazelspoke.agreement.feed;

import hazelspoke.agreement.engine.Turns;
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
  private static final int MAX_SUBSCRIBERS = 2_000;

  /** Who has said nothing for so many times the usual has gone. */
  private static final int EXPIRY_PERIODS = 4;

  private static final double NANOS_PER_SECOND = 1e9;

  private record KeptEntry(long index, byte[] entry) {}

  private record Snapshot(long index, byte[] bytes) {}

  private record Batch(byte[] packet, long lastIndexInBatch) {}

  private static final class Subscription {
    private Consumer<byte[]> reply;
    private long lastFollowNanos;

    /** It has all up to here, once what is under way to it has come. */
    private long sentIndex;

    /** What it is given piece by piece, or null. */
    private Snapshot snapshot;

    private int offset;
    private boolean isQueued;
  }

  private final Turns turns;
  private final FeedSettings settings;
  private final Supplier<FleetRecord> record;
  private final Deque<KeptEntry> kept = new ArrayDeque<>();
  private final Map<String, Subscription> subscriptions = new LinkedHashMap<>();

  /** Those that are owed pieces, each once, in the order of their turns. */
  private final Deque<Subscription> snapshotQueue = new ArrayDeque<>();

  private int keptBytes;

  /** All that came later than this is kept. */
  private long lastDroppedIndex;

  private long lastIndex;

  /** The newest that was written, and the one before, which some may still be given. */
  private Snapshot snapshot;

  private Snapshot previousSnapshot;
  private boolean isFlushScheduled;
  private double budgetBytes;
  private long budgetUpdatedNanos;

  /**
   * One that nobody follows.
   *
   * @param record as it was applied here up to now; never an older one's than what was pushed but
   *     while the engine catches up with itself after a restart
   */
  public Feed(Turns turns, FeedSettings settings, Supplier<FleetRecord> record) {
    this.turns = turns;
    this.settings = settings;
    this.record = record;
    budgetUpdatedNanos = turns.nanos();
  }

  /** An entry was applied here; those that come again after a restart of the engine are known. */
  public void applied(long index, byte[] entry) {
    if (index <= lastIndex) {
      return;
    }
    kept.add(new KeptEntry(index, entry));
    keptBytes += entry.length;
    lastIndex = index;
    while (kept.size() > settings.maxKeptEntries() || keptBytes > settings.maxKeptBytes()) {
      KeptEntry oldest = kept.remove();
      keptBytes -= oldest.entry.length;
      lastDroppedIndex = oldest.index;
    }
    flushSoon();
  }

  /** A snapshot took the place of what was here: what lies between is not known. */
  public void installed(long index) {
    if (index <= lastIndex) {
      return;
    }
    kept.clear();
    keptBytes = 0;
    lastDroppedIndex = index;
    lastIndex = index;
    flushSoon();
  }

  /**
   * Somebody follows, or still does.
   *
   * @param back the way to it
   */
  public void follow(String from, Fields in, Consumer<byte[]> reply) throws MalformedException {
    long subscriberIndex = in.number("have");
    long snapshotIndex = in.number("of");
    int offset = in.count("offset");
    Subscription subscription = subscriptions.get(from);
    if (subscription == null) {
      if (subscriptions.size() >= MAX_SUBSCRIBERS) {
        return;
      }
      subscription = new Subscription();
      subscriptions.put(from, subscription);
    }
    subscription.reply = reply;
    subscription.lastFollowNanos = turns.nanos();
    if (subscription.snapshot != null
        && subscription.snapshot.index == snapshotIndex
        && !in.truth("again")) {
      reply.accept(piecePacket(subscription.snapshot, 0, 0));
      return;
    }
    subscription.sentIndex = subscriberIndex;
    subscription.snapshot = null;
    Snapshot requested = snapshotAt(snapshotIndex);
    if (subscriberIndex >= lastIndex) {
      reply.accept(encoded(entriesPacket(lastIndex, List.of())));
    } else if (subscriberIndex >= lastDroppedIndex) {
      sendEntries(subscription, new HashMap<>());
    } else if (requested != null && snapshotIndex > subscriberIndex && offset >= 0) {
      queueSnapshot(subscription, requested, offset);
    } else {
      queueSnapshot(subscription);
    }
  }

  private void flushSoon() {
    if (!isFlushScheduled) {
      isFlushScheduled = true;
      turns.after(settings.flushNanos(), this::flush);
    }
  }

  private void flush() {
    isFlushScheduled = false;
    long now = turns.nanos();
    subscriptions
        .values()
        .removeIf(
            s ->
                now - s.lastFollowNanos > EXPIRY_PERIODS * settings.followNanos()
                    && cancelSnapshot(s));
    Map<Long, Batch> shared = new HashMap<>();
    for (Subscription subscription : subscriptions.values()) {
      if (subscription.snapshot == null && subscription.sentIndex < lastIndex) {
        if (subscription.sentIndex >= lastDroppedIndex) {
          sendEntries(subscription, shared);
        } else {
          queueSnapshot(subscription);
        }
      }
    }
    sendPending(now);
  }

  private static boolean cancelSnapshot(Subscription subscription) {
    subscription.snapshot = null;
    return true;
  }

  /** Sends what is kept from a place on; what does not fit into one packet follows. */
  private void sendEntries(Subscription subscription, Map<Long, Batch> shared) {
    Batch batch = shared.computeIfAbsent(subscription.sentIndex, this::batchAfter);
    subscription.sentIndex = batch.lastIndexInBatch;
    subscription.reply.accept(batch.packet);
    if (subscription.sentIndex < lastIndex) {
      flushSoon();
    }
  }

  private Batch batchAfter(long index) {
    List<Map<String, Object>> batchEntries = new ArrayList<>();
    int bytes = 0;
    long lastIndexInBatch = index;
    for (KeptEntry entry : kept) {
      if (entry.index > index && (batchEntries.isEmpty() || bytes < settings.pieceBytes())) {
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("index", entry.index);
        out.put("entry", entry.entry);
        batchEntries.add(out);
        bytes += entry.entry.length;
        lastIndexInBatch = entry.index;
      }
    }
    return new Batch(encoded(entriesPacket(index, batchEntries)), lastIndexInBatch);
  }

  private static byte[] entriesPacket(long previous, List<Map<String, Object>> batchEntries) {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("kind", ENTRIES);
    out.put("previous", previous);
    out.put("entries", batchEntries);
    return Cbor.write(out);
  }

  private static byte[] piecePacket(Snapshot snapshot, int offset, int length) {
    byte[] bytes = new byte[length];
    System.arraycopy(snapshot.bytes, offset, bytes, 0, length);
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("kind", PIECE);
    out.put("of", snapshot.index);
    out.put("offset", offset);
    out.put("total", snapshot.bytes.length);
    out.put("bytes", bytes);
    return Cbor.write(out);
  }

  private void queueSnapshot(Subscription subscription) {
    Snapshot current = snapshotToSend();
    if (current != null) {
      queueSnapshot(subscription, current, 0);
    }
  }

  private void queueSnapshot(Subscription subscription, Snapshot toSend, int offset) {
    subscription.snapshot = toSend;
    subscription.offset = Math.min(offset, toSend.bytes.length);
    if (!subscription.isQueued) {
      subscription.isQueued = true;
      snapshotQueue.add(subscription);
    }
    subscription.reply.accept(piecePacket(toSend, 0, 0));
    flushSoon();
  }

  private Snapshot snapshotAt(long index) {
    if (snapshot != null && snapshot.index == index) {
      return snapshot;
    }
    return previousSnapshot != null && previousSnapshot.index == index ? previousSnapshot : null;
  }

  /**
   * The snapshot for whoever needs one now; null while the engine is behind what is kept. One
   * serves until half of what is kept has come after it, so that many that begin at once share it;
   * those that are still given the one before go on, and none that is older is held.
   */
  private Snapshot snapshotToSend() {
    boolean isUsable =
        snapshot != null
            && snapshot.index >= lastDroppedIndex
            && kept.stream().filter(k -> k.index > snapshot.index).count()
                <= settings.maxKeptEntries() / 2;
    if (!isUsable) {
      FleetRecord applied = record.get();
      if (applied.index() < lastDroppedIndex || applied.index() == 0) {
        return null;
      }
      previousSnapshot = snapshot;
      snapshot = new Snapshot(applied.index(), applied.bytes());
      for (Subscription subscription : subscriptions.values()) {
        if (subscription.snapshot != null && subscription.snapshot != previousSnapshot) {
          subscription.snapshot = snapshot;
          subscription.offset = 0;
        }
      }
    }
    return snapshot;
  }

  /** Sends pieces in turn, as many as were earned since. */
  private void sendPending(long now) {
    double elapsedSeconds = Math.max(0, now - budgetUpdatedNanos) / NANOS_PER_SECOND;
    budgetUpdatedNanos = now;
    double maxBudgetBytes =
        Math.max(
            settings.pieceBytes(),
            2 * settings.flushNanos() / NANOS_PER_SECOND * settings.snapshotBytesPerSecond());
    budgetBytes =
        Math.min(maxBudgetBytes, budgetBytes + elapsedSeconds * settings.snapshotBytesPerSecond());
    while (!snapshotQueue.isEmpty() && maySend(budgetBytes)) {
      Subscription subscription = snapshotQueue.remove();
      subscription.isQueued = false;
      if (subscription.snapshot == null) {
        continue;
      }
      Snapshot toSend = subscription.snapshot;
      int length = Math.min(settings.pieceBytes(), toSend.bytes.length - subscription.offset);
      budgetBytes -= length;
      subscription.reply.accept(encoded(piecePacket(toSend, subscription.offset, length)));
      subscription.offset += length;
      if (subscription.offset < toSend.bytes.length) {
        subscription.isQueued = true;
        snapshotQueue.add(subscription);
      } else {
        subscription.snapshot = null;
        subscription.sentIndex = toSend.index;
        flushSoon();
      }
    }
    if (!snapshotQueue.isEmpty()) {
      flushSoon();
    }
  }

  /** Whether a piece may be sent that costs more than what is left; what is earned pays it off. */
  protected boolean maySend(double budgetBytes) {
    return budgetBytes > 0;
  }

  /** What is sent to many is never changed afterwards. */
  protected byte[] encoded(byte[] packet) {
    return packet;
  }
}
