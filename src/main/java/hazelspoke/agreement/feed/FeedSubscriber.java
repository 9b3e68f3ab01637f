package hazelspoke.agreement.feed;

import hazelspoke.agreement.engine.Turns;
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
 * A member's copy of the record, which one of the voters keeps up. It takes an entry only if it has
 * all before it, and so is at each index the same as the record was there; it never goes back. A
 * voter that is silent, whose vote has ended, or that is behind what a leader has said, is left for
 * another.
 *
 * <p>Whose turn it is as a leader need not be known: a voter pushes only what it has applied, which
 * is agreed on, and so is the same from whomever it comes.
 */
public class FeedSubscriber {
  /** The packet by which a member follows a voter. */
  public static final String FOLLOW = "follow";

  /** The longest snapshot that is taken. */
  private static final int MAX_SNAPSHOT_BYTES = 8 << 20;

  /** So many words of leaders wait to be true here. */
  private static final int MAX_PENDING_REPORTS = 16;

  /** What its owner gives it, and is told. */
  public interface Owner {
    /** Sends a packet to a voter, or drops it. */
    void send(String voter, byte[] packet);

    /** The record is known further than before. */
    void changed();

    /** A line for operators. */
    void event(String line);
  }

  private record LeaderReport(String leader, long index, long requestedNanos, long receivedNanos) {}

  private final String self;
  private final Turns turns;
  private final Random random;
  private final FeedSettings settings;
  private final Supplier<List<String>> voters;
  private final Owner owner;
  private final Deque<LeaderReport> pendingReports = new ArrayDeque<>();
  private FleetRecord record = new FleetRecord();
  private String source;
  private long lastHeardNanos;
  private long lastFollowNanos;

  /** So many in a row were silent. */
  private int unresponsiveSources;

  /** Who said last how far the record was, or null. */
  private String leader;

  /** Whether the source has brought it on, or said that its turn will come, since it last asked. */
  private boolean isServed;

  private boolean isResendRequested;
  private OptionalLong currentAsOfNanos = OptionalLong.empty();
  private long snapshotIndex = -1;
  private byte[] snapshotBytes = {};
  private int receivedBytes;
  private boolean stopped;

  /**
   * One that knows nothing and follows nobody yet.
   *
   * @param voters whose votes count, as far as is known
   */
  public FeedSubscriber(
      String self,
      Turns turns,
      Random random,
      FeedSettings settings,
      Supplier<List<String>> voters,
      Owner owner) {
    this.self = self;
    this.turns = turns;
    this.random = random;
    this.settings = settings;
    this.voters = voters;
    this.owner = owner;
  }

  /** Begins, and goes on by itself. */
  public void start() {
    switchTo(voters.get().contains(self) ? self : null);
    scheduleTick();
  }

  public void stop() {
    stopped = true;
  }

  /** The record as it is known here; it changes as entries come. */
  public FleetRecord record() {
    return record;
  }

  /** The record was no further than is known here at this time, in ns; empty before the first. */
  public OptionalLong currentAsOfNanos() {
    return currentAsOfNanos;
  }

  /**
   * A leader has said how far the record was.
   *
   * @param askedAt when it was asked, since when that holds
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
    pendingReports.add(new LeaderReport(leader, index, requestedNanos, turns.nanos()));
  }

  private void scheduleTick() {
    turns.after((long) (settings.followNanos() * (0.9 + 0.2 * random.nextDouble())), this::tick);
  }

  private void tick() {
    if (stopped) {
      return;
    }
    long now = turns.nanos();
    boolean unresponsive = lastHeardNanos - lastFollowNanos < 0;
    LeaderReport oldest = pendingReports.peek();
    if (source == null || unresponsive || !voters.get().contains(source)) {
      // First to any, so that those of one that died spread; then to whom it has heard of late.
      switchTo(unresponsive && unresponsiveSources++ > 0 && !source.equals(leader) ? leader : null);
    } else if (oldest != null && !isServed && isBehind(now - oldest.receivedNanos)) {
      owner.event("behind source=" + source + " known=" + record.index() + " of=" + oldest.index);
      switchTo(oldest.leader.equals(source) ? null : oldest.leader);
    } else {
      sendFollow(!isServed);
    }
    scheduleTick();
  }

  /** Whether what a leader said so long ago should have come by now. */
  protected boolean isBehind(long overdueNanos) {
    return overdueNanos > settings.followNanos();
  }

  /** Goes over to this voter, or to any other. */
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
    lastFollowNanos = turns.nanos();
    // So that what is heard within this turn counts as later.
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

  /** Entries have come. */
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

  /** Something was lost on the way: asked for once, as more of what follows may come. */
  private void requestResend() {
    if (!isResendRequested) {
      sendFollow(true);
      isResendRequested = true;
    }
  }

  private void sourceResponded() {
    lastHeardNanos = turns.nanos();
    unresponsiveSources = 0;
  }

  /** Whether it has all up to there, so that what follows may be taken. */
  protected boolean hasAllUpTo(long previous) {
    return previous <= record.index();
  }

  /** A piece of a snapshot has come, or word that one will. */
  public void receivePiece(String from, Fields in) throws MalformedException {
    if (stopped || !from.equals(source)) {
      return;
    }
    sourceResponded();
    long index = in.number("of");
    int offset = in.count("offset");
    int total = in.count("total");
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
