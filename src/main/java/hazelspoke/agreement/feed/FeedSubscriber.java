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
  private static final int LONGEST_SNAPSHOT = 8 << 20;

  /** So many words of leaders wait to be true here. */
  private static final int MOST_TOLD = 16;

  /** What its owner gives it, and is told. */
  public interface Owner {
    /** Sends a packet to a voter, or drops it. */
    void send(String voter, byte[] packet);

    /** The record is known further than before. */
    void changed();

    /** A line for operators. */
    void event(String line);
  }

  private record Told(String by, long index, long askedAt, long heardAt) {}

  private final String self;
  private final Scheduler scheduler;
  private final Random random;
  private final FeedSettings pace;
  private final Supplier<List<String>> voters;
  private final Owner owner;
  private final Deque<Told> told = new ArrayDeque<>();
  private FleetRecord known = new FleetRecord();
  private String source;
  private long heardAt;
  private long followedAt;

  /** So many in a row were silent. */
  private int silences;

  /** Who said last how far the record was, or null. */
  private String leader;

  /** Whether the source has brought it on, or said that its turn will come, since it last asked. */
  private boolean served;

  private boolean asked;
  private OptionalLong currentAsOfNanos = OptionalLong.empty();
  private long of = -1;
  private byte[] snapshot = {};
  private int taken;
  private boolean stopped;

  /**
   * One that knows nothing and follows nobody yet.
   *
   * @param voters whose votes count, as far as is known
   */
  public FeedSubscriber(
      String self,
      Scheduler scheduler,
      Random random,
      FeedSettings pace,
      Supplier<List<String>> voters,
      Owner owner) {
    this.self = self;
    this.scheduler = scheduler;
    this.random = random;
    this.pace = pace;
    this.voters = voters;
    this.owner = owner;
  }

  /** Begins, and goes on by itself. */
  public void begin() {
    move(voters.get().contains(self) ? self : null);
    again();
  }

  public void stop() {
    stopped = true;
  }

  /** The record as it is known here; it changes as entries come. */
  public FleetRecord record() {
    return known;
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
  public void told(String by, long index, long askedAt) {
    leader = by;
    if (index <= known.index()) {
      current(askedAt);
      return;
    }
    if (told.size() == MOST_TOLD) {
      told.removeLast();
    }
    told.add(new Told(by, index, askedAt, scheduler.nanos()));
  }

  private void again() {
    scheduler.schedule((long) (pace.followNanos() * (0.9 + 0.2 * random.nextDouble())), this::tick);
  }

  private void tick() {
    if (stopped) {
      return;
    }
    long now = scheduler.nanos();
    boolean silent = heardAt - followedAt < 0;
    Told oldest = told.peek();
    if (source == null || silent || !voters.get().contains(source)) {
      // First to any, so that those of one that died spread; then to whom it has heard of late.
      move(silent && silences++ > 0 && !source.equals(leader) ? leader : null);
    } else if (oldest != null && !served && isBehind(now - oldest.heardAt)) {
      owner.event("behind source=" + source + " known=" + known.index() + " of=" + oldest.index);
      move(oldest.by.equals(source) ? null : oldest.by);
    } else {
      follow(!served);
    }
    again();
  }

  /** Whether what a leader said so long ago should have come by now. */
  protected boolean isBehind(long forNanos) {
    return forNanos > pace.followNanos();
  }

  /** Goes over to this voter, or to any other. */
  private void move(String to) {
    List<String> others = new ArrayList<>(voters.get());
    if (others.size() > 1) {
      others.remove(source);
    }
    source =
        to != null ? to : others.isEmpty() ? source : others.get(random.nextInt(others.size()));
    of = -1;
    follow(true);
  }

  private void follow(boolean anew) {
    if (source == null) {
      return;
    }
    followedAt = scheduler.nanos();
    // So that what is heard within this turn counts as later.
    heardAt = followedAt - 1;
    served = false;
    asked = false;
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("kind", FOLLOW);
    out.put("have", known.index());
    out.put("of", of);
    out.put("offset", taken);
    out.put("again", anew);
    owner.send(source, Cbor.write(out));
  }

  /** Entries have come. */
  public void entries(String from, Fields in) throws MalformedException {
    if (stopped || !from.equals(source)) {
      return;
    }
    heard();
    if (!follows(in.number("previous"))) {
      lost();
      return;
    }
    boolean news = false;
    for (Fields entry : in.list("entries")) {
      long index = entry.number("index");
      if (index > known.index()) {
        known.applyEntry(index, entry.bytes("entry"));
        news = true;
      }
    }
    if (news) {
      further();
    }
  }

  /** Something was lost on the way: asked for once, as more of what follows may come. */
  private void lost() {
    if (!asked) {
      follow(true);
      asked = true;
    }
  }

  private void heard() {
    heardAt = scheduler.nanos();
    silences = 0;
  }

  /** Whether it has all up to there, so that what follows may be taken. */
  protected boolean follows(long previous) {
    return previous <= known.index();
  }

  /** A piece of a snapshot has come, or word that one will. */
  public void piece(String from, Fields in) throws MalformedException {
    if (stopped || !from.equals(source)) {
      return;
    }
    heard();
    long index = in.number("of");
    int offset = in.nonNegativeInt("offset");
    int total = in.nonNegativeInt("total");
    byte[] bytes = in.bytes("bytes");
    if (bytes.length == 0) {
      served = true;
      return;
    }
    if (index <= known.index()) {
      return;
    }
    if (total > LONGEST_SNAPSHOT || offset < 0 || bytes.length > total - offset) {
      throw new MalformedException("a piece of " + bytes.length + " at " + offset + " of " + total);
    }
    if (of != index || snapshot.length != total) {
      of = index;
      snapshot = new byte[total];
      taken = 0;
    }
    if (offset != taken) {
      if (offset > taken) {
        lost();
      }
      return;
    }
    served = true;
    System.arraycopy(bytes, 0, snapshot, offset, bytes.length);
    taken += bytes.length;
    if (taken == total) {
      FleetRecord whole = FleetRecord.read(snapshot);
      of = -1;
      snapshot = new byte[0];
      taken = 0;
      if (whole.index() != index) {
        throw new MalformedException("a snapshot up to " + whole.index() + " came as " + index);
      }
      known = whole;
      further();
    }
  }

  private void current(long at) {
    if (currentAsOfNanos.isEmpty() || at - currentAsOfNanos.getAsLong() > 0) {
      currentAsOfNanos = OptionalLong.of(at);
    }
  }

  private void further() {
    served = true;
    while (!told.isEmpty() && told.peek().index <= known.index()) {
      current(told.remove().askedAt);
    }
    owner.changed();
  }
}
