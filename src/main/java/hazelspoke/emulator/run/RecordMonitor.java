package hazelspoke.emulator.run;

import hazelspoke.agreement.net.OperatorClient;
import hazelspoke.agreement.wire.Fields;
import hazelspoke.agreement.wire.MalformedException;
import hazelspoke.emulator.judge.RecordMetrics;
import hazelspoke.emulator.report.ProcessTimeline;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * Polls each gateway's view of the record: whether it reports itself as leader, and its index. Used
 * for charts and metrics only; the checker relies on the responses to clients. One thread per
 * gateway, as a stalled gateway responds late.
 */
final class RecordMonitor {
  private static final long POLL_INTERVAL_MS = 250;
  private static final double NANOS_PER_MS = 1e6;
  private static final int MS_PER_S = 1_000;

  /** The status of a gateway at a time in milliseconds since the start of the load. */
  private record Status(double atMs, boolean leads, long index) {}

  private final List<Queue<Status>> statuses = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private final long startNanos;
  private volatile boolean stopping;

  /**
   * Starts polling.
   *
   * @param startNanos start of the load, by {@link System#nanoTime}
   */
  RecordMonitor(List<InetSocketAddress> gateways, long startNanos) {
    this.startNanos = startNanos;
    for (InetSocketAddress at : gateways) {
      Queue<Status> observations = new ConcurrentLinkedQueue<>();
      statuses.add(observations);
      Thread thread = new Thread(() -> poll(at, observations), "record watch " + at);
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  private void poll(InetSocketAddress at, Queue<Status> observations) {
    while (!stopping) {
      try (OperatorClient client = new OperatorClient(at, RecordFile.FLEET)) {
        while (!stopping) {
          Fields status = client.status();
          boolean leads = status.text("leader").equals(status.text("self"));
          observations.add(
              new Status(
                  (System.nanoTime() - startNanos) / NANOS_PER_MS, leads, status.number("index")));
          Thread.sleep(POLL_INTERVAL_MS);
        }
      } catch (IOException | MalformedException e) {
        // The gateway is down or stalled, which is checked elsewhere.
      } catch (InterruptedException e) {
        return;
      }
      try {
        Thread.sleep(POLL_INTERVAL_MS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  void stop() {
    stopping = true;
    try {
      for (Thread thread : threads) {
        thread.interrupt();
        thread.join(TimeUnit.SECONDS.toMillis(10));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Returns the spans in which each gateway reported itself as leader. Call after {@link #stop}.
   */
  Map<String, List<ProcessTimeline.Span>> leads() {
    Map<String, List<ProcessTimeline.Span>> out = new HashMap<>();
    for (int g = 0; g < statuses.size(); g++) {
      List<ProcessTimeline.Span> spans = new ArrayList<>();
      double from = Double.NaN;
      double until = Double.NaN;
      for (Status observed : statuses.get(g)) {
        if (observed.leads) {
          from = Double.isNaN(from) ? observed.atMs : from;
          until = observed.atMs + POLL_INTERVAL_MS;
        } else if (!Double.isNaN(from)) {
          spans.add(span(from, until));
          from = Double.NaN;
        }
      }
      if (!Double.isNaN(from)) {
        spans.add(span(from, until));
      }
      if (!spans.isEmpty()) {
        out.put("g" + (g + 1), spans);
      }
    }
    return out;
  }

  private static ProcessTimeline.Span span(double from, double until) {
    return new ProcessTimeline.Span(
        Math.max(0, from), until, ProcessTimeline.Kind.LEADS, "says that it leads");
  }

  /**
   * Summarizes leadership and record growth. Call after {@link #stop}.
   *
   * @param lengthMs of the load
   */
  RecordMetrics.LeadershipMetrics lead(double lengthMs) {
    int seconds = (int) Math.ceil(lengthMs / MS_PER_S);
    long[] index = new long[seconds];
    boolean[] led = new boolean[seconds];
    for (Queue<Status> observations : statuses) {
      for (Status observed : observations) {
        int second = (int) Math.floor(observed.atMs / MS_PER_S);
        if (second >= 0 && second < seconds) {
          index[second] = Math.max(index[second], observed.index);
          led[second] |= observed.leads;
        }
      }
    }
    List<Integer> entries = new ArrayList<>();
    int secondsWithoutLeader = 0;
    long before = 0;
    for (int i = 0; i < seconds; i++) {
      long now = Math.max(before, index[i]);
      entries.add(i == 0 ? 0 : (int) (now - before));
      before = now;
      secondsWithoutLeader += led[i] ? 0 : 1;
    }
    int leads = leads().values().stream().mapToInt(List::size).sum();
    return new RecordMetrics.LeadershipMetrics(leads, secondsWithoutLeader, before, entries);
  }
}
