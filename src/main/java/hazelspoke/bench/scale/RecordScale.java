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

/** Measures cost and propagation delay of the fleet's record by the number of members. */
final class RecordScale {
  private static final String SIZE_UNIT = "members";
  private static final int VOTERS = 5;

  /** Length of a note, about that of a configuration change; NOTES of them fill the record. */
  private static final int NOTE_CHARS = 200;

  private static final int NOTES = 256;
  private static final int CHANGES = 20;
  private static final int CHANGE_INTERVAL_MS = 300;
  private static final int BURST_CHANGES = 50;
  private static final int COMMAND_TIMEOUT_MS = 20_000;
  private static final int MAX_RETRIES = 10;
  private static final long TIMEOUT_MS = 60_000;

  /** For operators, a change that has not arrived by then counts as never arriving. */
  private static final long CHANGE_TIMEOUT_MS = 10_000;

  private static final long SECONDS_PER_DAY = 86_400;

  /** Record entries per day: configuration changes, and restarts or replacements of members. */
  private static final int CHANGES_PER_DAY = 550;

  private final Path jar;
  private final double idleS;
  private final PrintStream progress;
  private final MetricTable metrics;

  RecordScale(Path jar, double idleS, PrintStream progress, MetricTable metrics) {
    this.jar = jar;
    this.idleS = idleS;
    this.progress = progress;
    this.metrics = metrics;
  }

  /** Readings of the leader and of all voters, and totals over the non-voting members. */
  private record State(
      Reading leader,
      List<Reading> voters,
      long membersCpuNanos,
      long receivedBytes,
      long sentBytes) {}

  /** Measures a fleet of one size once. */
  void measure(int members, int block) throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("scale");
    Path memory = Path.of("/dev/shm");
    Path memberFolder =
        Files.isDirectory(memory) ? Files.createTempDirectory(memory, "scale") : folder;
    FleetLayout layout = new FleetLayout(members, VOTERS, block);
    List<VoterProcess> voters = new ArrayList<>();
    try (NonVoterFleet fleet = new NonVoterFleet(layout, memberFolder)) {
      for (int i = 0; i < VOTERS; i++) {
        voters.add(VoterProcess.start(layout, i, jar, folder.resolve("v" + i)));
      }
      awaitReady(voters);
      try (OperatorConnection client =
          new OperatorConnection(layout.addresses().get(FleetLayout.name(1)))) {
        writeNotes(client);
        measureStart(fleet, voters, members);
        measureIdle(fleet, voters, members);
        measureChanges(client, fleet, voters, members);
        measureBurst(client, fleet, voters, members);
        restartThird(client, fleet, voters, members);
        add("an operator's connection that was closed", members, client.closed);
      }
    } finally {
      voters.forEach(VoterProcess::close);
      delete(folder);
      delete(memberFolder);
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

  private void add(String metric, int members, double value) {
    metrics.add(metric, SIZE_UNIT, members, value);
  }

  private static void awaitReady(List<VoterProcess> voters)
      throws IOException, InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
    for (VoterProcess voter : voters) {
      while (!voter.read(false).isReady()) {
        if (System.nanoTime() > end) {
          throw new IOException("voters did not join with a valid lease in time");
        }
        TimeUnit.MILLISECONDS.sleep(100);
      }
    }
  }

  private static State state(NonVoterFleet fleet, List<VoterProcess> voters) throws IOException {
    List<Reading> readings = new ArrayList<>();
    for (VoterProcess voter : voters) {
      readings.add(voter.read(false));
    }
    Reading leader =
        readings.stream()
            .filter(Reading::isLeader)
            .findFirst()
            .orElseThrow(() -> new IOException("no voter is the leader"));
    return new State(leader, readings, fleet.cpuNanos(), fleet.receivedBytes(), fleet.sentBytes());
  }

  private static long elections(State state) {
    return state.voters.stream().mapToLong(Reading::elections).sum();
  }

  /** Writes changes through one voter; reconnects if the voter has closed the connection. */
  private static final class OperatorConnection implements AutoCloseable {
    private final InetSocketAddress at;
    private OperatorClient client;
    private int writes;
    private int closed;

    OperatorConnection(InetSocketAddress at) throws IOException {
      this.at = at;
      client = new OperatorClient(at, FleetLayout.FLEET);
    }

    CommandResult write(String key) throws IOException {
      writes++;
      Command.Numbered command =
          new Command.Numbered(
              "bench/" + System.nanoTime() + "/" + writes,
              1,
              new Command.Note(
                  key, -1, Integer.toString(writes).repeat(NOTE_CHARS).substring(0, NOTE_CHARS)));
      for (int retries = 0; ; retries++) {
        try {
          return client.command(command, COMMAND_TIMEOUT_MS);
        } catch (IOException e) {
          if (retries == MAX_RETRIES) {
            throw e;
          }
          closed++;
          client.close();
          client = new OperatorClient(at, FleetLayout.FLEET);
        }
      }
    }

    @Override
    public void close() throws IOException {
      client.close();
    }
  }

  private void writeNotes(OperatorConnection client) throws IOException {
    for (int i = 0; i < NOTES; i++) {
      client.write("n" + i);
    }
  }

  private void measureStart(NonVoterFleet fleet, List<VoterProcess> voters, int members)
      throws IOException, InterruptedException {
    State before = state(fleet, voters);
    long fromNanos = System.nanoTime();
    fleet.open(VOTERS);
    double openedMs = (System.nanoTime() - fromNanos) / 1e6;
    List<Double> joinDelaysMs = fleet.await(FleetNode::hasJoined, fromNanos, TIMEOUT_MS);
    State after = state(fleet, voters);
    progress.printf(
        "%d members: opened in %.0f ms, %d of %d joined within %.0f ms%n",
        members, openedMs, joinDelaysMs.size(), fleet.size(), LinearFit.quantile(joinDelaysMs, 1));
    add("all start: opened, ms", members, openedMs);
    add("all start: not joined after 60 s", members, fleet.size() - joinDelaysMs.size());
    add("all start: the last has joined, ms", members, LinearFit.quantile(joinDelaysMs, 1));
    add(
        "all start: leader's processor time, ms",
        members,
        (after.leader.cpuNanos() - before.leader.cpuNanos()) / 1e6);
    add(
        "all start: leader sends, MB",
        members,
        (after.leader.sentBytes() - before.leader.sentBytes()) / 1e6);
    add("all start: a member receives, KB", members, after.receivedBytes / 1e3 / fleet.size());
    add("all start: elections", members, elections(after) - elections(before));
  }

  private void measureIdle(NonVoterFleet fleet, List<VoterProcess> voters, int members)
      throws IOException, InterruptedException {
    TimeUnit.SECONDS.sleep(3);
    State before = state(fleet, voters);
    long fromNanos = System.nanoTime();
    TimeUnit.MILLISECONDS.sleep((long) (idleS * 1e3));
    State after = state(fleet, voters);
    double seconds = (System.nanoTime() - fromNanos) / 1e9;
    double leaderPercent = (after.leader.cpuNanos() - before.leader.cpuNanos()) / 1e7 / seconds;
    double memberPercent =
        (after.membersCpuNanos - before.membersCpuNanos) / 1e7 / seconds / fleet.size();
    add("idle: leader, % of a core", members, leaderPercent);
    add("idle: a member, % of a core", members, memberPercent);
    add(
        "idle: leader sends, KB/s",
        members,
        (after.leader.sentBytes() - before.leader.sentBytes()) / 1e3 / seconds);
    add(
        "idle: a member receives, B/s",
        members,
        (after.receivedBytes - before.receivedBytes) / seconds / fleet.size());
    add(
        "idle: a member sends, B/s",
        members,
        (after.sentBytes - before.sentBytes) / seconds / fleet.size());
    for (VoterProcess voter : voters) {
      Reading reading = voter.read(true);
      if (reading.isLeader()) {
        add("leader's heap, MB", members, reading.heapBytes() / 1e6);
        add("leader's descriptors", members, reading.descriptors());
      }
    }
  }

  private void measureChanges(
      OperatorConnection client, NonVoterFleet fleet, List<VoterProcess> voters, int members)
      throws IOException, InterruptedException {
    List<Double> delaysMs = new ArrayList<>();
    List<Double> maxDelaysMs = new ArrayList<>();
    State before = state(fleet, voters);
    long beginNanos = System.nanoTime();
    int missed = 0;
    for (int i = 0; i < CHANGES; i++) {
      long index = client.write("n" + i).number();
      long fromNanos = System.nanoTime();
      List<Double> each = fleet.await(n -> n.index() >= index, fromNanos, CHANGE_TIMEOUT_MS);
      missed += fleet.size() - each.size();
      delaysMs.addAll(each);
      maxDelaysMs.add(LinearFit.quantile(each, 1));
      TimeUnit.MILLISECONDS.sleep(CHANGE_INTERVAL_MS);
    }
    State after = state(fleet, voters);
    double seconds = (System.nanoTime() - beginNanos) / 1e9;
    add("a change: p50 of members know, ms", members, LinearFit.quantile(delaysMs, 0.5));
    add("a change: p99 of members know, ms", members, LinearFit.quantile(delaysMs, 0.99));
    add("a change: the last knows, median, ms", members, LinearFit.quantile(maxDelaysMs, 0.5));
    add("a change: the last knows, worst of 20, ms", members, LinearFit.quantile(maxDelaysMs, 1));
    add("a change: members that never knew", members, missed);
    add(
        "changes: leader's processor time each with idle, ms",
        members,
        (after.leader.cpuNanos() - before.leader.cpuNanos()) / 1e6 / CHANGES);
    add(
        "changes: leader, % of a core",
        members, (after.leader.cpuNanos() - before.leader.cpuNanos()) / 1e7 / seconds);
    double bytes = (double) (after.receivedBytes - before.receivedBytes) / fleet.size();
    add("changes: a member receives each with idle, KB", members, bytes / 1e3 / CHANGES);
    add(
        "changes: a member's processor time each with idle, ms",
        members,
        (after.membersCpuNanos - before.membersCpuNanos) / 1e6 / fleet.size() / CHANGES);
    add(
        "reckoned: a member receives for 550 changes a day, B/s",
        members,
        bytes / CHANGES * CHANGES_PER_DAY / SECONDS_PER_DAY);
  }

  private void measureBurst(
      OperatorConnection client, NonVoterFleet fleet, List<VoterProcess> voters, int members)
      throws IOException, InterruptedException {
    State before = state(fleet, voters);
    long beginNanos = System.nanoTime();
    long index = 0;
    for (int i = 0; i < BURST_CHANGES; i++) {
      index = client.write("n" + i).number();
    }
    long to = index;
    double writtenMs = (System.nanoTime() - beginNanos) / 1e6;
    long fromNanos = System.nanoTime();
    List<Double> delaysMs = fleet.await(n -> n.index() >= to, fromNanos, TIMEOUT_MS);
    State after = state(fleet, voters);
    add("burst of 50: written in, ms", members, writtenMs);
    add("burst of 50: the last knows all, ms", members, LinearFit.quantile(delaysMs, 1));
    add(
        "burst of 50: leader's processor time, ms",
        members,
        (after.leader.cpuNanos() - before.leader.cpuNanos()) / 1e6);
    add(
        "burst of 50: a member receives, KB",
        members,
        (after.receivedBytes - before.receivedBytes) / 1e3 / fleet.size());
    add("burst of 50: elections", members, elections(after) - elections(before));
  }

  /** Closes a third of the members, restarts them all at once and writes a change meanwhile. */
  private void restartThird(
      OperatorConnection client, NonVoterFleet fleet, List<VoterProcess> voters, int members)
      throws IOException, InterruptedException {
    State before = state(fleet, voters);
    int closedMembers = members / 3;
    fleet.closeLast(closedMembers);
    TimeUnit.SECONDS.sleep(1);
    long fromNanos = System.nanoTime();
    fleet.open(members - closedMembers);
    long index = client.write("n0").number();
    long writtenNanos = System.nanoTime();
    List<Double> changeDelaysMs = fleet.await(n -> n.index() >= index, writtenNanos, TIMEOUT_MS);
    List<Double> joinDelaysMs = fleet.await(FleetNode::hasJoined, fromNanos, TIMEOUT_MS);
    State after = state(fleet, voters);
    progress.printf(
        "%d members: a third restarted, %d joined within %.0f ms, a change received within %.0f ms%n",
        members,
        joinDelaysMs.size(),
        LinearFit.quantile(joinDelaysMs, 1),
        LinearFit.quantile(changeDelaysMs, 1));
    add(
        "a third comes back: the last has joined, ms",
        members,
        LinearFit.quantile(joinDelaysMs, 1));
    add(
        "a third comes back: a change, p99 of members know, ms",
        members,
        LinearFit.quantile(changeDelaysMs, 0.99));
    add(
        "a third comes back: a change, the last knows, ms",
        members,
        LinearFit.quantile(changeDelaysMs, 1));
    add(
        "a third comes back: leader's processor time, ms",
        members,
        (after.leader.cpuNanos() - before.leader.cpuNanos()) / 1e6);
    add("a third comes back: elections", members, elections(after) - elections(before));
  }
}
