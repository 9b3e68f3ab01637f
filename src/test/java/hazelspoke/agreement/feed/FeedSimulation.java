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
 * Five voters that apply one sequence of entries, each as late as drawn, and members that follow
 * them over ways that lose, double, delay and reorder. Voters end and come back, stand still, are
 * deposed and go on pushing, and start again from a snapshot; members end and begin anew. A leader
 * tells each member now and then how far the record is, as renewals do.
 */
final class FeedSimulation {
  private static final long MS = 1_000_000;
  private static final long SECOND = 1_000 * MS;
  private static final int VOTERS = 5;
  private static final long LENGTH = 30 * SECOND;
  private static final long PEACE = 12 * SECOND;

  /** Within which a member knows what a leader that it can follow has told it. */
  private static final long BOUND = 8 * SECOND;

  /** Few are kept and pieces are small, so that snapshots are needed and take long. */
  private static FeedSettings pace(int members) {
    return new FeedSettings(25 * MS, SECOND, 300, 600L * members, 14, 4_000);
  }

  /** Where a mutant lacks a guard. */
  static class Mutant {
    /** Whether a voter that was deposed pushes what was never agreed on. */
    boolean pushesWhatIsNotAgreedOn;

    Feed feed(Scheduler scheduler, FeedSettings pace, Supplier<FleetRecord> record) {
      return new Feed(scheduler, pace, record);
    }

    FeedSubscriber follower(
        String self,
        Scheduler scheduler,
        Random random,
        FeedSettings pace,
        Supplier<List<String>> voters,
        FeedSubscriber.Owner owner) {
      return new FeedSubscriber(self, scheduler, random, pace, voters, owner);
    }
  }

  /** What one seed came to. */
  record Outcome(String wrong, int entries, int pieces, int moves, long digest) {}

  private record Event(long at, long order, Runnable what) {}

  private static final class Wrong extends RuntimeException {
    private static final long serialVersionUID = 1;

    Wrong(String message) {
      super(message);
    }
  }

  private final Random random;
  private final Mutant mutant;
  private final FeedSettings pace;
  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final List<Voter> voters = new ArrayList<>();
  private final List<Member> members = new ArrayList<>();
  private final Map<String, Member> byName = new HashMap<>();

  /** All entries, and the record's bytes up to each. */
  private final List<byte[]> log = new ArrayList<>();

  private final List<Integer> sums = new ArrayList<>();
  private final FleetRecord truth = new FleetRecord();
  private final TreeMap<Long, Long> truthAt = new TreeMap<>();
  private long now;
  private long orders;
  private int pieces;
  private int moves;
  private long digest;

  private FeedSimulation(long seed, int count, Mutant mutant) {
    this.mutant = mutant;
    pace = pace(count);
    random = new Random(seed * 0x9E3779B97F4A7C15L + 7);
    for (int i = 0; i < VOTERS; i++) {
      voters.add(new Voter("v" + i));
    }
    for (int i = 0; i < count; i++) {
      Member member = new Member("m" + i);
      members.add(member);
      byName.put(member.name, member);
    }
    truthAt.put(0L, 0L);
  }

  static Outcome run(long seed, int members, Mutant mutant) {
    return new FeedSimulation(seed, members, mutant).run();
  }

  private Outcome run() {
    String wrong = null;
    try {
      sums.add(Arrays.hashCode(truth.bytes()));
      voters.forEach(Voter::start);
      for (Member member : members) {
        at(random.nextInt(1_000) * MS, member::start);
      }
      at(0, this::write);
      at(SECOND, this::fault);
      runUntil(LENGTH);
      voters.forEach(Voter::heal);
      runUntil(LENGTH + PEACE);
      for (Member member : members) {
        if (member.follower == null || member.follower.record().index() < log.size()) {
          throw new Wrong(member.name + " does not know all in the end");
        }
      }
    } catch (Wrong e) {
      wrong = e.getMessage();
    } catch (IllegalStateException | IndexOutOfBoundsException e) {
      wrong = "it threw " + e;
    }
    return new Outcome(wrong, log.size(), pieces, moves, digest);
  }

  private void at(long when, Runnable what) {
    queue.add(new Event(when, orders++, what));
  }

  private void runUntil(long end) {
    while (!queue.isEmpty() && queue.peek().at <= end) {
      Event event = queue.poll();
      now = event.at;
      event.what.run();
    }
    now = end;
  }

  /** An entry is agreed on, now and then many; each voter applies it when it comes to it. */
  private void write() {
    if (now < LENGTH) {
      at(
          now + (random.nextInt(12) == 0 ? random.nextInt(8) : random.nextInt(700)) * MS,
          this::write);
    } else if (now > LENGTH + PEACE / 2) {
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
    truth.applyEntry(index, entry);
    sums.add(Arrays.hashCode(truth.bytes()));
    truthAt.put(now, index);
    voters.forEach(Voter::soon);
  }

  private void fault() {
    if (now >= LENGTH) {
      return;
    }
    at(now + (100 + random.nextInt(900)) * MS, this::fault);
    Voter voter = voters.get(random.nextInt(VOTERS - 1));
    long until = now + (200 + random.nextInt(6_000)) * MS;
    switch (random.nextInt(7)) {
      case 0 -> voter.end(until);
      case 1 -> voter.stillUntil = until;
      case 2 -> voter.deposedUntil = now + (200 + random.nextInt(14_000)) * MS;
      case 3 -> voter.restart();
      case 4 -> {
        // All of a zone come back in one moment.
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

  /** A way on which anything may happen to a packet. */
  private void carry(byte[] packet, Consumer<byte[]> to) {
    boolean calm = now > LENGTH;
    int luck = calm ? 100 : random.nextInt(100);
    if (luck < 6) {
      return;
    }
    long delay = (200 + random.nextInt(3_000)) * 1_000L;
    at(now + delay, () -> to.accept(packet));
    if (luck < 12) {
      at(now + delay + random.nextInt(900) * MS, () -> to.accept(packet));
    }
  }

  private static Fields read(byte[] packet) {
    try {
      return Cbor.read(packet);
    } catch (MalformedException e) {
      throw new Wrong("a packet that is none: " + e.getMessage());
    }
  }

  /** A life of a process, whose turns end with it. */
  private final class Life implements Scheduler {
    private boolean over;

    @Override
    public long nanos() {
      return now;
    }

    @Override
    public void execute(Runnable what) {
      schedule(0, what);
    }

    @Override
    public void schedule(long nanos, Runnable what) {
      at(
          now + nanos,
          () -> {
            if (!over) {
              what.run();
            }
          });
    }
  }

  private final class Voter {
    private final String name;
    private Life life;
    private Feed feed;
    private FleetRecord record = new FleetRecord();
    private long stillUntil;
    private long deposedUntil;
    private boolean forked;
    private long windowFrom;
    private long windowBytes;

    Voter(String name) {
      this.name = name;
    }

    void start() {
      life = new Life();
      feed = mutant.feed(life, pace, () -> record);
      if (record.index() > 0) {
        feed.installed(record.index());
      }
      soon();
    }

    /** Its process ends and comes back with the record as it was, or as it was some time ago. */
    void end(long until) {
      if (life.over) {
        return;
      }
      life.over = true;
      at(
          until,
          () -> {
            back(random.nextBoolean() ? record.index() : record.index() / 2);
            start();
          });
    }

    /** Its engine starts anew from its snapshot, and applies again what comes after it. */
    void restart() {
      if (!life.over) {
        back(record.index() / 2);
        feed.installed(record.index());
        soon();
      }
    }

    private void back(long index) {
      record = new FleetRecord();
      for (int i = 0; i < index; i++) {
        record.applyEntry(i + 1, log.get(i));
      }
      forked = false;
    }

    void heal() {
      stillUntil = 0;
      deposedUntil = 0;
      if (life.over) {
        back(record.index());
        start();
      }
      if (forked) {
        life.over = true;
        back(record.index() - 1);
        start();
      }
      soon();
    }

    void soon() {
      life.schedule(random.nextInt(60) * MS, this::apply);
    }

    private void apply() {
      long late = Math.max(stillUntil, deposedUntil);
      if (late > now) {
        if (mutant.pushesWhatIsNotAgreedOn && deposedUntil > now && !forked) {
          forked = true;
          byte[] own =
              new Command.Numbered(name, 1, new Command.Note("k0", -1, "not agreed on")).bytes();
          long index = record.index() + 1;
          record.applyEntry(index, own);
          feed.applied(index, own);
        }
        life.schedule(late - now, this::apply);
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
      if (life.over || stillUntil > now) {
        return;
      }
      Member member = byName.get(from);
      try {
        feed.follow(from, read(packet), back -> send(member, member.lives, back));
      } catch (MalformedException e) {
        throw new Wrong("a call that is none: " + e.getMessage());
      }
    }

    /** The connection ends with the life at the other end. */
    private void send(Member to, int itsLife, byte[] packet) {
      paced(packet);
      carry(
          packet,
          p -> {
            if (to.lives == itsLife && to.follower != null) {
              to.received(name, p);
            }
          });
    }

    /** Of snapshots no more than the stated rate, with one burst and one piece over. */
    private void paced(byte[] packet) {
      Fields in = read(packet);
      try {
        if (in.text("kind").equals(Feed.PIECE) && in.bytes("bytes").length > 0) {
          pieces++;
          if (now - windowFrom > SECOND) {
            windowFrom = now;
            windowBytes = 0;
          }
          windowBytes += in.bytes("bytes").length;
          long most = pace.bytesASecond() + pace.bytesASecond() / 20 + 2L * pace.pieceBytes();
          if (windowBytes > most) {
            throw new Wrong(name + " sent " + windowBytes + " bytes of snapshots in a second");
          }
        }
      } catch (MalformedException e) {
        throw new Wrong("a packet that lacks something: " + e.getMessage());
      }
    }
  }

  private final class Member implements FeedSubscriber.Owner {
    private final String name;
    private int lives;
    private Life life;
    private FeedSubscriber follower;
    private long known;
    private long toldIndex;
    private long toldAt;

    Member(String name) {
      this.name = name;
    }

    void start() {
      if (follower != null) {
        return;
      }
      lives++;
      known = 0;
      toldIndex = 0;
      life = new Life();
      List<String> names = voters.stream().map(v -> v.name).toList();
      follower =
          mutant.follower(name, life, new Random(random.nextLong()), pace, () -> names, this);
      follower.begin();
      life.schedule(random.nextInt(2_500) * MS, this::renewed);
    }

    void end() {
      if (follower != null) {
        follower.stop();
        life.over = true;
        follower = null;
      }
    }

    /** The last voter is the leader, never fails, and says how far the record is. */
    private void renewed() {
      long askedAt = now;
      long index = log.size();
      life.schedule(
          (1 + random.nextInt(20)) * MS,
          () -> {
            follower.told("v" + (VOTERS - 1), index, askedAt);
            if (toldIndex <= known && index > known) {
              toldIndex = index;
              toldAt = now;
            }
          });
      life.schedule(2_250 * MS + random.nextInt(500) * MS, this::renewed);
      check();
    }

    void received(String from, byte[] packet) {
      Fields in = read(packet);
      try {
        if (in.text("kind").equals(Feed.ENTRIES)) {
          follower.entries(from, in);
        } else {
          follower.piece(from, in);
        }
      } catch (MalformedException e) {
        throw new Wrong(name + " was sent what is malformed: " + e.getMessage());
      }
    }

    @Override
    public void send(String voter, byte[] packet) {
      Voter to = voters.get(voter.charAt(1) - '0');
      int itsLife = lives;
      carry(
          packet,
          p -> {
            if (lives == itsLife && follower != null) {
              to.received(name, p);
            }
          });
    }

    @Override
    public void changed() {
      check();
    }

    /** What was agreed on at the same moment may have been so after it. */
    private long truthBefore(long at) {
      Map.Entry<Long, Long> before = truthAt.lowerEntry(at);
      return before == null ? 0 : before.getValue();
    }

    private void check() {
      FleetRecord record = follower.record();
      long index = record.index();
      if (index < known) {
        throw new Wrong(name + " went back from " + known + " to " + index);
      }
      if (index != known) {
        if (index > log.size() || Arrays.hashCode(record.bytes()) != sums.get((int) index)) {
          throw new Wrong(name + " has another record up to " + index);
        }
        digest = 31 * digest + index + now;
      }
      known = index;
      // Up to then, as it says, the record went no further than it knows.
      OptionalLong at = follower.currentAsOfNanos();
      if (at.isPresent() && truthBefore(at.getAsLong()) > index) {
        throw new Wrong(name + " says it had all at " + at + ", and has " + index);
      }
      if (toldIndex > known && now - toldAt > BOUND) {
        throw new Wrong(name + " was told of " + toldIndex + " long ago and has " + known);
      }
    }

    @Override
    public void event(String line) {
      moves++;
    }
  }
}
