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
 * Looks at each gateway's view of the record now and then: who says that it leads, and how far the
 * record has come. For pictures and figures; the judge goes by what clients were answered. A thread
 * a gateway, as one that stands still answers late.
 */
final class RecordWatch {
  private static final long EVERY_MS = 250;
  private static final double MS = 1e6;
  private static final int SECOND_MS = 1_000;

  /** What one gateway said at a time, in milliseconds since the load began. */
  private record Look(double atMs, boolean leads, long index) {}

  private final List<Queue<Look>> looks = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private final long zero;
  private volatile boolean stopping;

  /**
   * Begins to look.
   *
   * @param zero when the load begins, by {@link System#nanoTime}
   */
  RecordWatch(List<InetSocketAddress> gateways, long zero) {
    this.zero = zero;
    for (InetSocketAddress at : gateways) {
      Queue<Look> seen = new ConcurrentLinkedQueue<>();
      looks.add(seen);
      Thread thread = new Thread(() -> watch(at, seen), "record watch " + at);
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  private void watch(InetSocketAddress at, Queue<Look> seen) {
    while (!stopping) {
      try (OperatorClient client = new OperatorClient(at, RecordFile.FLEET)) {
        while (!stopping) {
          Fields status = client.status();
          boolean leads = status.text("leader").equals(status.text("self"));
          seen.add(new Look((System.nanoTime() - zero) / MS, leads, status.number("index")));
          Thread.sleep(EVERY_MS);
        }
      } catch (IOException | MalformedException e) {
        // It is down or stands still, which is what others look at.
      } catch (InterruptedException e) {
        return;
      }
      try {
        Thread.sleep(EVERY_MS);
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

  /** When each gateway said that it leads; those that never did are left out. After the end. */
  Map<String, List<ProcessTimeline.Span>> leads() {
    Map<String, List<ProcessTimeline.Span>> out = new HashMap<>();
    for (int g = 0; g < looks.size(); g++) {
      List<ProcessTimeline.Span> spans = new ArrayList<>();
      double from = Double.NaN;
      double until = Double.NaN;
      for (Look look : looks.get(g)) {
        if (look.leads) {
          from = Double.isNaN(from) ? look.atMs : from;
          until = look.atMs + EVERY_MS;
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
   * What was seen of who leads. After the end.
   *
   * @param lengthMs of the load
   */
  RecordMetrics.LeadershipMetrics lead(double lengthMs) {
    int seconds = (int) Math.ceil(lengthMs / SECOND_MS);
    long[] index = new long[seconds];
    boolean[] led = new boolean[seconds];
    for (Queue<Look> seen : looks) {
      for (Look look : seen) {
        int second = (int) Math.floor(look.atMs / SECOND_MS);
        if (second >= 0 && second < seconds) {
          index[second] = Math.max(index[second], look.index);
          led[second] |= look.leads;
        }
      }
    }
    List<Integer> entries = new ArrayList<>();
    int without = 0;
    long before = 0;
    for (int i = 0; i < seconds; i++) {
      long now = Math.max(before, index[i]);
      entries.add(i == 0 ? 0 : (int) (now - before));
      before = now;
      without += led[i] ? 0 : 1;
    }
    int leads = leads().values().stream().mapToInt(List::size).sum();
    return new RecordMetrics.LeadershipMetrics(leads, without, before, entries);
  }
}
