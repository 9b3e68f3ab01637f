package hazelspoke.emulator.run;

import hazelspoke.agreement.net.OperatorClient;
import hazelspoke.agreement.record.Command;
import hazelspoke.agreement.record.CommandResult;
import hazelspoke.agreement.wire.Fields;
import hazelspoke.agreement.wire.MalformedException;
import hazelspoke.emulator.judge.Linearizability;
import hazelspoke.emulator.judge.Linearizability.Call;
import hazelspoke.emulator.judge.RecordMetrics;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients of the record that a rehearsal's gateways share. Each reads or writes notes at randomly
 * chosen gateways and logs the calls with their results and times. A write without a response may
 * be retried at another gateway under the same number. Every client has its own thread.
 */
final class RecordClients {
  private static final int KEYS = 12;

  /** Limit of the linearizability check for one history; then a new key is used. */
  private static final int MAX_CALLS_PER_KEY = 400;

  private static final int CALL_TIMEOUT_MS = 2_000;

  private final List<InetSocketAddress> gateways;
  private final int clients;
  private final long seed;
  private final List<Thread> threads = new ArrayList<>();
  private final Map<String, List<Call>> histories = new TreeMap<>();
  private final AtomicLong values = new AtomicLong();
  private final long startNanos = System.nanoTime();
  private volatile boolean stopping;
  private long lastAnswerNanos = startNanos;
  private long longestGapNanos;
  private int reads;
  private int writes;
  private int unknown;
  private int unanswered;
  private RecordMetrics metrics;

  RecordClients(List<InetSocketAddress> gateways, int clients, long seed) {
    this.clients = clients;
    this.gateways = gateways;
    this.seed = seed;
  }

  void start() {
    for (int i = 0; i < clients; i++) {
      Random random = new Random(seed * 31 + i);
      Thread thread = new Thread(() -> run(random), "record client " + i);
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  /** Stops the clients and checks their histories; open calls count as unanswered. */
  RecordMetrics stop() {
    stopping = true;
    try {
      for (Thread thread : threads) {
        thread.join(TimeUnit.SECONDS.toMillis(20));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    synchronized (this) {
      if (metrics == null) {
        List<String> errors = new ArrayList<>();
        histories.forEach(
            (key, history) -> {
              String what = Linearizability.check(history);
              if (what != null) {
                errors.add("note " + key + ": " + what);
              }
            });
        longestGapNanos = Math.max(longestGapNanos, System.nanoTime() - lastAnswerNanos);
        metrics =
            new RecordMetrics(
                reads,
                writes,
                unknown,
                unanswered,
                RecordMetrics.LeadershipMetrics.NONE,
                0,
                longestGapNanos / 1e6,
                errors);
      }
      return metrics;
    }
  }

  private void run(Random random) {
    while (!stopping) {
      String key = chooseKey(random);
      if (random.nextInt(3) == 0) {
        read(key, random);
      } else {
        write(key, random);
      }
      try {
        Thread.sleep(5 + random.nextInt(40));
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private OperatorClient connect(Random random) throws IOException {
    InetSocketAddress at = gateways.get(random.nextInt(gateways.size()));
    return new OperatorClient(at, RecordFile.FLEET);
  }

  private void read(String key, Random random) {
    long from = System.nanoTime() - startNanos;
    try (OperatorClient client = connect(random)) {
      long version = 0;
      String value = null;
      for (Fields note : client.read(CALL_TIMEOUT_MS).list("notes")) {
        if (note.text("key").equals(key)) {
          version = note.number("version");
          value = note.text("value");
        }
      }
      recordAnswer(key, Call.read(from, System.nanoTime() - startNanos, version, value));
    } catch (IOException | MalformedException e) {
      synchronized (this) {
        unanswered++;
      }
    }
  }

  private void write(String key, Random random) {
    long from = System.nanoTime() - startNanos;
    String value = "v" + values.incrementAndGet();
    Command.Numbered command =
        new Command.Numbered("rehearsal/" + value, 1, new Command.Note(key, -1, value));
    int maxAttempts = 1 + random.nextInt(3);
    for (int i = 0; i < maxAttempts; i++) {
      try (OperatorClient client = connect(random)) {
        CommandResult answer = client.command(command, CALL_TIMEOUT_MS);
        long to = System.nanoTime() - startNanos;
        recordAnswer(key, Call.write(from, to, -1, value, answer.succeeded(), answer.number()));
        return;
      } catch (IOException e) {
        // The outcome is unknown: the same command is sent to another gateway.
      }
    }
    synchronized (this) {
      unknown++;
      historyOf(key).add(Call.withUnknownEnd(from, -1, value));
    }
  }

  private synchronized void recordAnswer(String key, Call call) {
    long now = System.nanoTime();
    longestGapNanos = Math.max(longestGapNanos, now - lastAnswerNanos);
    lastAnswerNanos = now;
    if (call.writes()) {
      writes++;
    } else {
      reads++;
    }
    historyOf(key).add(call);
  }

  private List<Call> historyOf(String key) {
    return histories.computeIfAbsent(key, k -> new ArrayList<>());
  }

  /** Returns a key whose history is below the limit; long runs move on to new keys. */
  private synchronized String chooseKey(Random random) {
    int n = random.nextInt(KEYS);
    while (historyOf("k" + n).size() >= MAX_CALLS_PER_KEY) {
      n += KEYS;
    }
    return "k" + n;
  }
}
