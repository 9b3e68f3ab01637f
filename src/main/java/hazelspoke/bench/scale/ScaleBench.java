package hazelspoke.bench.scale;

import hazelspoke.agreement.wire.MalformedException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

/** All slopes, over several sizes. */
public final class ScaleBench {
  /** So many places for plays beside one another. */
  private static final int BLOCKS = 100;

  /**
   * What to measure.
   *
   * @param members the sizes of fleets
   * @param hosts the lengths of lists
   * @param rounds how often each, in turn
   * @param idleS how long a fleet is watched at rest, in s
   * @param jar of the version whose voters are measured
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
  private final Figures figures = new Figures();

  public ScaleBench(Plan plan, PrintStream progress) {
    this.plan = plan;
    this.progress = progress;
  }

  /**
   * Measures all of it.
   *
   * @throws IOException if a list or a record that was written here cannot be read
   */
  public void run() throws IOException, InterruptedException {
    try {
      new StateScale(figures).play(plan.members);
    } catch (MalformedException e) {
      throw new IOException("a record that was written cannot be read: " + e.getMessage(), e);
    }
    ListScale lists = new ListScale(figures);
    for (int round = 0; round < plan.rounds; round++) {
      lists.play(plan.hosts);
      for (int members : plan.members) {
        progress.printf("round %d of %d, %d members%n", round + 1, plan.rounds, members);
        try {
          new RecordScale(plan.jar, plan.idleS, progress, figures)
              .play(members, (int) (ProcessHandle.current().pid() % BLOCKS));
        } catch (IOException e) {
          // A size that a fleet does not bear is a figure too, and what was measured of it counts.
          progress.printf("%d members: broken off: %s%n", members, e);
          figures.add("broken off", "members", members, 1);
        }
      }
    }
  }

  /** Prints the page; writes it as JSON too where a file is given. */
  public void report(PrintStream out, Path json) throws IOException {
    figures.print(out);
    if (json != null) {
      figures.write(json);
    }
  }
}
