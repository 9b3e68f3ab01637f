package hazelspoke.bench.scale;

import hazelspoke.agreement.net.FleetNode;
import hazelspoke.agreement.net.OperatorClient;
import hazelspoke.agreement.record.Command;
import hazelspoke.agreement.record.CommandResult;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The fleet's record by the number of members: what it costs, and how soon the last one knows. */
final class RecordScale {
  private static final String BY = "members";
  private static final int VOTERS = 5;

  /** A change of configuration as a note, and so many of them that the record is a full one's. */
  private static final int NOTE_CHARS = 200;

  private static final int NOTES = 256;
  private static final int CHANGES = 20;
  private static final int CHANGE_EVERY_MS = 300;
  private static final int BURST = 50;
  private static final int PATIENCE_MS = 20_000;
  private static final int MOST_AGAIN = 10;
  private static final long MOST_MS = 60_000;

  /** A change that has not come by then never will, as far as operators care. */
  private static final long CHANGE_MOST_MS = 10_000;

  private static final long DAY_S = 86_400;

  /** Changes of configuration, and restarts or replacements that are entries, of a day. */
  private static final int CHANGES_A_DAY = 550;

  private final Path jar;
  private final double idleS;
  private final PrintStream progress;
  private final Figures figures;

  RecordScale(Path jar, double idleS, PrintStream progress, Figures figures) {
    this.jar = jar;
    this.idleS = idleS;
    this.progress = progress;
    this.figures = figures;
  }

  /** What is asked of all voters: of the leader, and of all together. */
  private record State(Reading leader, List<Reading> voters, long hollowCpu, long in, long out) {}

  /** Plays one size once. */
  void play(int members, int block) throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("scale");
    Path memory = Path.of("/dev/shm");
    Path hollow = Files.isDirectory(memory) ? Files.createTempDirectory(memory, "scale") : folder;
    Places places = new Places(members, VOTERS, block);
    List<VoterProcess> voters = new ArrayList<>();
    try (HollowFleet fleet = new HollowFleet(places, hollow)) {
      for (int i = 0; i < VOTERS; i++) {
        voters.add(VoterProcess.start(places, i, jar, folder.resolve("v" + i)));
      }
      awaitWell(voters);
      try (Operator client = new Operator(places.addresses().get(Places.name(1)))) {
        fill(client);
        start(fleet, voters, members);
        idle(fleet, voters, members);
        changes(client, fleet, voters, members);
        burst(client, fleet, voters, members);
        zone(client, fleet, voters, members);
        add("an operator's connection that was closed", members, client.closed);
      }
    } finally {
      voters.forEach(VoterProcess::close);
      delete(folder);
      delete(hollow);
    }
  }

  private static void delete(Path folder) throws IOException {
    if (!Files.exists(folder)) {
      return;
    }
    try (var files = Files.walk(folder)) {
      for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  private void add(String figure, int members, double value) {
    figures.add(figure, BY, members, value);
  }

  private static void awaitWell(List<VoterProcess> voters)
      throws IOException, InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MOST_MS);
    for (VoterProcess voter : voters) {
      while (!voter.read(false).well()) {
        if (System.nanoTime() > end) {
          throw new IOException("the voters do not come up");
        }
        TimeUnit.MILLISECONDS.sleep(100);
      }
    }
  }

  private static State state(HollowFleet fleet, List<VoterProcess> voters) throws IOException {
    List<Reading> readings = new ArrayList<>();
    for (VoterProcess voter : voters) {
      readings.add(voter.read(false));
    }
    Reading leader =
        readings.stream()
            .filter(Reading::leads)
            .findFirst()
            .orElseThrow(() -> new IOException("nobody leads"));
    return new State(leader, readings, fleet.cpuNanos(), fleet.in(), fleet.out());
  }

  private static long elections(State state) {
    return state.voters.stream().mapToLong(Reading::elections).sum();
  }

  /** Writes changes at one voter; connects again where that has closed the connection. */
  private static final class Operator implements AutoCloseable {
    private final InetSocketAddress at;
    private OperatorClient client;
    private int writes;
    private int closed;

    Operator(InetSocketAddress at) throws IOException {
      this.at = at;
      client = new OperatorClient(at, Places.FLEET);
    }

    CommandResult write(String key) throws IOException {
      writes++;
      Command.Numbered command =
          new Command.Numbered(
              "bench/" + System.nanoTime() + "/" + writes,
              1,
              new Command.Note(
                  key, -1, Integer.toString(writes).repeat(NOTE_CHARS).substring(0, NOTE_CHARS)));
      for (int again = 0; ; again++) {
        try {
          return client.command(command, PATIENCE_MS);
        } catch (IOException e) {
          if (again == MOST_AGAIN) {
            throw e;
          }
          closed++;
          client.close();
          client = new OperatorClient(at, Places.FLEET);
        }
      }
    }

    @Override
    public void close() throws IOException {
      client.close();
    }
  }

  private void fill(Operator client) throws IOException {
    for (int i = 0; i < NOTES; i++) {
      client.write("n" + i);
    }
  }

  private void start(HollowFleet fleet, List<VoterProcess> voters, int members)
      throws IOException, InterruptedException {
    State before = state(fleet, voters);
    long from = System.nanoTime();
    fleet.open(VOTERS);
    double opened = (System.nanoTime() - from) / 1e6;
    List<Double> joined = fleet.await(FleetNode::hasJoined, from, MOST_MS);
    State after = state(fleet, voters);
    progress.printf(
        "%d members: opened in %.0f ms, %d of %d joined within %.0f ms%n",
        members, opened, joined.size(), fleet.size(), Slope.quantile(joined, 1));
    add("all start: opened, ms", members, opened);
    add("all start: not joined after 60 s", members, fleet.size() - joined.size());
    add("all start: the last has joined, ms", members, Slope.quantile(joined, 1));
    add(
        "all start: leader's processor time, ms",
        members,
        (after.leader.cpuNanos() - before.leader.cpuNanos()) / 1e6);
    add("all start: leader sends, MB", members, (after.leader.out() - before.leader.out()) / 1e6);
    add("all start: a member receives, KB", members, after.in / 1e3 / fleet.size());
    add("all start: elections", members, elections(after) - elections(before));
  }

  private void idle(HollowFleet fleet, List<VoterProcess> voters, int members)
      throws IOException, InterruptedException {
    TimeUnit.SECONDS.sleep(3);
    State before = state(fleet, voters);
    long from = System.nanoTime();
    TimeUnit.MILLISECONDS.sleep((long) (idleS * 1e3));
    State after = state(fleet, voters);
    double seconds = (System.nanoTime() - from) / 1e9;
    double leader = (after.leader.cpuNanos() - before.leader.cpuNanos()) / 1e7 / seconds;
    double member = (after.hollowCpu - before.hollowCpu) / 1e7 / seconds / fleet.size();
    add("idle: leader, % of a core", members, leader);
    add("idle: a member, % of a core", members, member);
    add(
        "idle: leader sends, KB/s",
        members,
        (after.leader.out() - before.leader.out()) / 1e3 / seconds);
    add("idle: a member receives, B/s", members, (after.in - before.in) / seconds / fleet.size());
    add("idle: a member sends, B/s", members, (after.out - before.out) / seconds / fleet.size());
    for (VoterProcess voter : voters) {
      Reading reading = voter.read(true);
      if (reading.leads()) {
        add("leader's heap, MB", members, reading.heapBytes() / 1e6);
        add("leader's descriptors", members, reading.descriptors());
      }
    }
  }

  private void changes(Operator client, HollowFleet fleet, List<VoterProcess> voters, int members)
      throws IOException, InterruptedException {
    List<Double> took = new ArrayList<>();
    List<Double> last = new ArrayList<>();
    State before = state(fleet, voters);
    long begun = System.nanoTime();
    int missed = 0;
    for (int i = 0; i < CHANGES; i++) {
      long index = client.write("n" + i).number();
      long from = System.nanoTime();
      List<Double> each = fleet.await(n -> n.index() >= index, from, CHANGE_MOST_MS);
      missed += fleet.size() - each.size();
      took.addAll(each);
      last.add(Slope.quantile(each, 1));
      TimeUnit.MILLISECONDS.sleep(CHANGE_EVERY_MS);
    }
    State after = state(fleet, voters);
    double seconds = (System.nanoTime() - begun) / 1e9;
    add("a change: p50 of members know, ms", members, Slope.quantile(took, 0.5));
    add("a change: p99 of members know, ms", members, Slope.quantile(took, 0.99));
    add("a change: the last knows, median, ms", members, Slope.quantile(last, 0.5));
    add("a change: the last knows, worst of 20, ms", members, Slope.quantile(last, 1));
    add("a change: members that never knew", members, missed);
    add(
        "changes: leader's processor time each with idle, ms",
        members,
        (after.leader.cpuNanos() - before.leader.cpuNanos()) / 1e6 / CHANGES);
    add(
        "changes: leader, % of a core",
        members, (after.leader.cpuNanos() - before.leader.cpuNanos()) / 1e7 / seconds);
    double bytes = (double) (after.in - before.in) / fleet.size();
    add("changes: a member receives each with idle, KB", members, bytes / 1e3 / CHANGES);
    add(
        "changes: a member's processor time each with idle, ms",
        members,
        (after.hollowCpu - before.hollowCpu) / 1e6 / fleet.size() / CHANGES);
    add(
        "reckoned: a member receives for 550 changes a day, B/s",
        members,
        bytes / CHANGES * CHANGES_A_DAY / DAY_S);
  }

  private void burst(Operator client, HollowFleet fleet, List<VoterProcess> voters, int members)
      throws IOException, InterruptedException {
    State before = state(fleet, voters);
    long begun = System.nanoTime();
    long index = 0;
    for (int i = 0; i < BURST; i++) {
      index = client.write("n" + i).number();
    }
    long to = index;
    double written = (System.nanoTime() - begun) / 1e6;
    long from = System.nanoTime();
    List<Double> took = fleet.await(n -> n.index() >= to, from, MOST_MS);
    State after = state(fleet, voters);
    add("burst of 50: written in, ms", members, written);
    add("burst of 50: the last knows all, ms", members, Slope.quantile(took, 1));
    add(
        "burst of 50: leader's processor time, ms",
        members,
        (after.leader.cpuNanos() - before.leader.cpuNanos()) / 1e6);
    add("burst of 50: a member receives, KB", members, (after.in - before.in) / 1e3 / fleet.size());
    add("burst of 50: elections", members, elections(after) - elections(before));
  }

  /** A third of them vanish, and come again all at once while a change is made. */
  private void zone(Operator client, HollowFleet fleet, List<VoterProcess> voters, int members)
      throws IOException, InterruptedException {
    State before = state(fleet, voters);
    int lost = members / 3;
    fleet.lose(lost);
    TimeUnit.SECONDS.sleep(1);
    long from = System.nanoTime();
    fleet.open(members - lost);
    long index = client.write("n0").number();
    long written = System.nanoTime();
    List<Double> knew = fleet.await(n -> n.index() >= index, written, MOST_MS);
    List<Double> back = fleet.await(FleetNode::hasJoined, from, MOST_MS);
    State after = state(fleet, voters);
    progress.printf(
        "%d members: a third back, %d joined within %.0f ms, a change known within %.0f ms%n",
        members, back.size(), Slope.quantile(back, 1), Slope.quantile(knew, 1));
    add("a third comes back: the last has joined, ms", members, Slope.quantile(back, 1));
    add(
        "a third comes back: a change, p99 of members know, ms",
        members,
        Slope.quantile(knew, 0.99));
    add("a third comes back: a change, the last knows, ms", members, Slope.quantile(knew, 1));
    add(
        "a third comes back: leader's processor time, ms",
        members,
        (after.leader.cpuNanos() - before.leader.cpuNanos()) / 1e6);
    add("a third comes back: elections", members, elections(after) - elections(before));
  }
}
