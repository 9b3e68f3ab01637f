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

/** Main code of a voter process: one member without a gateway, which reports on request. */
public final class Voter {
  /** Prefix of a reading, as log lines go to the same stream. */
  static final String READING_PREFIX = "reading ";

  private Voter() {}

  /**
   * Runs a voter until standard input ends; each input line requests a reading.
   *
   * @param member number of this member, from 0
   */
  public static void run(int members, int voters, int block, int member, Path data, PrintStream out)
      throws IOException {
    FleetLayout layout = new FleetLayout(members, voters, block);
    AtomicLong elections = new AtomicLong();
    try (FleetNode node =
            FleetNode.open(
                layout.settings(member, layout.names(), layout.addresses(), data),
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
        out.println(READING_PREFIX + reading(node, elections.get()).text());
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

  /** Returns the processor time of all threads whose names have one of the prefixes. */
  static long cpuNanos(List<String> prefixes) {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long sum = 0;
    for (ThreadInfo thread : threads.getThreadInfo(threads.getAllThreadIds())) {
      if (thread != null && prefixes.stream().anyMatch(thread.getThreadName()::startsWith)) {
        sum += threads.getThreadCpuTime(thread.getThreadId());
      }
    }
    return sum;
  }
}
