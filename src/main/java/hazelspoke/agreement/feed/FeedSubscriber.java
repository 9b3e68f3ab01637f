package hazelspoke.agreement.feed;

import hazelspoke.agreement.engine.Scheduler;
import hazelspoke.agreement.record.FleetRecord;
import hazelspoke.agreement.wire.Cbor;
import hazelspoke.agreement.wire.Fields;
import hazelspoke.agreement.wire.MalformedException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Supplier;

/**
 * A member's copy of the record, which one of the voters, its source, keeps up to date. An entry is
 * applied only if all entries before it were, so at each index the copy equals the record, and it
 * never goes back. The subscriber switches to another source if the voter is unresponsive, has lost
 * its vote, or is behind the index that a leader has reported.
 *
 * <p>The source need not be the leader: a voter sends only entries that it has applied, which are
 * committed and therefore the same at every voter.
 */
public class FeedSubscriber {
  /** The kind of the packet by which a member subscribes to a voter. */
  public static final String FOLLOW = "follow";

  /** The maximum size of a snapshot that is accepted. */
  private static final int MAX_SNAPSHOT_BYTES = 8 << 20;

  /** How many reports of leaders wait until the record reaches their index. */
  private static final int MAX_PENDING_REPORTS = 16;

  /** What the subscriber needs from its owner. */
  public interface Owner {
    /** Sends a packet to a voter; it may be lost. */
    void send(String voter, byte[] packet);

    /** The record has advanced. */
    void changed();

    /** Logs a line for operators. */
    void event(String line);
  }

  private record LeaderReport(String leader, long index, long requestedNanos, long receivedNanos) {}

  private final String self;
  private final Scheduler scheduler;
  private final Random random;
  private final FeedSettings settings;
  private final Supplier<List<String>> voters;
  private final Owner owner;
  private final Deque<LeaderReport> pendingReports = new ArrayDeque<>();
  private FleetRecord record = new FleetRecord();
  private String source;
  private long lastHeardNanos;
  private long lastFollowNanos;

  /** How many sources in a row were unresponsive. */
  private int unresponsiveSources;

  /** The leader that last reported an index, or null. */
  private String leader;

  /** Whether, since the last request, the source has sent news or announced that it will. */
  private boolean isServed;

  private boolean isResendRequested;
  private OptionalLong currentAsOfNanos = OptionalLong.empty();
  private long snapshotIndex = -1;
  private byte[] snapshotBytes = {};
  private int receivedBytes;
  private boolean stopped;

  /**
   * Creates a subscriber with an empty record and no source.
   *
   * @param voters returns the names of the voters that are known
   */
  public FeedSubscriber(
      String self,
      Scheduler scheduler,
      Random random,
      FeedSettings settings,
      Supplier<List<String>> voters,
      Owner owner) {
    this.self = self;
    this.scheduler = scheduler;
    this.random = random;
    this.settings = settings;
    this.voters = voters;
    this.owner = owner;
  }

  /** Subscribes to a voter and keeps the subscription until {@link #stop}. */
  public void start() {
    switchTo(voters.get().contains(self) ? self : null);
    scheduleTick();
  }

  public void stop() {
    stopped = true;
  }

  /** Returns the local copy of the record; it changes as entries arrive. */
  public FleetRecord record() {
    return record;
  }

  /**
   * Returns the latest time at which the local copy was certainly complete; empty if there is none.
   */
  public OptionalLong currentAsOfNanos() {
    return currentAsOfNanos;
  }

  /**
   * A leader has reported the index of the record.
   *
   * @param requestedNanos when the report was requested; the record had no higher index then
   */
  public void leaderReported(String leader, long index, long requestedNanos) {
    this.leader = leader;
    if (index <= record.index()) {
      markCurrent(requestedNanos);
      return;
    }
    if (pendingReports.size() == MAX_PENDING_REPORTS) {
      pendingReports.removeLast();
    }
    pendingReports.add(new LeaderReport(leader, index, requestedNanos, scheduler.nanos()));
  }

  private void scheduleTick() {
    scheduler.schedule(
        (long) (settings.followNanos() * (0.9 + 0.2 * random.nextDouble())), this::tick);
  }

  private void tick() {
    if (stopped) {
      return;
    }
    long nowNanos = scheduler.nanos();
    boolean unresponsive = lastHeardNanos - lastFollowNanos < 0;
    LeaderReport oldest = pendingReports.peek();
    if (source == null || unresponsive || !voters.get().contains(source)) {
      // The first switch is random, so that the subscribers of a failed voter spread; after another
      // failure it goes to the leader that was heard last.
      switchTo(unresponsive && unresponsiveSources++ > 0 && !source.equals(leader) ? leader : null);
    } else if (oldest != null && !isServed && isBehind(nowNanos - oldest.receivedNanos)) {
      owner.event("behind source=" + source + " known=" + record.index() + " of=" + oldest.index);
      switchTo(oldest.leader.equals(source) ? null : oldest.leader);
    } else {
      sendFollow(!isServed);
    }
    scheduleTick();
  }

  /** Whether an index that a leader reported this long ago should have arrived by now. */
  protected boolean isBehind(long overdueNanos) {
    return overdueNanos > settings.followNanos();
  }

  /** Switches to this voter, or to a random other one if it is null. */
  private void switchTo(String to) {
    List<String> others = new ArrayList<>(voters.get());
    if (others.size() > 1) {
      others.remove(source);
    }
    source =
        to != null ? to : others.isEmpty() ? source : others.get(random.nextInt(others.size()));
    snapshotIndex = -1;
    sendFollow(true);
  }

  private void sendFollow(boolean restart) {
    if (source == null) {
      return;
    }
    lastFollowNanos = scheduler.nanos();
    // Packets that arrive at the same clock reading count as received after the request.
    lastHeardNanos = lastFollowNanos - 1;
    isServed = false;
    isResendRequested = false;
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("kind", FOLLOW);
    out.put("have", record.index());
    out.put("of", snapshotIndex);
    out.put("offset", receivedBytes);
    out.put("again", restart);
    owner.send(source, Cbor.write(out));
  }

  /** Applies entries from the source. */
  public void receiveEntries(String from, Fields in) throws MalformedException {
    if (stopped || !from.equals(source)) {
      return;
    }
    sourceResponded();
    if (!hasAllUpTo(in.number("previous"))) {
      requestResend();
      return;
    }
    boolean advanced = false;
    for (Fields entry : in.list("entries")) {
      long index = entry.number("index");
      if (index > record.index()) {
        record.applyEntry(index, entry.bytes("entry"));
        advanced = true;
      }
    }
    if (advanced) {
      recordAdvanced();
    }
  }

  /** Requests lost packets again, once, as more packets behind the gap may arrive. */
  private void requestResend() {
    if (!isResendRequested) {
      sendFollow(true);
      isResendRequested = true;
    }
  }

  private void sourceResponded() {
    lastHeardNanos = scheduler.nanos();
    unresponsiveSources = 0;
  }

  /** Whether all entries up to this index are applied, so that the following ones may be. */
  protected boolean hasAllUpTo(long previous) {
    return previous <= record.index();
  }

  /** Stores a piece of a snapshot, or notes that one is queued at the source. */
  public void receivePiece(String from, Fields in) throws MalformedException {
    if (stopped || !from.equals(source)) {
      return;
    }
    sourceResponded();
    long index = in.number("of");
    int offset = in.nonNegativeInt("offset");
    int total = in.nonNegativeInt("total");
    byte[] bytes = in.bytes("bytes");
    if (bytes.length == 0) {
      isServed = true;
      return;
    }
    if (index <= record.index()) {
      return;
    }
    if (total > MAX_SNAPSHOT_BYTES || offset < 0 || bytes.length > total - offset) {
      throw new MalformedException("a piece of " + bytes.length + " at " + offset + " of " + total);
    }
    if (snapshotIndex != index || snapshotBytes.length != total) {
      snapshotIndex = index;
      snapshotBytes = new byte[total];
      receivedBytes = 0;
    }
    if (offset != receivedBytes) {
      if (offset > receivedBytes) {
        requestResend();
      }
      return;
    }
    isServed = true;
    System.arraycopy(bytes, 0, snapshotBytes, offset, bytes.length);
    receivedBytes += bytes.length;
    if (receivedBytes == total) {
      FleetRecord received = FleetRecord.read(snapshotBytes);
      snapshotIndex = -1;
      snapshotBytes = new byte[0];
      receivedBytes = 0;
      if (received.index() != index) {
        throw new MalformedException("a snapshot up to " + received.index() + " came as " + index);
      }
      record = received;
      recordAdvanced();
    }
  }

  private void markCurrent(long asOfNanos) {
    if (currentAsOfNanos.isEmpty() || asOfNanos - currentAsOfNanos.getAsLong() > 0) {
      currentAsOfNanos = OptionalLong.of(asOfNanos);
    }
  }

  private void recordAdvanced() {
    isServed = true;
    while (!pendingReports.isEmpty() && pendingReports.peek().index <= record.index()) {
      markCurrent(pendingReports.remove().requestedNanos);
    }
    owner.changed();
  }
}
