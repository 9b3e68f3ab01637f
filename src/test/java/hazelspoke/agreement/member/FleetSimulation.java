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
 * Simulates a fleet in virtual time: real members with the real engine and store, on a network,
 * clocks and disks with random faults that a seed determines. Invariants are checked after each
 * event. At the end the faults stop, and the fleet has to recover completely.
 */
final class FleetSimulation {
  private static final long MS = 1_000_000;
  private static final long SECOND = 1_000 * MS;
  static final long LEASE_NANOS = 3 * SECOND;
  static final double DRIFT = 0.05;
  private static final long FAULTY_NANOS = 25 * SECOND;
  private static final long FAULT_FREE_NANOS = 30 * SECOND;
  private static final int KEYS = 2;
  private static final int MAX_CALLS = 90;
  private static final int MIN_VOTERS = 3;
  private static final int MAX_VOTERS = 5;

  // The engine logs a lot. The reference keeps the logger, and so its level, from being collected.
  private static final Logger ENGINE = Logger.getLogger("io.microraft");

  static {
    ENGINE.setLevel(Level.parse(System.getProperty("fleet.engine.log", "OFF")));
  }

  /** Creates the parts under test; a mutant removes one safeguard. */
  static class Mutant {
    /** The maximum clock error that the members assume. */
    double drift = DRIFT;

    /** Whether the store id survives the loss of a disk. */
    boolean lostDiskKeepsStoreId;

    /** Whether a client that repeats a command gives it a new origin. */
    boolean repeatsUseNewOrigin;

    UnaryOperator<Disk> disk = disk -> disk;
    SmallFeeds components = new SmallFeeds();
  }

  /** Keeps few entries and sends small pieces, so that subscribers need snapshots. */
  static class SmallFeeds extends Components {
    /** The indexes of entries that the record has applied; changes of voters are not among them. */
    private final TreeSet<Long> entries = new TreeSet<>();

    @Override
    Feed feed(Scheduler scheduler, FeedSettings settings, Supplier<FleetRecord> record) {
      return new Feed(scheduler, settings, record) {
        @Override
        public void applied(long index, byte[] entry) {
          super.applied(index, entry);
          entries.add(index);
        }
      };
    }

    @Override
    FeedSettings feedSettings(MemberSettings settings) {
      return new FeedSettings(25 * MS, SECOND, 1_000, 200_000, 20, 8_000);
    }
  }

  /** The result of one seed; {@code violation} is null if every check passed. */
  record Outcome(
      long seed,
      String violation,
      int entries,
      int leaders,
      int calls,
      int changes,
      int events,
      long digest) {}

  private record Event(long time, long order, Process process, int life, Runnable action) {}

  /** A violated invariant. */
  private static final class Violation extends RuntimeException {
    private static final long serialVersionUID = 1;

    Violation(String message) {
      super(message);
    }
  }

  private final long seed;
  private final Random random;
  private final Mutant mutant;
  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(
          (a, b) ->
              a.time != b.time ? Long.compare(a.time, b.time) : Long.compare(a.order, b.order));
  private final List<Process> processes = new ArrayList<>();
  private final Map<String, Process> byName = new HashMap<>();
  private final Map<Long, Long> recordHashes = new HashMap<>();
  private final TreeMap<Long, Long> committedIndexAt = new TreeMap<>();
  private Violation pendingViolation;
  private final Map<String, List<Linearizability.Call>> histories = new TreeMap<>();
  private final CRC32C digest = new CRC32C();
  private FleetRecord newestRecord = new FleetRecord();
  private long now;
  private long scheduledEvents;
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

  /** Returns the beginning of the event log, for the analysis of a seed. */
  String log() {
    return log.toString();
  }

  Outcome run() {
    String violation = null;
    try {
      for (Process process : processes) {
        at(random.nextInt(500) * MS, null, process::start);
      }
      for (int client = 0; client < 3; client++) {
        at(SECOND + random.nextInt(1_000) * MS, null, this::client);
      }
      at(2 * SECOND, null, this::injectFault);
      at(FAULTY_NANOS, null, this::heal);
      runUntil(FAULTY_NANOS + FAULT_FREE_NANOS);
      checkFinalState();
    } catch (Violation e) {
      violation = e.getMessage();
    }
    digest.update(Long.toString(newestRecord.index()).getBytes());
    return new Outcome(
        seed,
        violation,
        (int) newestRecord.index(),
        leaders,
        writes,
        changes,
        events,
        digest.getValue());
  }

  private void at(long time, Process process, Runnable action) {
    queue.add(
        new Event(time, scheduledEvents++, process, process == null ? 0 : process.life, action));
  }

  private void runUntil(long end) {
    while (!queue.isEmpty() && queue.peek().time <= end) {
      Event event = queue.poll();
      now = event.time;
      Process process = event.process;
      if (process != null
          && (process.life != event.life || process.member == null && !process.starting)) {
        continue;
      }
      if (process != null && process.pausedUntil > now) {
        queue.add(
            new Event(process.pausedUntil, scheduledEvents++, process, event.life, event.action));
        continue;
      }
      events++;
      try {
        event.action.run();
      } catch (SimDisk.PowerFailure e) {
        // The process has ended; the engine catches the exception, other code lets it pass to here.
      } catch (AssertionError | IllegalStateException | NullPointerException e) {
        throw new Violation((process == null ? "a client" : process.name) + " threw " + e);
      }
      if (process != null && process.powerLost) {
        process.crash();
      }
      check();
    }
    now = end;
  }

  /** A member with a valid lease by its own clock must be active in the newest committed record. */
  private void check() {
    if (pendingViolation != null) {
      throw pendingViolation;
    }
    for (Process process : processes) {
      if (process.member != null && process.member.hasValidLease()) {
        Session session = newestRecord.session(process.name);
        if (session == null
            || session.incarnation() != process.member.incarnation()
            || session.status() != Status.THERE) {
          throw new Violation(
              process.name + " has a valid lease at " + now + " but the record has " + session);
        }
      }
    }
  }

  private void checkAppliedRecord(Process process) {
    FleetRecord record = process.member == null ? null : process.member.appliedRecord();
    if (record == null) {
      return;
    }
    long hash = Arrays.hashCode(record.bytes());
    Long before = recordHashes.putIfAbsent(record.index(), hash);
    if (before != null && before != hash) {
      throw new Violation(process.name + " has a different record at index " + record.index());
    }
    if (record.index() > newestRecord.index()) {
      try {
        newestRecord = FleetRecord.read(record.bytes());
      } catch (MalformedException e) {
        throw new Violation("malformed record: " + e.getMessage());
      }
      for (Session session : newestRecord.sessions()) {
        Process owner = byName.get(session.member());
        if (session.status() == Status.REFUSED
            && owner.member != null
            && owner.member.incarnation() == session.incarnation()) {
          throw new Violation(session + " counts as ended but runs");
        }
      }
      digest.update(Long.toString(hash + now).getBytes());
      committedIndexAt.put(now, newestRecord.index());
    }
  }

  private boolean lacksEntry(long knownIndex, long expectedIndex) {
    Long next = mutant.components.entries.higher(knownIndex);
    return next != null && next <= expectedIndex;
  }

  private void checkFinalState() {
    for (Process process : processes) {
      if (process.member == null) {
        throw new Violation(process.name + " is down at the end");
      }
      if (!process.member.hasValidLease()) {
        throw new Violation(process.name + " has no valid lease at the end: " + process.lastEvent);
      }
      long expectedIndex = committedIndexAt.floorEntry(now - 3 * SECOND).getValue();
      if (lacksEntry(process.member.view().record().index(), expectedIndex)) {
        throw new Violation(
            process.name
                + " has index "
                + process.member.view().record().index()
                + " of "
                + expectedIndex);
      }
    }
    for (Map.Entry<String, List<Linearizability.Call>> history : histories.entrySet()) {
      String violation = Linearizability.check(history.getValue());
      if (violation != null) {
        throw new Violation(history.getKey() + ": " + violation);
      }
      if (history.getValue().size() < MAX_CALLS
          && history.getValue().stream().noneMatch(c -> c.from() > FAULTY_NANOS && c.to() < now)) {
        throw new Violation(history.getKey() + " had no successful call after the faults ended");
      }
    }
  }

  // Clients: each makes one call at a time, at a random member, and sometimes repeats it at
  // another.

  private void client() {
    long again = now + (20 + random.nextInt(400)) * MS;
    List<Process> up = processes.stream().filter(p -> p.member != null).toList();
    if (now > FAULTY_NANOS + FAULT_FREE_NANOS - 12 * SECOND) {
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
    long timeout = 4 * SECOND;
    if (history.size() >= MAX_CALLS) {
      at(again, null, this::client);
    } else if (random.nextBoolean()) {
      process
          .member
          .read(timeout)
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
      write(key, history, process, timeout);
    }
  }

  private void write(
      String key, List<Linearizability.Call> history, Process process, long timeout) {
    long from = now;
    String value = "v" + ++writes;
    FleetRecord.NoteValue seen = newestRecord.note(key);
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
    process.member.submit(new Command.Numbered(origin, 1, note), timeout).whenComplete(end);
    if (random.nextInt(3) == 0) {
      // A client that has waited too long submits the same command at another member.
      at(
          now + random.nextInt(1_500) * MS,
          null,
          () -> {
            Process other = processes.get(random.nextInt(processes.size()));
            if (other.member != null) {
              String name = mutant.repeatsUseNewOrigin ? origin + "/again" : origin;
              other.member.submit(new Command.Numbered(name, 1, note), timeout).whenComplete(end);
            }
          });
    }
    at(
        now + timeout + 2 * SECOND,
        null,
        () -> {
          if (!done[0]) {
            done[0] = true;
            history.add(Linearizability.Call.withUnknownEnd(from, expected, value));
            client();
          }
        });
  }

  // Faults.

  private void injectFault() {
    if (healed) {
      return;
    }
    at(now + (100 + random.nextInt(1_400)) * MS, null, this::injectFault);
    Process a = processes.get(random.nextInt(processes.size()));
    Process b = processes.get(random.nextInt(processes.size()));
    long until = now + (50 + random.nextInt(4_000)) * MS;
    switch (random.nextInt(17)) {
      case 0, 1 -> {
        boolean isLeaving = random.nextInt(3) == 0 && a.member != null && a.pausedUntil <= now;
        log((isLeaving ? "leave " : "kill ") + a.name);
        if (isLeaving) {
          int expectedLife = a.life;
          a.member.leave(SECOND);
          at(now + 200 * MS, null, () -> a.crashIf(expectedLife));
          a.restartAt(now + SECOND + random.nextInt(5_000) * MS);
          return;
        }
        a.crash();
        a.restartAt(now + random.nextInt(5_000) * MS);
      }
      case 2 -> {
        log("pause " + a.name + " until " + until / MS);
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
        log("power fails soon at " + a.name);
        a.disk.powerFailsIn = random.nextInt(40);
      }
      case 9 -> {
        log("disk fails soon at " + a.name);
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
      case 10 -> pauseLeader(until);
      case 11, 12 -> isolateForAboutALease(a);
      case 13 -> failDiskAndHideOutcome(a, until);
      case 14, 15 -> changeVoters(a);
      default -> loseDisk(a);
    }
  }

  /** Pauses the leader past an election, so that it resumes while it still believes to lead. */
  private void pauseLeader(long until) {
    Process leader = findLeader();
    if (leader != null) {
      log("pause leader " + leader.name + " until " + until / MS);
      leader.pausedUntil = until;
    }
  }

  private Process findLeader() {
    return processes.stream()
        .filter(p -> p.member != null && p.member.isLeader())
        .findFirst()
        .orElse(null);
  }

  private void isolate(Process process, long until) {
    log("isolate " + process.name + " until " + until / MS);
    for (Process other : processes) {
      process.link(other).cutUntil = until;
      other.link(process).cutUntil = until;
    }
  }

  /** Isolates a member until about the end of its lease, while links from the leader are slow. */
  private void isolateForAboutALease(Process process) {
    Process leader = findLeader();
    if (leader != null && leader != process) {
      long until = now + (long) (LEASE_NANOS * (0.85 + 0.4 * random.nextDouble()));
      isolate(process, until);
      for (Process other : processes) {
        leader.link(other).slowUntil = random.nextBoolean() ? until : 0;
      }
    }
  }

  /**
   * Fails a voter's disk while the other members that could know the lost entries are cut off or
   * paused.
   */
  private void failDiskAndHideOutcome(Process process, long until) {
    Process leader = findLeader();
    if (leader == null || leader == process || !process.isVoter()) {
      return;
    }
    log("doubtful disk at " + process.name);
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
    // One disk at a time, and only after the member is a voter again: a fleet that loses the disks
    // of
    // a majority has lost the record.
    if (lostDisks > 0 || random.nextBoolean()) {
      return;
    }
    log("lose disk " + process.name);
    lostDisks++;
    process.crash();
    SimDisk empty = new SimDisk(random.nextLong());
    if (mutant.lostDiskKeepsStoreId) {
      process.disk.copyTo(empty, "member");
      try {
        RecordStore.open(empty).close();
      } catch (IOException | StoreDamagedException e) {
        throw new IllegalStateException(e);
      }
    }
    process.disk = empty;
    process.restartAt(now + random.nextInt(3_000) * MS);
    at(now + 4 * SECOND, null, () -> restoreVoter(process));
  }

  /**
   * An operator confirms the end of the earlier process, and makes the new one a voter if the
   * earlier one was.
   */
  private void restoreVoter(Process process) {
    List<Process> up = processes.stream().filter(p -> p.member != null).toList();
    boolean back = process.member != null && process.member.hasJoined();
    Runnable again = () -> at(now + SECOND, null, () -> restoreVoter(process));
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
                  log("voter again " + process.name);
                  lostDisks--;
                }
              });
    }
  }

  /** An operator adds or removes a voter. */
  private void changeVoters(Process process) {
    List<Process> up = processes.stream().filter(p -> p.member != null).toList();
    long votes = processes.stream().filter(Process::isVoter).count();
    boolean add = !process.votes;
    if (up.isEmpty() || lostDisks > 0 || (add ? votes >= MAX_VOTERS : votes <= MIN_VOTERS)) {
      return;
    }
    log((add ? "add voter " : "remove voter ") + process.name);
    // While the outcome is unknown, the member counts as a voter.
    process.votes = true;
    up.get(random.nextInt(up.size()))
        .member
        .changeVoter(add, process.name, 8 * SECOND)
        .whenComplete(
            (answer, failure) -> {
              if (failure == null && answer.succeeded()) {
                log((add ? "added voter " : "removed voter ") + process.name);
                process.votes = add;
                changes++;
              }
            });
  }

  private void link(Process a, Process b, Consumer<Link> fault, String name, long until) {
    if (a != b) {
      log(name + " " + a.name + " to " + b.name + " until " + until / MS);
      fault.accept(a.link(b));
    }
  }

  private void heal() {
    log("heal");
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

  private void log(String line) {
    if (log.length() < 100_000) {
      log.append(now / MS).append(" ms ").append(line).append('\n');
    }
    digest.update(line.getBytes());
  }

  private static final class Link {
    long cutUntil;
    long slowUntil;
    long lossyUntil;
    long lastArrival;
  }

  /** A process that may crash and restart, with its own clock. */
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
    long subscribedIndex;
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
      startIndex = newestRecord.index();
      subscribedIndex = 0;
      List<String> names = processes.stream().map(p -> p.name).toList();
      MemberSettings settings =
          new MemberSettings(
              "fleet",
              name,
              name,
              names,
              names.subList(0, voters),
              LEASE_NANOS,
              mutant.drift,
              250 * MS,
              25,
              true);
      int expectedLife = life;
      try {
        member =
            new Member(
                settings,
                mutant.disk.apply(new PowerFailureDisk(this, disk)),
                this,
                new Random(random.nextLong()),
                new Transport() {
                  @Override
                  public void send(String to, byte[] packet) {
                    Process.this.send(expectedLife, byName.get(to), packet);
                  }

                  @Override
                  public void probe(String to, Runnable refused) {
                    Process.this.probe(expectedLife, byName.get(to), refused);
                  }
                },
                new Member.Listener() {
                  @Override
                  public void event(String line) {
                    onEvent(expectedLife, line);
                  }

                  @Override
                  public void changed() {
                    onChanged(expectedLife);
                  }
                },
                mutant.components);
      } catch (IOException | SimDisk.PowerFailure e) {
        log(name + " cannot start: " + e);
        member = null;
        disk.crash();
        restartAt(now + 500 * MS);
      } catch (WrongDataDirectoryException e) {
        throw new Violation(e.getMessage());
      }
      starting = false;
      if (powerLost) {
        crash();
        restartAt(now + 500 * MS);
      }
    }

    private void onEvent(int expectedLife, String line) {
      if (expectedLife == life) {
        lastEvent = line;
        log(name + " " + line);
        leaders += line.startsWith("leads") ? 1 : 0;
        diskFailed |= line.startsWith("disk");
      }
    }

    /**
     * Runs within the engine, which catches exceptions; {@link #check} throws the violation later.
     */
    private void onChanged(int expectedLife) {
      try {
        checkAfterChange(expectedLife);
      } catch (Violation e) {
        pendingViolation = pendingViolation == null ? e : pendingViolation;
      }
    }

    private void checkAfterChange(int expectedLife) {
      if (expectedLife != life || member == null || powerLost) {
        return;
      }
      checkAppliedRecord(this);
      checkSubscribedRecord();
      if (!joined && member.hasJoined()) {
        joined = true;
        if (member.view().record().index() < startIndex) {
          throw new Violation(
              name + " joined with index " + member.view().record().index() + " of " + startIndex);
        }
      }
    }

    /**
     * The local copy must equal the record at its index, never go back, and be as current as
     * claimed.
     */
    private void checkSubscribedRecord() {
      FleetRecord record = member.view().record();
      if (record.index() < subscribedIndex) {
        throw new Violation(name + " went back from " + subscribedIndex + " to " + record.index());
      }
      if (record.index() > subscribedIndex) {
        subscribedIndex = record.index();
        Long hash = recordHashes.get(subscribedIndex);
        if (hash == null || hash != Arrays.hashCode(record.bytes())) {
          throw new Violation(name + " has a different copy at index " + subscribedIndex);
        }
      }
      OptionalLong at = member.view().currentAsOfNanos();
      if (at.isPresent()) {
        long then = (long) ((at.getAsLong() - offset) / rate);
        Map.Entry<Long, Long> before = committedIndexAt.lowerEntry(then - 1);
        if (before != null && lacksEntry(subscribedIndex, before.getValue())) {
          throw new Violation(
              name + " claims to be complete as of " + then + " but has index " + subscribedIndex);
        }
      }
    }

    void crash() {
      life++;
      if (member != null) {
        // Packets that are sent while it stops are dropped, as in a crash.
        member.stop();
        member = null;
      }
      disk.crash();
      if (powerLost) {
        powerLost = false;
        restartAt(now + 200 * MS);
      }
    }

    void crashIf(int expectedLife) {
      if (expectedLife == life) {
        crash();
      }
    }

    void restartAt(long time) {
      at(time, null, this::start);
    }

    private void send(int expectedLife, Process to, byte[] packet) {
      if (expectedLife != life || powerLost) {
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
      // Feed packets may be duplicated, reordered or lost, as over several connections.
      if (arrival > 0 && !healed && isFeedPacket(packet) && random.nextInt(10) == 0) {
        at(arrival + random.nextInt(700) * MS, to, arrives);
      }
    }

    private boolean isFeedPacket(byte[] packet) {
      String start =
          new String(packet, 0, Math.min(16, packet.length), StandardCharsets.ISO_8859_1);
      return start.contains(Feed.ENTRIES) || start.contains(Feed.PIECE);
    }

    /** Returns when a packet that is sent now arrives; 0 if it is lost. */
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

    private void probe(int expectedLife, Process to, Runnable refused) {
      long arrival = expectedLife == life ? arrival(link(to)) : 0;
      if (arrival > 0) {
        at(
            arrival,
            null,
            () -> {
              long back = to.member == null ? arrival(to.link(this)) : 0;
              if (back > 0 && expectedLife == life) {
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
    public void execute(Runnable action) {
      at(now, this, action);
    }

    @Override
    public void schedule(long nanos, Runnable action) {
      at(now + (long) (Math.max(0, nanos) / rate), this, action);
    }
  }

  /** Marks the process as ended when the power fails, even if the engine catches the exception. */
  private static final class PowerFailureDisk implements Disk {
    private final Process process;
    private final Disk disk;

    PowerFailureDisk(Process process, Disk disk) {
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
