package hazelspoke.agreement.member;

import hazelspoke.agreement.engine.Scheduler;
import hazelspoke.agreement.feed.Feed;
import hazelspoke.agreement.feed.FeedSettings;
import hazelspoke.agreement.record.Command;
import hazelspoke.agreement.record.CommandResult;
import hazelspoke.agreement.record.FleetRecord;
import hazelspoke.agreement.record.Session;
import hazelspoke.agreement.record.Session.Status;
import hazelspoke.agreement.store.Disk;
import hazelspoke.agreement.store.RecordStore;
import hazelspoke.agreement.store.SimDisk;
import hazelspoke.agreement.store.StoreDamagedException;
import hazelspoke.agreement.wire.MalformedException;
import hazelspoke.emulator.judge.Linearizability;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.zip.CRC32C;

/**
 * A whole fleet in virtual time: real members with the real engine and store, over a network,
 * clocks and disks that fail as drawn from a seed. What must hold is looked at after each step; at
 * the end the faults cease, and all has to be well again.
 */
final class FleetSimulation {
  private static final long MS = 1_000_000;
  private static final long SECOND = 1_000 * MS;
  static final long TERM = 3 * SECOND;
  static final double DRIFT = 0.05;
  private static final long FAULTS_FOR = 25 * SECOND;
  private static final long HEALED_FOR = 30 * SECOND;
  private static final int KEYS = 2;
  private static final int MOST_CALLS = 90;
  private static final int LEAST_VOTERS = 3;
  private static final int MOST_VOTERS = 5;

  // The engine says much; held here, as loggers that nobody holds forget their levels.
  private static final Logger ENGINE = Logger.getLogger("io.microraft");

  static {
    ENGINE.setLevel(Level.parse(System.getProperty("fleet.engine.log", "OFF")));
  }

  /** Where a mutant lacks a guard. */
  static class Mutant {
    /** By this the members allow for clocks. */
    double drift = DRIFT;

    /** Whether a disk that was lost leaves the folder's name behind. */
    boolean lostDiskKeepsItsName;

    /** Whether a client that asks again numbers its command anew. */
    boolean numbersAnew;

    UnaryOperator<Disk> disk = disk -> disk;
    SmallFeeds parts = new SmallFeeds();
  }

  /** Few entries are kept and pieces are small, so that snapshots are needed by who follows. */
  static class SmallFeeds extends Components {
    /** The indexes at which the record was told of an entry, which a change of voters is not. */
    private final TreeSet<Long> entries = new TreeSet<>();

    @Override
    Feed feed(Scheduler scheduler, FeedSettings pace, Supplier<FleetRecord> record) {
      return new Feed(scheduler, pace, record) {
        @Override
        public void applied(long index, byte[] entry) {
          super.applied(index, entry);
          entries.add(index);
        }
      };
    }

    @Override
    FeedSettings pace(MemberSettings settings) {
      return new FeedSettings(25 * MS, SECOND, 1_000, 200_000, 20, 8_000);
    }
  }

  /** What one seed came to. */
  record Outcome(
      long seed,
      String wrong,
      int entries,
      int leaders,
      int calls,
      int changes,
      int events,
      long digest) {}

  private record Event(long at, long order, Process of, int life, Runnable what) {}

  /** Something is wrong; the message says what. */
  private static final class Wrong extends RuntimeException {
    private static final long serialVersionUID = 1;

    Wrong(String message) {
      super(message);
    }
  }

  private final long seed;
  private final Random random;
  private final Mutant mutant;
  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final List<Process> processes = new ArrayList<>();
  private final Map<String, Process> byName = new HashMap<>();
  private final Map<Long, Long> sums = new HashMap<>();
  private final TreeMap<Long, Long> truthAt = new TreeMap<>();
  private Wrong found;
  private final Map<String, List<Linearizability.Call>> histories = new TreeMap<>();
  private final CRC32C digest = new CRC32C();
  private FleetRecord truth = new FleetRecord();
  private long now;
  private long orders;
  private int events;
  private int leaders;
  private int writes;
  private int lostDisks;
  private int changes;
  private boolean healed;
  private final int voters;
  private final StringBuilder log = new StringBuilder();

  FleetSimulation(long seed, int members, int voters, Mutant mutant) {
    this.seed = seed;
    this.voters = voters;
    this.mutant = mutant;
    random = new Random(seed * 0x9E3779B97F4A7C15L + 1);
    for (int i = 0; i < members; i++) {
      Process process = new Process("g" + (i + 1), i < voters);
      processes.add(process);
      byName.put(process.name, process);
    }
  }

  static Outcome run(long seed, int members, int voters, Mutant mutant) {
    return new FleetSimulation(seed, members, voters, mutant).run();
  }

  /** The first lines of what happened, for a person who replays a seed. */
  String log() {
    return log.toString();
  }

  Outcome run() {
    String wrong = null;
    try {
      for (Process process : processes) {
        at(random.nextInt(500) * MS, null, process::start);
      }
      for (int client = 0; client < 3; client++) {
        at(SECOND + random.nextInt(1_000) * MS, null, this::client);
      }
      at(2 * SECOND, null, this::fault);
      at(FAULTS_FOR, null, this::heal);
      runUntil(FAULTS_FOR + HEALED_FOR);
      atTheEnd();
    } catch (Wrong e) {
      wrong = e.getMessage();
    }
    digest.update(Long.toString(truth.index()).getBytes());
    return new Outcome(
        seed, wrong, (int) truth.index(), leaders, writes, changes, events, digest.getValue());
  }

  private void at(long when, Process of, Runnable what) {
    queue.add(new Event(when, orders++, of, of == null ? 0 : of.life, what));
  }

  private void runUntil(long end) {
    while (!queue.isEmpty() && queue.peek().at <= end) {
      Event event = queue.poll();
      now = event.at;
      Process of = event.of;
      if (of != null && (of.life != event.life || of.member == null && !of.starting)) {
        continue;
      }
      if (of != null && of.pausedUntil > now) {
        queue.add(new Event(of.pausedUntil, orders++, of, event.life, event.what));
        continue;
      }
      events++;
      try {
        event.what.run();
      } catch (SimDisk.PowerFailure e) {
        // Its process is over; the engine catches what it throws, and we do not.
      } catch (AssertionError | IllegalStateException | NullPointerException e) {
        throw new Wrong((of == null ? "a client" : of.name) + " threw " + e);
      }
      if (of != null && of.powerLost) {
        of.crash();
      }
      check();
    }
    now = end;
  }

  /** Whoever holds by its own clock is there, by the newest of what was agreed. */
  private void check() {
    if (found != null) {
      throw found;
    }
    for (Process process : processes) {
      if (process.member != null && process.member.hasValidLease()) {
        Session session = truth.session(process.name);
        if (session == null
            || session.incarnation() != process.member.incarnation()
            || session.status() != Status.THERE) {
          throw new Wrong(process.name + " holds at " + now + " and the record says " + session);
        }
      }
    }
  }

  private void applied(Process process) {
    FleetRecord record = process.member == null ? null : process.member.appliedRecord();
    if (record == null) {
      return;
    }
    long sum = Arrays.hashCode(record.bytes());
    Long before = sums.putIfAbsent(record.index(), sum);
    if (before != null && before != sum) {
      throw new Wrong(process.name + " has another record up to " + record.index());
    }
    if (record.index() > truth.index()) {
      try {
        truth = FleetRecord.read(record.bytes());
      } catch (MalformedException e) {
        throw new Wrong("not readable: " + e.getMessage());
      }
      for (Session session : truth.sessions()) {
        Process of = byName.get(session.member());
        if (session.status() == Status.REFUSED
            && of.member != null
            && of.member.incarnation() == session.incarnation()) {
          throw new Wrong(session + " counts as over, and runs");
        }
      }
      digest.update(Long.toString(sum + now).getBytes());
      truthAt.put(now, truth.index());
    }
  }

  private boolean lacks(long known, long all) {
    Long next = mutant.parts.entries.higher(known);
    return next != null && next <= all;
  }

  private void atTheEnd() {
    for (Process process : processes) {
      if (process.member == null) {
        throw new Wrong(process.name + " is down at the end");
      }
      if (!process.member.hasValidLease()) {
        throw new Wrong(process.name + " does not hold at the end: " + process.lastEvent);
      }
      long all = truthAt.floorEntry(now - 3 * SECOND).getValue();
      if (lacks(process.member.view().record().index(), all)) {
        throw new Wrong(
            process.name + " knows " + process.member.view().record().index() + " of " + all);
      }
    }
    for (Map.Entry<String, List<Linearizability.Call>> history : histories.entrySet()) {
      String wrong = Linearizability.check(history.getValue());
      if (wrong != null) {
        throw new Wrong(history.getKey() + ": " + wrong);
      }
      if (history.getValue().size() < MOST_CALLS
          && history.getValue().stream().noneMatch(c -> c.from() > FAULTS_FOR && c.to() < now)) {
        throw new Wrong(history.getKey() + " was not answered after all was healed");
      }
    }
  }

  // Clients: one call at a time each, at a member by chance, and now and then again at another.

  private void client() {
    long again = now + (20 + random.nextInt(400)) * MS;
    List<Process> up = processes.stream().filter(p -> p.member != null).toList();
    if (now > FAULTS_FOR + HEALED_FOR - 12 * SECOND) {
      return;
    }
    if (up.isEmpty()) {
      at(again, null, this::client);
      return;
    }
    Process process = up.get(random.nextInt(up.size()));
    String key = "k" + random.nextInt(KEYS);
    List<Linearizability.Call> history = histories.computeIfAbsent(key, k -> new ArrayList<>());
    long from = now;
    long patience = 4 * SECOND;
    if (history.size() >= MOST_CALLS) {
      at(again, null, this::client);
    } else if (random.nextBoolean()) {
      process
          .member
          .read(patience)
          .whenComplete(
              (record, failure) -> {
                if (failure == null) {
                  FleetRecord.NoteValue note = record.note(key);
                  history.add(
                      note == null
                          ? Linearizability.Call.read(from, now + 1, 0, null)
                          : Linearizability.Call.read(from, now + 1, note.version(), note.value()));
                }
                at(now + random.nextInt(300) * MS, null, this::client);
              });
    } else {
      write(key, history, process, patience);
    }
  }

  private void write(
      String key, List<Linearizability.Call> history, Process process, long patience) {
    long from = now;
    String value = "v" + ++writes;
    FleetRecord.NoteValue seen = truth.note(key);
    long expected = random.nextInt(3) > 0 ? -1 : seen == null ? 0 : seen.version();
    Command.Note note = new Command.Note(key, expected, value);
    String origin = "client/" + writes;
    boolean[] done = {false};
    BiConsumer<CommandResult, Throwable> end =
        (answer, failure) -> {
          if (!done[0] && failure == null) {
            done[0] = true;
            history.add(
                Linearizability.Call.write(
                    from, now + 1, expected, value, answer.succeeded(), answer.number()));
            at(now + random.nextInt(200) * MS, null, this::client);
          }
        };
    process.member.submit(new Command.Numbered(origin, 1, note), patience).whenComplete(end);
    if (random.nextInt(3) == 0) {
      // Somebody who has lost patience gives the same command to another member.
      at(
          now + random.nextInt(1_500) * MS,
          null,
          () -> {
            Process other = processes.get(random.nextInt(processes.size()));
            if (other.member != null) {
              String name = mutant.numbersAnew ? origin + "/again" : origin;
              other.member.submit(new Command.Numbered(name, 1, note), patience).whenComplete(end);
            }
          });
    }
    at(
        now + patience + 2 * SECOND,
        null,
        () -> {
          if (!done[0]) {
            done[0] = true;
            history.add(Linearizability.Call.lost(from, expected, value));
            client();
          }
        });
  }

  // Faults.

  private void fault() {
    if (healed) {
      return;
    }
    at(now + (100 + random.nextInt(1_400)) * MS, null, this::fault);
    Process a = processes.get(random.nextInt(processes.size()));
    Process b = processes.get(random.nextInt(processes.size()));
    long until = now + (50 + random.nextInt(4_000)) * MS;
    switch (random.nextInt(17)) {
      case 0, 1 -> {
        boolean leaves = random.nextInt(3) == 0 && a.member != null && a.pausedUntil <= now;
        say((leaves ? "leave " : "kill ") + a.name);
        if (leaves) {
          int its = a.life;
          a.member.leave(SECOND);
          at(now + 200 * MS, null, () -> a.crashIf(its));
          a.restartAt(now + SECOND + random.nextInt(5_000) * MS);
          return;
        }
        a.crash();
        a.restartAt(now + random.nextInt(5_000) * MS);
      }
      case 2 -> {
        say("pause " + a.name + " until " + until / MS);
        a.pausedUntil = until;
      }
      case 3 -> link(a, b, l -> l.cutUntil = until, "cut", until);
      case 4 -> {
        link(a, b, l -> l.cutUntil = until, "cut", until);
        link(b, a, l -> l.cutUntil = until, "cut", until);
      }
      case 5 -> link(a, b, l -> l.slowUntil = until, "slow", until);
      case 6 -> link(a, b, l -> l.lossyUntil = until, "lossy", until);
      case 7 -> {
        isolate(a, until);
      }
      case 8 -> {
        say("power fails soon at " + a.name);
        a.disk.powerFailsIn = random.nextInt(40);
      }
      case 9 -> {
        say("disk fails soon at " + a.name);
        a.disk.failsIn = random.nextInt(40);
        Process failing = a;
        at(
            now + 4 * SECOND,
            null,
            () -> {
              failing.disk.failsIn = -1;
              failing.crash();
              failing.restartAt(now + 10 * MS);
            });
      }
      case 10 -> leader(until);
      case 11, 12 -> nearlyATerm(a);
      case 13 -> doubtfulDisk(a, until);
      case 14, 15 -> changeVoters(a);
      default -> loseDisk(a);
    }
  }

  /** Aimed: whoever leads stands still past an election and wakes up while it still believes. */
  private void leader(long until) {
    Process leader = leads();
    if (leader != null) {
      say("pause leader " + leader.name + " until " + until / MS);
      leader.pausedUntil = until;
    }
  }

  private Process leads() {
    return processes.stream()
        .filter(p -> p.member != null && p.member.isLeader())
        .findFirst()
        .orElse(null);
  }

  private void isolate(Process process, long until) {
    say("isolate " + process.name + " until " + until / MS);
    for (Process other : processes) {
      process.link(other).cutUntil = until;
      other.link(process).cutUntil = until;
    }
  }

  /** Aimed: cut off until about its term ends, while the leader is slow to hear of the others. */
  private void nearlyATerm(Process process) {
    Process leader = leads();
    if (leader != null && leader != process) {
      long until = now + (long) (TERM * (0.85 + 0.4 * random.nextDouble()));
      isolate(process, until);
      for (Process other : processes) {
        leader.link(other).slowUntil = random.nextBoolean() ? until : 0;
      }
    }
  }

  /** Aimed: whoever else could know what a voter's failing disk does not is cut off or stopped. */
  private void doubtfulDisk(Process process, long until) {
    Process leader = leads();
    if (leader == null || leader == process || !process.isVoter()) {
      return;
    }
    say("doubtful disk at " + process.name);
    process.disk.failsIn = random.nextInt(3);
    long crash = now + 1_500 * MS;
    for (Process other : processes) {
      if (other != leader && other != process) {
        leader.link(other).cutUntil = crash;
      }
    }
    at(
        crash,
        null,
        () -> {
          process.disk.failsIn = -1;
          process.crash();
          process.restartAt(now + 10 * MS);
          leader.pausedUntil = Math.max(until, now + 3 * SECOND);
        });
  }

  private void loseDisk(Process process) {
    // One at a time, and once it is a voter again: a fleet that loses a majority's disks has lost
    // the record.
    if (lostDisks > 0 || random.nextBoolean()) {
      return;
    }
    say("lose disk " + process.name);
    lostDisks++;
    process.crash();
    SimDisk empty = new SimDisk(random.nextLong());
    if (mutant.lostDiskKeepsItsName) {
      process.disk.copyTo(empty, "member");
      try {
        RecordStore.open(empty).close();
      } catch (IOException | StoreDamagedException e) {
        throw new IllegalStateException(e);
      }
    }
    process.disk = empty;
    process.restartAt(now + random.nextInt(3_000) * MS);
    at(now + 4 * SECOND, null, () -> replace(process));
  }

  /** An operator vouches for the end of the one before, and makes the new one a voter if it was. */
  private void replace(Process process) {
    List<Process> up = processes.stream().filter(p -> p.member != null).toList();
    boolean back = process.member != null && process.member.hasJoined();
    Runnable again = () -> at(now + SECOND, null, () -> replace(process));
    if (up.isEmpty()) {
      again.run();
      return;
    }
    Member at = up.get(random.nextInt(up.size())).member;
    if (!back) {
      at.submit(new Command.Vouch(process.name)).whenComplete((answer, failure) -> again.run());
    } else if (!process.isVoter()) {
      lostDisks--;
    } else {
      at.changeVoter(true, process.name, 3 * SECOND)
          .whenComplete(
              (answer, failure) -> {
                if (failure != null || !answer.succeeded()) {
                  again.run();
                } else {
                  say("voter again " + process.name);
                  lostDisks--;
                }
              });
    }
  }

  /** An operator makes one more a voter, or ends a vote. */
  private void changeVoters(Process process) {
    List<Process> up = processes.stream().filter(p -> p.member != null).toList();
    long votes = processes.stream().filter(Process::isVoter).count();
    boolean add = !process.votes;
    if (up.isEmpty() || lostDisks > 0 || (add ? votes >= MOST_VOTERS : votes <= LEAST_VOTERS)) {
      return;
    }
    say((add ? "add voter " : "remove voter ") + process.name);
    // Unless it is known to have none, it may have a vote.
    process.votes = true;
    up.get(random.nextInt(up.size()))
        .member
        .changeVoter(add, process.name, 8 * SECOND)
        .whenComplete(
            (answer, failure) -> {
              if (failure == null && answer.succeeded()) {
                say((add ? "added voter " : "removed voter ") + process.name);
                process.votes = add;
                changes++;
              }
            });
  }

  private void link(Process a, Process b, Consumer<Link> what, String name, long until) {
    if (a != b) {
      say(name + " " + a.name + " to " + b.name + " until " + until / MS);
      what.accept(a.link(b));
    }
  }

  private void heal() {
    say("heal");
    healed = true;
    for (Process process : processes) {
      process.pausedUntil = 0;
      process.disk.powerFailsIn = -1;
      process.links.clear();
      if (process.disk.failsIn >= 0 || process.diskFailed) {
        process.disk.failsIn = -1;
        process.crash();
      }
      if (process.member == null) {
        process.restartAt(now + 1);
      }
    }
  }

  private void say(String what) {
    if (log.length() < 100_000) {
      log.append(now / MS).append(" ms ").append(what).append('\n');
    }
    digest.update(what.getBytes());
  }

  private static final class Link {
    long cutUntil;
    long slowUntil;
    long lossyUntil;
    long lastArrival;
  }

  /** A life of a process after the other, with a clock of its own. */
  private final class Process implements Scheduler {
    final String name;
    final Map<Process, Link> links = new HashMap<>();
    final double rate;
    final long offset;
    SimDisk disk;
    Member member;
    boolean starting;
    boolean powerLost;
    boolean diskFailed;
    int life;
    long pausedUntil;
    long startIndex;
    long followed;
    boolean joined;
    boolean votes;
    String lastEvent = "";

    Process(String name, boolean votes) {
      this.name = name;
      this.votes = votes;
      rate = 1 + (random.nextInt(3) - 1) * DRIFT;
      offset = random.nextLong() >> 8;
      disk = new SimDisk(random.nextLong());
    }

    boolean isVoter() {
      return votes;
    }

    Link link(Process to) {
      return links.computeIfAbsent(to, t -> new Link());
    }

    void start() {
      if (member != null) {
        return;
      }
      life++;
      starting = true;
      powerLost = false;
      diskFailed = false;
      joined = false;
      startIndex = truth.index();
      followed = 0;
      List<String> names = processes.stream().map(p -> p.name).toList();
      MemberSettings settings =
          new MemberSettings(
              "fleet",
              name,
              name,
              names,
              names.subList(0, voters),
              TERM,
              mutant.drift,
              250 * MS,
              25,
              true);
      int its = life;
      try {
        member =
            new Member(
                settings,
                mutant.disk.apply(new Guarded(this, disk)),
                this,
                new Random(random.nextLong()),
                new Transport() {
                  @Override
                  public void send(String to, byte[] packet) {
                    Process.this.send(its, byName.get(to), packet);
                  }

                  @Override
                  public void probe(String to, Runnable refused) {
                    Process.this.probe(its, byName.get(to), refused);
                  }
                },
                new Member.Listener() {
                  @Override
                  public void event(String line) {
                    heard(its, line);
                  }

                  @Override
                  public void changed() {
                    changedAt(its);
                  }
                },
                mutant.parts);
      } catch (IOException | SimDisk.PowerFailure e) {
        say(name + " cannot start: " + e);
        member = null;
        disk.crash();
        restartAt(now + 500 * MS);
      } catch (WrongDataDirectoryException e) {
        throw new Wrong(e.getMessage());
      }
      starting = false;
      if (powerLost) {
        crash();
        restartAt(now + 500 * MS);
      }
    }

    private void heard(int its, String line) {
      if (its == life) {
        lastEvent = line;
        say(name + " " + line);
        leaders += line.startsWith("leads") ? 1 : 0;
        diskFailed |= line.startsWith("disk");
      }
    }

    /** Within the engine, which would catch what is thrown; it is thrown again behind it. */
    private void changedAt(int its) {
      try {
        changedNow(its);
      } catch (Wrong e) {
        found = found == null ? e : found;
      }
    }

    private void changedNow(int its) {
      if (its != life || member == null || powerLost) {
        return;
      }
      applied(this);
      followed();
      if (!joined && member.hasJoined()) {
        joined = true;
        if (member.view().record().index() < startIndex) {
          throw new Wrong(
              name + " joined with " + member.view().record().index() + " of " + startIndex);
        }
      }
    }

    /**
     * What it knows is the same as the record was there, never goes back, and is as new as said.
     */
    private void followed() {
      FleetRecord record = member.view().record();
      if (record.index() < followed) {
        throw new Wrong(name + " went back from " + followed + " to " + record.index());
      }
      if (record.index() > followed) {
        followed = record.index();
        Long sum = sums.get(followed);
        if (sum == null || sum != Arrays.hashCode(record.bytes())) {
          throw new Wrong(name + " follows another record up to " + followed);
        }
      }
      OptionalLong at = member.view().currentAsOfNanos();
      if (at.isPresent()) {
        long then = (long) ((at.getAsLong() - offset) / rate);
        Map.Entry<Long, Long> before = truthAt.lowerEntry(then - 1);
        if (before != null && lacks(followed, before.getValue())) {
          throw new Wrong(name + " says it had all at " + then + ", and has " + followed);
        }
      }
    }

    void crash() {
      life++;
      if (member != null) {
        // Its end has no word for anybody: what is sent now goes nowhere.
        member.stop();
        member = null;
      }
      disk.crash();
      if (powerLost) {
        powerLost = false;
        restartAt(now + 200 * MS);
      }
    }

    void crashIf(int its) {
      if (its == life) {
        crash();
      }
    }

    void restartAt(long when) {
      at(when, null, this::start);
    }

    private void send(int its, Process to, byte[] packet) {
      if (its != life || powerLost) {
        return;
      }
      int toLife = to.life;
      Runnable arrives =
          () -> {
            if (to.life == toLife && to.member != null) {
              to.member.receive(name, packet, back -> to.send(toLife, this, back));
            }
          };
      if (to == this) {
        at(now, this, arrives);
        return;
      }
      long arrival = arrival(link(to));
      if (arrival > 0) {
        at(arrival, to, arrives);
      }
      // What is fed may also come twice, out of order or not at all, as over several connections.
      if (arrival > 0 && !healed && isFed(packet) && random.nextInt(10) == 0) {
        at(arrival + random.nextInt(700) * MS, to, arrives);
      }
    }

    private boolean isFed(byte[] packet) {
      String begins =
          new String(packet, 0, Math.min(16, packet.length), StandardCharsets.ISO_8859_1);
      return begins.contains(Feed.ENTRIES) || begins.contains(Feed.PIECE);
    }

    /** When what is sent now arrives; 0 for never. */
    private long arrival(Link link) {
      boolean lossy = link.lossyUntil > now && random.nextInt(3) == 0;
      if (link.cutUntil > now || lossy) {
        return 0;
      }
      long delay = (200 + random.nextInt(3_000)) * 1_000L;
      if (link.slowUntil > now) {
        delay += random.nextInt(900) * MS;
      }
      link.lastArrival = Math.max(link.lastArrival, now + delay);
      return link.lastArrival;
    }

    private void probe(int its, Process to, Runnable refused) {
      long arrival = its == life ? arrival(link(to)) : 0;
      if (arrival > 0) {
        at(
            arrival,
            null,
            () -> {
              long back = to.member == null ? arrival(to.link(this)) : 0;
              if (back > 0 && its == life) {
                at(back, this, refused);
              }
            });
      }
    }

    @Override
    public long nanos() {
      return offset + (long) (now * rate);
    }

    @Override
    public void execute(Runnable what) {
      at(now, this, what);
    }

    @Override
    public void schedule(long nanos, Runnable what) {
      at(now + (long) (Math.max(0, nanos) / rate), this, what);
    }
  }

  /** When the power fails within a call, the process is over, whatever the engine catches. */
  private static final class Guarded implements Disk {
    private final Process process;
    private final Disk disk;

    Guarded(Process process, Disk disk) {
      this.process = process;
      this.disk = disk;
    }

    private interface Call<T> {
      T run() throws IOException;
    }

    private <T> T run(Call<T> call) throws IOException {
      try {
        return call.run();
      } catch (SimDisk.PowerFailure e) {
        process.powerLost = true;
        throw e;
      }
    }

    @Override
    public Set<String> list() throws IOException {
      return run(disk::list);
    }

    @Override
    public byte[] read(String name) throws IOException {
      return run(() -> disk.read(name));
    }

    @Override
    public Output create(String name) throws IOException {
      Output out = run(() -> disk.create(name));
      return new Output() {
        @Override
        public void write(byte[] bytes) throws IOException {
          run(
              () -> {
                out.write(bytes);
                return null;
              });
        }

        @Override
        public void sync() throws IOException {
          run(
              () -> {
                out.sync();
                return null;
              });
        }

        @Override
        public void close() throws IOException {
          out.close();
        }
      };
    }

    @Override
    public void rename(String from, String to) throws IOException {
      run(
          () -> {
            disk.rename(from, to);
            return null;
          });
    }

    @Override
    public void delete(String name) throws IOException {
      run(
          () -> {
            disk.delete(name);
            return null;
          });
    }

    @Override
    public void syncDirectory() throws IOException {
      run(
          () -> {
            disk.syncDirectory();
            return null;
          });
    }
  }
}
