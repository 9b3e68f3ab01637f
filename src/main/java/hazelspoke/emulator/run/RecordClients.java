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
 * Those who use the record that a rehearsal's gateways share: each asks one gateway after the
 * other, by chance, to read or write a note, and notes what it was told and when. A write whose
 * answer does not come may be asked for again at another gateway, under its number. Threads of
 * their own.
 */
final class RecordClients {
  private static final int KEYS = 12;

  /** What the judge can take of one history; then the next key begins. */
  private static final int MOST_CALLS_A_KEY = 400;

  private static final int PATIENCE_MS = 2_000;

  private final List<InetSocketAddress> gateways;
  private final int clients;
  private final long seed;
  private final List<Thread> threads = new ArrayList<>();
  private final Map<String, List<Call>> histories = new TreeMap<>();
  private final AtomicLong values = new AtomicLong();
  private final long begun = System.nanoTime();
  private volatile boolean stopping;
  private long answeredAt = begun;
  private long longestGap;
  private int reads;
  private int writes;
  private int unknown;
  private int unanswered;
  private RecordMetrics figures;

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

  /** Ends them and judges what they saw; what is under way counts as not answered. */
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
      if (figures == null) {
        List<String> wrong = new ArrayList<>();
        histories.forEach(
            (key, history) -> {
              String what = Linearizability.check(history);
              if (what != null) {
                wrong.add("note " + key + ": " + what);
              }
            });
        longestGap = Math.max(longestGap, System.nanoTime() - answeredAt);
        figures =
            new RecordMetrics(
                reads,
                writes,
                unknown,
                unanswered,
                RecordMetrics.LeadershipMetrics.NONE,
                0,
                longestGap / 1e6,
                wrong);
      }
      return figures;
    }
  }

  private void run(Random random) {
    while (!stopping) {
      String key = key(random);
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
    long from = System.nanoTime() - begun;
    try (OperatorClient client = connect(random)) {
      long version = 0;
      String value = null;
      for (Fields note : client.read(PATIENCE_MS).list("notes")) {
        if (note.text("key").equals(key)) {
          version = note.number("version");
          value = note.text("value");
        }
      }
      answered(key, Call.read(from, System.nanoTime() - begun, version, value));
    } catch (IOException | MalformedException e) {
      synchronized (this) {
        unanswered++;
      }
    }
  }

  private void write(String key, Random random) {
    long from = System.nanoTime() - begun;
    String value = "v" + values.incrementAndGet();
    Command.Numbered command =
        new Command.Numbered("rehearsal/" + value, 1, new Command.Note(key, -1, value));
    int tries = 1 + random.nextInt(3);
    for (int i = 0; i < tries; i++) {
      try (OperatorClient client = connect(random)) {
        CommandResult answer = client.command(command, PATIENCE_MS);
        long to = System.nanoTime() - begun;
        answered(key, Call.write(from, to, -1, value, answer.succeeded(), answer.number()));
        return;
      } catch (IOException e) {
        // Perhaps done, perhaps not: another gateway is asked for the same.
      }
    }
    synchronized (this) {
      unknown++;
      history(key).add(Call.withUnknownEnd(from, -1, value));
    }
  }

  private synchronized void answered(String key, Call call) {
    long now = System.nanoTime();
    longestGap = Math.max(longestGap, now - answeredAt);
    answeredAt = now;
    if (call.writes()) {
      writes++;
    } else {
      reads++;
    }
    history(key).add(call);
  }

  private List<Call> history(String key) {
    return histories.computeIfAbsent(key, k -> new ArrayList<>());
  }

  /** A key that has room for more, so that long plays use ever new ones. */
  private synchronized String key(Random random) {
    int n = random.nextInt(KEYS);
    while (history("k" + n).size() >= MOST_CALLS_A_KEY) {
      n += KEYS;
    }
    return "k" + n;
  }
}
