package hazelspoke.agreement.feed;

import hazelspoke.agreement.engine.Scheduler;
import hazelspoke.agreement.record.Command;
import hazelspoke.agreement.record.FleetRecord;
import hazelspoke.agreement.wire.Cbor;
import hazelspoke.agreement.wire.Fields;
import hazelspoke.agreement.wire.MalformedException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Simulates five voters that apply one sequence of entries, each with random delays, and members
 * that subscribe to them over links that lose, duplicate, delay and reorder packets. Voters crash
 * and restart, stall, are deposed and keep sending, and restart from a snapshot; members crash and
 * restart. A leader regularly reports the index of the record to each member, as lease renewals do.
 */
final class FeedSimulation {
  private static final long MS = 1_000_000;
  private static final long SECOND = 1_000 * MS;
  private static final int VOTER_COUNT = 5;
  private static final long FAULTY_NANOS = 30 * SECOND;
  private static final long FAULT_FREE_NANOS = 12 * SECOND;

  /** How long a member may take to reach an index that a reachable leader has reported. */
  private static final long MAX_LAG_NANOS = 8 * SECOND;

  /** Keeps few entries and sends small pieces, so that snapshots are needed and take long. */
  private static FeedSettings settings(int members) {
    return new FeedSettings(25 * MS, SECOND, 300, 600L * members, 14, 4_000);
  }

  /** Creates the parts under test; a subclass removes one safeguard. */
  static class Mutant {
    /** Whether a deposed voter sends an entry that was never committed. */
    boolean sendsUncommittedEntries;

    Feed feed(Scheduler scheduler, FeedSettings settings, Supplier<FleetRecord> record) {
      return new Feed(scheduler, settings, record);
    }

    FeedSubscriber subscriber(
        String self,
        Scheduler scheduler,
        Random random,
        FeedSettings settings,
        Supplier<List<String>> voters,
        FeedSubscriber.Owner owner) {
      return new FeedSubscriber(self, scheduler, random, settings, voters, owner);
    }
  }

  /** The result of one seed; {@code violation} is null if every check passed. */
  record Outcome(String violation, int entries, int snapshotPieces, int switches, long digest) {}

  private record Event(long time, long order, Runnable action) {}

  private static final class Violation extends RuntimeException {
    private static final long serialVersionUID = 1;

    Violation(String message) {
      super(message);
    }
  }

  private final Random random;
  private final Mutant mutant;
  private final FeedSettings settings;
  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(
          (a, b) ->
              a.time != b.time ? Long.compare(a.time, b.time) : Long.compare(a.order, b.order));
  private final List<Voter> voters = new ArrayList<>();
  private final List<Member> members = new ArrayList<>();
  private final Map<String, Member> byName = new HashMap<>();

  /** All committed entries. */
  private final List<byte[]> log = new ArrayList<>();

  /** The hash of the encoded record after each number of entries. */
  private final List<Integer> expectedHashes = new ArrayList<>();

  private final FleetRecord expectedRecord = new FleetRecord();
  private final TreeMap<Long, Long> committedIndexAt = new TreeMap<>();
  private long now;
  private long eventCount;
  private int snapshotPieces;
  private int switches;
  private long digest;

  private FeedSimulation(long seed, int memberCount, Mutant mutant) {
    this.mutant = mutant;
    settings = settings(memberCount);
    random = new Random(seed * 0x9E3779B97F4A7C15L + 7);
    for (int i = 0; i < VOTER_COUNT; i++) {
      voters.add(new Voter("v" + i));
    }
    for (int i = 0; i < memberCount; i++) {
      Member member = new Member("m" + i);
      members.add(member);
      byName.put(member.name, member);
    }
    committedIndexAt.put(0L, 0L);
  }

  static Outcome run(long seed, int members, Mutant mutant) {
    return new FeedSimulation(seed, members, mutant).run();
  }

  private Outcome run() {
    String violation = null;
    try {
      expectedHashes.add(Arrays.hashCode(expectedRecord.bytes()));
      voters.forEach(Voter::start);
      for (Member member : members) {
        at(random.nextInt(1_000) * MS, member::start);
      }
      at(0, this::write);
      at(SECOND, this::fault);
      runUntil(FAULTY_NANOS);
      voters.forEach(Voter::heal);
      runUntil(FAULTY_NANOS + FAULT_FREE_NANOS);
      for (Member member : members) {
        if (member.subscriber == null || member.subscriber.record().index() < log.size()) {
          throw new Violation(member.name + " lacks entries at the end");
        }
      }
    } catch (Violation e) {
      violation = e.getMessage();
    } catch (IllegalStateException | IndexOutOfBoundsException e) {
      violation = "exception: " + e;
    }
    return new Outcome(violation, log.size(), snapshotPieces, switches, digest);
  }

  private void at(long time, Runnable action) {
    queue.add(new Event(time, eventCount++, action));
  }

  private void runUntil(long end) {
    while (!queue.isEmpty() && queue.peek().time <= end) {
      Event event = queue.poll();
      now = event.time;
      event.action.run();
    }
    now = end;
  }

  /** Commits an entry, sometimes several in a burst; each voter applies it after its own delay. */
  private void write() {
    if (now < FAULTY_NANOS) {
      at(
          now + (random.nextInt(12) == 0 ? random.nextInt(8) : random.nextInt(700)) * MS,
          this::write);
    } else if (now > FAULTY_NANOS + FAULT_FREE_NANOS / 2) {
      return;
    } else {
      at(now + SECOND, this::write);
    }
    long index = log.size() + 1;
    byte[] entry =
        random.nextInt(20) == 0
            ? new byte[0]
            : new Command.Numbered(
                    "o" + random.nextInt(5),
                    index,
                    new Command.Note(
                        "k" + random.nextInt(6), -1, "v".repeat(random.nextInt(90)) + index))
                .bytes();
    log.add(entry);
    expectedRecord.applyEntry(index, entry);
    expectedHashes.add(Arrays.hashCode(expectedRecord.bytes()));
    committedIndexAt.put(now, index);
    voters.forEach(Voter::scheduleApply);
  }

  private void fault() {
    if (now >= FAULTY_NANOS) {
      return;
    }
    at(now + (100 + random.nextInt(900)) * MS, this::fault);
    Voter voter = voters.get(random.nextInt(VOTER_COUNT - 1));
    long until = now + (200 + random.nextInt(6_000)) * MS;
    switch (random.nextInt(7)) {
      case 0 -> voter.end(until);
      case 1 -> voter.pausedUntil = until;
      case 2 -> voter.deposedUntil = now + (200 + random.nextInt(14_000)) * MS;
      case 3 -> voter.restart();
      case 4 -> {
        // All members of a zone restart at nearly the same time.
        for (Member member : members) {
          member.end();
          at(now + (100 + random.nextInt(100)) * MS, member::start);
        }
      }
      default -> {
        Member member = members.get(random.nextInt(members.size()));
        member.end();
        at(now + random.nextInt(2_000) * MS, member::start);
      }
    }
  }

  /** A link that may lose, duplicate, delay or reorder a packet. */
  private void transmit(byte[] packet, Consumer<byte[]> to) {
    boolean isFaultFree = now > FAULTY_NANOS;
    int percent = isFaultFree ? 100 : random.nextInt(100);
    if (percent < 6) {
      return;
    }
    long delay = (200 + random.nextInt(3_000)) * 1_000L;
    at(now + delay, () -> to.accept(packet));
    if (percent < 12) {
      at(now + delay + random.nextInt(900) * MS, () -> to.accept(packet));
    }
  }

  private static Fields read(byte[] packet) {
    try {
      return Cbor.read(packet);
    } catch (MalformedException e) {
      throw new Violation("malformed packet: " + e.getMessage());
    }
  }

  /** One run of a process; its scheduled tasks are dropped when it ends. */
  private final class ProcessLife implements Scheduler {
    private boolean ended;

    @Override
    public long nanos() {
      return now;
    }

    @Override
    public void execute(Runnable action) {
      schedule(0, action);
    }

    @Override
    public void schedule(long nanos, Runnable action) {
      at(
          now + nanos,
          () -> {
            if (!ended) {
              action.run();
            }
          });
    }
  }

  private final class Voter {
    private final String name;
    private ProcessLife life;
    private Feed feed;
    private FleetRecord record = new FleetRecord();
    private long pausedUntil;
    private long deposedUntil;
    private boolean forked;
    private long windowFrom;
    private long windowBytes;

    Voter(String name) {
      this.name = name;
    }

    void start() {
      life = new ProcessLife();
      feed = mutant.feed(life, settings, () -> record);
      if (record.index() > 0) {
        feed.installed(record.index());
      }
      scheduleApply();
    }

    /** Crashes the process; it restarts with its newest record or with an older one. */
    void end(long until) {
      if (life.ended) {
        return;
      }
      life.ended = true;
      at(
          until,
          () -> {
            restoreTo(random.nextBoolean() ? record.index() : record.index() / 2);
            start();
          });
    }

    /** Restarts the engine from a snapshot; it applies the entries after that again. */
    void restart() {
      if (!life.ended) {
        restoreTo(record.index() / 2);
        feed.installed(record.index());
        scheduleApply();
      }
    }

    private void restoreTo(long index) {
      record = new FleetRecord();
      for (int i = 0; i < index; i++) {
        record.applyEntry(i + 1, log.get(i));
      }
      forked = false;
    }

    void heal() {
      pausedUntil = 0;
      deposedUntil = 0;
      if (life.ended) {
        restoreTo(record.index());
        start();
      }
      if (forked) {
        life.ended = true;
        restoreTo(record.index() - 1);
        start();
      }
      scheduleApply();
    }

    void scheduleApply() {
      life.schedule(random.nextInt(60) * MS, this::apply);
    }

    private void apply() {
      long resumesAt = Math.max(pausedUntil, deposedUntil);
      if (resumesAt > now) {
        if (mutant.sendsUncommittedEntries && deposedUntil > now && !forked) {
          forked = true;
          byte[] uncommitted =
              new Command.Numbered(name, 1, new Command.Note("k0", -1, "not agreed on")).bytes();
          long index = record.index() + 1;
          record.applyEntry(index, uncommitted);
          feed.applied(index, uncommitted);
        }
        life.schedule(resumesAt - now, this::apply);
        return;
      }
      while (record.index() < log.size()) {
        long index = record.index() + 1;
        byte[] entry = log.get((int) index - 1);
        record.applyEntry(index, entry);
        feed.applied(index, entry);
      }
    }

    void received(String from, byte[] packet) {
      if (life.ended || pausedUntil > now) {
        return;
      }
      Member member = byName.get(from);
      try {
        feed.follow(from, read(packet), reply -> send(member, member.lifeCount, reply));
      } catch (MalformedException e) {
        throw new Violation("malformed subscription: " + e.getMessage());
      }
    }

    /** Sends to the member's current run; packets to an earlier run are dropped. */
    private void send(Member to, int memberLife, byte[] packet) {
      checkSnapshotRate(packet);
      transmit(
          packet,
          p -> {
            if (to.lifeCount == memberLife && to.subscriber != null) {
              to.received(name, p);
            }
          });
    }

    /** Checks the rate of snapshot bytes; one burst and one piece may exceed it. */
    private void checkSnapshotRate(byte[] packet) {
      Fields in = read(packet);
      try {
        if (in.text("kind").equals(Feed.PIECE) && in.bytes("bytes").length > 0) {
          snapshotPieces++;
          if (now - windowFrom > SECOND) {
            windowFrom = now;
            windowBytes = 0;
          }
          windowBytes += in.bytes("bytes").length;
          long maxBytes =
              settings.snapshotBytesPerSecond()
                  + settings.snapshotBytesPerSecond() / 20
                  + 2L * settings.pieceBytes();
          if (windowBytes > maxBytes) {
            throw new Violation(name + " sent " + windowBytes + " snapshot bytes in a second");
          }
        }
      } catch (MalformedException e) {
        throw new Violation("incomplete packet: " + e.getMessage());
      }
    }
  }

  private final class Member implements FeedSubscriber.Owner {
    private final String name;
    private int lifeCount;
    private ProcessLife life;
    private FeedSubscriber subscriber;
    private long lastIndex;
    private long reportedIndex;
    private long reportedAt;

    Member(String name) {
      this.name = name;
    }

    void start() {
      if (subscriber != null) {
        return;
      }
      lifeCount++;
      lastIndex = 0;
      reportedIndex = 0;
      life = new ProcessLife();
      List<String> names = voters.stream().map(v -> v.name).toList();
      subscriber =
          mutant.subscriber(name, life, new Random(random.nextLong()), settings, () -> names, this);
      subscriber.start();
      life.schedule(random.nextInt(2_500) * MS, this::renewed);
    }

    void end() {
      if (subscriber != null) {
        subscriber.stop();
        life.ended = true;
        subscriber = null;
      }
    }

    /** The last voter is the leader and never fails; it reports the index of the record. */
    private void renewed() {
      long askedAt = now;
      long index = log.size();
      life.schedule(
          (1 + random.nextInt(20)) * MS,
          () -> {
            subscriber.leaderReported("v" + (VOTER_COUNT - 1), index, askedAt);
            if (reportedIndex <= lastIndex && index > lastIndex) {
              reportedIndex = index;
              reportedAt = now;
            }
          });
      life.schedule(2_250 * MS + random.nextInt(500) * MS, this::renewed);
      check();
    }

    void received(String from, byte[] packet) {
      Fields in = read(packet);
      try {
        if (in.text("kind").equals(Feed.ENTRIES)) {
          subscriber.receiveEntries(from, in);
        } else {
          subscriber.receivePiece(from, in);
        }
      } catch (MalformedException e) {
        throw new Violation(name + " received a malformed packet: " + e.getMessage());
      }
    }

    @Override
    public void send(String voter, byte[] packet) {
      Voter to = voters.get(voter.charAt(1) - '0');
      int memberLife = lifeCount;
      transmit(
          packet,
          p -> {
            if (lifeCount == memberLife && subscriber != null) {
              to.received(name, p);
            }
          });
    }

    @Override
    public void changed() {
      check();
    }

    /** Entries that were committed at the same time may have been committed after it. */
    private long committedIndexBefore(long at) {
      Map.Entry<Long, Long> before = committedIndexAt.lowerEntry(at);
      return before == null ? 0 : before.getValue();
    }

    private void check() {
      FleetRecord record = subscriber.record();
      long index = record.index();
      if (index < lastIndex) {
        throw new Violation(name + " went back from " + lastIndex + " to " + index);
      }
      if (index != lastIndex) {
        if (index > log.size()
            || Arrays.hashCode(record.bytes()) != expectedHashes.get((int) index)) {
          throw new Violation(name + " has a different record at index " + index);
        }
        digest = 31 * digest + index + now;
      }
      lastIndex = index;
      // The record must have had no higher index at the time as of which the member claims to be
      // complete.
      OptionalLong at = subscriber.currentAsOfNanos();
      if (at.isPresent() && committedIndexBefore(at.getAsLong()) > index) {
        throw new Violation(
            name + " claims to be complete as of " + at + " but has index " + index);
      }
      if (reportedIndex > lastIndex && now - reportedAt > MAX_LAG_NANOS) {
        throw new Violation(
            name
                + " was informed of index "
                + reportedIndex
                + " too long ago and has "
                + lastIndex);
      }
    }

    @Override
    public void event(String line) {
      switches++;
    }
  }
}
