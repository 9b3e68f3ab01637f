package hazelspoke.bench.scale;

import hazelspoke.agreement.wire.MalformedException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

/** Measures how resource usage grows with the size of the fleet and of the host list. */
public final class ScaleBench {
  /** Number of address ranges that concurrent runs choose from. */
  private static final int BLOCKS = 100;

  /**
   * Sizes and durations of a benchmark run.
   *
   * @param members the sizes of fleets
   * @param hosts the lengths of lists
   * @param rounds how often each size is measured, in alternation
   * @param idleS how long an idle fleet is measured, in s
   * @param jar the jar of the measured version
   */
  public record Plan(
      List<Integer> members, List<Integer> hosts, int rounds, double idleS, Path jar) {
    public Plan {
      members = List.copyOf(members);
      hosts = List.copyOf(hosts);
    }
  }

  private final Plan plan;
  private final PrintStream progress;
  private final MetricTable metrics = new MetricTable();

  public ScaleBench(Plan plan, PrintStream progress) {
    this.plan = plan;
    this.progress = progress;
  }

  /**
   * Runs all measurements.
   *
   * @throws IOException if a list or a record that this process wrote cannot be read
   */
  public void run() throws IOException, InterruptedException {
    try {
      new StateScale(metrics).measureAll(plan.members);
    } catch (MalformedException e) {
      throw new IOException("cannot read back a written record: " + e.getMessage(), e);
    }
    ListScale lists = new ListScale(metrics);
    for (int round = 0; round < plan.rounds; round++) {
      lists.measure(plan.hosts);
      for (int members : plan.members) {
        progress.printf("round %d of %d, %d members%n", round + 1, plan.rounds, members);
        try {
          new RecordScale(plan.jar, plan.idleS, progress, metrics)
              .measure(members, (int) (ProcessHandle.current().pid() % BLOCKS));
        } catch (IOException e) {
          // A size at which the fleet fails is a result too, and its earlier measurements count.
          progress.printf("%d members: broken off: %s%n", members, e);
          metrics.add("broken off", "members", members, 1);
        }
      }
    }
  }

  /** Prints the results, and writes them as JSON if a file is given. */
  public void report(PrintStream out, Path json) throws IOException {
    metrics.print(out);
    if (json != null) {
      metrics.write(json);
    }
  }
}
