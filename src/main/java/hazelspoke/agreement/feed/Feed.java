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
 * The voter's side of the replication feed. It sends each applied, and therefore committed, entry
 * to all subscribers. Entries are encoded once for all subscribers at the same index. A subscriber
 * that needs older entries than are kept gets a snapshot, which is encoded once for many, in
 * pieces; the rate of all pieces together is limited. Only the index is stored for a slow
 * subscriber: it detects what its connection dropped and requests it again.
 */
public class Feed {
  /** The kind of a packet with consecutive entries. */
  public static final String ENTRIES = "entries";

  /** The kind of a packet with a piece of a snapshot; an empty piece says that it is queued. */
  public static final String PIECE = "piece";

  /** The maximum number of subscribers of one voter. */
  private static final int MAX_SUBSCRIBERS = 2_000;

  /** A subscription expires after this many follow intervals without a packet. */
  private static final int EXPIRY_PERIODS = 4;

  private static final double NANOS_PER_SECOND = 1e9;

  private record KeptEntry(long index, byte[] entry) {}

  private record Snapshot(long index, byte[] bytes) {}

  private record Batch(byte[] packet, long lastIndexInBatch) {}

  private static final class Subscription {
    private Consumer<byte[]> reply;
    private long lastFollowNanos;

    /** The subscriber has all entries up to this index once the packets in flight have arrived. */
    private long sentIndex;

    /** The snapshot that is being sent in pieces, or null. */
    private Snapshot snapshot;

    private int offset;
    private boolean isQueued;
  }

  private final Scheduler scheduler;
  private final FeedSettings settings;
  private final Supplier<FleetRecord> record;
  private final Deque<KeptEntry> kept = new ArrayDeque<>();
  private final Map<String, Subscription> subscriptions = new LinkedHashMap<>();

  /** Subscriptions with pending pieces, each once, in round-robin order. */
  private final Deque<Subscription> snapshotQueue = new ArrayDeque<>();

  private int keptBytes;

  /** All entries after this index are kept. */
  private long lastDroppedIndex;

  private long lastIndex;

  /** The newest snapshot, and the one before it, which may still be in transfer. */
  private Snapshot snapshot;

  private Snapshot previousSnapshot;
  private boolean isFlushScheduled;
  private double budgetBytes;
  private long budgetUpdatedNanos;

  /**
   * Creates a feed without subscribers.
   *
   * @param record the applied record; older than the entries that were sent only while the engine
   *     catches up after a restart
   */
  public Feed(Scheduler scheduler, FeedSettings settings, Supplier<FleetRecord> record) {
    this.scheduler = scheduler;
    this.settings = settings;
    this.record = record;
    budgetUpdatedNanos = scheduler.nanos();
  }

  /** Sends an applied entry; entries that are applied again after an engine restart are ignored. */
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

  /** A snapshot replaced the record: the entries before it are not available here. */
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
   * Adds or renews a subscription.
   *
   * @param reply sends a packet to the subscriber
   */
  public void follow(String from, Fields in, Consumer<byte[]> reply) throws MalformedException {
    long subscriberIndex = in.number("have");
    long snapshotIndex = in.number("of");
    int offset = in.nonNegativeInt("offset");
    Subscription subscription = subscriptions.get(from);
    if (subscription == null) {
      if (subscriptions.size() >= MAX_SUBSCRIBERS) {
        return;
      }
      subscription = new Subscription();
      subscriptions.put(from, subscription);
    }
    subscription.reply = reply;
    subscription.lastFollowNanos = scheduler.nanos();
    if (subscription.snapshot != null
        && subscription.snapshot.index == snapshotIndex
        && !in.bool("again")) {
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
      scheduler.schedule(settings.flushNanos(), this::flush);
    }
  }

  private void flush() {
    isFlushScheduled = false;
    long nowNanos = scheduler.nanos();
    subscriptions
        .values()
        .removeIf(
            s ->
                nowNanos - s.lastFollowNanos > EXPIRY_PERIODS * settings.followNanos()
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
    sendPending(nowNanos);
  }

  private static boolean cancelSnapshot(Subscription subscription) {
    subscription.snapshot = null;
    return true;
  }

  /** Sends the kept entries that the subscriber lacks; a later flush sends what does not fit. */
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
   * Returns the snapshot for a subscriber that needs one; null while the engine is behind the kept
   * entries. A snapshot is used until half of the maximum number of kept entries were applied after
   * it, so that subscribers that start together share it. Transfers of the previous snapshot go on;
   * no older one is held.
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

  /** Sends pieces round-robin, within the byte budget that has accrued since the last call. */
  private void sendPending(long nowNanos) {
    double elapsedSeconds = Math.max(0, nowNanos - budgetUpdatedNanos) / NANOS_PER_SECOND;
    budgetUpdatedNanos = nowNanos;
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

  /** Whether a piece may be sent; it may overdraw the budget, which later accrual repays. */
  protected boolean maySend(double budgetBytes) {
    return budgetBytes > 0;
  }

  /** Returns the packet to send; it is shared between subscribers and must not be modified. */
  protected byte[] encoded(byte[] packet) {
    return packet;
  }
}
