package hazelspoke.bench.scale;

import hazelspoke.agreement.net.FleetNode;
import hazelspoke.agreement.net.Traffic;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/** A voter's process: a member and nothing else, which says how it is whenever it is asked. */
public final class Voter {
  /** What it answers begins with this, as its log goes the same way. */
  static final String MARK = "reading ";

  private Voter() {}

  /**
   * Runs one until its input ends; each line of that asks for a reading.
   *
   * @param member which of them it is, from 0
   */
  public static void run(int members, int voters, int block, int member, Path data, PrintStream out)
      throws IOException {
    Places places = new Places(members, voters, block);
    AtomicLong elections = new AtomicLong();
    try (FleetNode node =
            FleetNode.open(
                places.settings(member, places.names(), places.addresses(), data),
                line -> {
                  if (line.contains("event=leads")) {
                    elections.incrementAndGet();
                  }
                },
                () -> {});
        BufferedReader in =
            new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII))) {
      String line = in.readLine();
      while (line != null) {
        if (line.equals("collect")) {
          System.gc();
        }
        out.println(MARK + reading(node, elections.get()).text());
        out.flush();
        line = in.readLine();
      }
    }
  }

  private static Reading reading(FleetNode node, long elections) throws IOException {
    Traffic traffic = node.traffic();
    return new Reading(
        node.hasJoined() && node.hasValidLease(),
        node.isLeader(),
        node.index(),
        cpuNanos(List.of(FleetNode.THREAD)),
        ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed(),
        traffic.receivedBytes(),
        traffic.sentBytes(),
        descriptors(),
        elections);
  }

  private static long descriptors() throws IOException {
    try (Stream<Path> open = Files.list(Path.of("/proc/self/fd"))) {
      return open.count();
    }
  }

  /** What the threads have used whose names begin so. */
  static long cpuNanos(List<String> names) {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long sum = 0;
    for (ThreadInfo thread : threads.getThreadInfo(threads.getAllThreadIds())) {
      if (thread != null && names.stream().anyMatch(thread.getThreadName()::startsWith)) {
        sum += threads.getThreadCpuTime(thread.getThreadId());
      }
    }
    return sum;
  }
}
