package hazelspoke.bench.scale;

import hazelspoke.agreement.record.Command;
import hazelspoke.agreement.record.FleetRecord;
import hazelspoke.agreement.wire.MalformedException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;

/** Measures the size of the record's state, and the processor time to write and read it. */
final class StateScale {
  private static final int REPETITIONS = 40;
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private final MetricTable metrics;

  StateScale(MetricTable metrics) {
    this.metrics = metrics;
  }

  /** Returns a record of the given members, notes of 200 characters, and command origins. */
  private static FleetRecord record(int members, int notes, int origins) {
    FleetRecord record = new FleetRecord();
    long index = 0;
    for (int i = 0; i < members; i++) {
      String name = FleetLayout.name(i);
      index++;
      record.apply(
          index,
          new Command.Numbered(
              name + "/0123456789abcdef/1000001",
              1,
              new Command.Join(name, "0123456789abcdef", 1 << 24, "10.1.200.200:7400")));
    }
    for (int i = 0; i < Math.max(notes, origins); i++) {
      index++;
      record.apply(
          index,
          new Command.Numbered(
              "operator/" + (i < origins ? i : 0) + "/0123456789abcdef",
              i + 1,
              new Command.Note("n" + i % Math.max(1, notes), -1, "v".repeat(200))));
    }
    return record;
  }

  void measureAll(List<Integer> members) throws MalformedException {
    for (int size : members) {
      measure("members alone", size, record(size, 0, 0));
      measure("members, 256 notes of 200 characters", size, record(size, 256, 0));
      measure("members, 256 notes, 4,096 origins", size, record(size, 256, 4_096));
    }
  }

  private void measure(String description, int members, FleetRecord record)
      throws MalformedException {
    byte[] bytes = record.bytes();
    metrics.add("state of " + description + ", KB", "members", members, bytes.length / 1e3);
    List<Double> writeMs = new ArrayList<>();
    List<Double> readMs = new ArrayList<>();
    for (int i = 0; i < REPETITIONS; i++) {
      long beginNanos = THREADS.getCurrentThreadCpuTime();
      byte[] written = record.bytes();
      long writtenNanos = THREADS.getCurrentThreadCpuTime();
      FleetRecord.read(written);
      long endNanos = THREADS.getCurrentThreadCpuTime();
      if (i >= REPETITIONS / 2) {
        writeMs.add((writtenNanos - beginNanos) / 1e6);
        readMs.add((endNanos - writtenNanos) / 1e6);
      }
    }
    metrics.add(
        "writing " + description + ", ms", "members", members, LinearFit.quantile(writeMs, 0.5));
    metrics.add(
        "reading " + description + ", ms", "members", members, LinearFit.quantile(readMs, 0.5));
  }
}
