package hazelspoke.bench.scale;

import hazelspoke.core.HostList;
import hazelspoke.core.Names;
import hazelspoke.discovery.HostListReader;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import ternscale.adapter.JsonTree;
import ternscale.adapter.SettingsReader;
import ternscale.api.Actions;
import ternscale.api.HostEntry;
import ternscale.api.MembersUpdate;
import ternscale.api.MembersUpdate.Kind;
import ternscale.api.Outcome;
import ternscale.api.RequestInfo;
import ternscale.api.Settings;
import ternscale.policy.LcStarBalancer;

/**
 * Measures the host list and the decisions of one gateway by hosts, classes and tenants: bytes,
 * processor time of the event loop, and heap. Runs the production balancer and list reader without
 * sockets.
 */
final class ListScale {
  private static final String SIZE_UNIT = "hosts";
  private static final int ZONES = 6;
  private static final int REPETITIONS = 12;
  private static final int MEASURED_REQUESTS = 4_000;
  private static final int MAX_OPEN = 40;
  private static final int HOSTS_FOR_SETTINGS = 1_150;
  private static final List<Integer> CLASSES = List.of(3, 55, 110, 220);
  private static final List<Integer> TENANTS = List.of(100, 6_000, 12_000, 24_000);
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final Names NAMES =
      new Names(List.of(), List.of(), zones(), List.of("m2"), List.of());

  private final MetricTable metrics;

  ListScale(MetricTable metrics) {
    this.metrics = metrics;
  }

  private static List<String> zones() {
    return List.of("a", "b", "c", "d", "e", "f");
  }

  void measure(List<Integer> hosts) throws IOException {
    for (int size : hosts) {
      measureList(size);
      measureDecisions(size);
    }
    for (int classes : CLASSES) {
      metrics.add(
          "a module's heap with 1,150 hosts, MB",
          "classes",
          classes,
          heapBytes(HOSTS_FOR_SETTINGS, classes, 1) / 1e6);
    }
    for (int tenants : TENANTS) {
      metrics.add(
          "a module's heap with 1,150 hosts and 3 classes, MB",
          "tenants",
          tenants,
          heapBytes(HOSTS_FOR_SETTINGS, 3, tenants) / 1e6);
    }
  }

  private static String entry(int host, String status) {
    return String.format(
        Locale.ROOT,
        "{\"name\":\"s-%08x\",\"address\":\"10.%d.%d.%d:8081\",\"zone\":\"%s\",\"type\":\"m2\","
            + "\"group\":%d,\"status\":\"%s\",\"weight\":1.0,\"since_ms\":0}",
        host * 0x9E3779B1,
        host >> 16,
        host >> 8 & 255,
        host & 255,
        zones().get(host % ZONES),
        host % 9,
        status);
  }

  private static byte[] line(boolean isSnapshot, int index, int from, int to, String status) {
    List<String> entries = new ArrayList<>();
    for (int i = from; i < to; i++) {
      entries.add(entry(i, status));
    }
    String text =
        "{\"index\":"
            + index
            + ",\"snapshot\":"
            + isSnapshot
            + ",\"endpoints\":["
            + String.join(",", entries)
            + "]}\n";
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /** Parses a line as received from a socket. */
  private static HostList.Update read(byte[] line) throws IOException {
    HostListReader reader = new HostListReader(NAMES);
    List<HostList.Update> updates = reader.feed(line);
    return updates.get(updates.size() - 1);
  }

  private static MembersUpdate toMembersUpdate(HostList.Update update) {
    return new MembersUpdate(
        update.complete() ? Kind.FULL : Kind.DELTA,
        update.version(),
        update.hosts().stream().map(HostList.Listed::entry).toList());
  }

  private void measureList(int hosts) throws IOException {
    byte[] whole = line(true, 1, 0, hosts, "Ready");
    byte[] change = line(false, 2, 0, 1, "Terminating");
    metrics.add("a whole list, KB", SIZE_UNIT, hosts, whole.length / 1e3);
    metrics.add("a change of one host, B", SIZE_UNIT, hosts, change.length);
    List<Double> readWholeMs = new ArrayList<>();
    List<Double> applyWholeMs = new ArrayList<>();
    List<Double> changeUs = new ArrayList<>();
    LcStarBalancer module = module(3, 1, 1);
    for (int i = 0; i < REPETITIONS; i++) {
      long beginNanos = THREADS.getCurrentThreadCpuTime();
      HostList.Update update = read(whole);
      long readNanos = THREADS.getCurrentThreadCpuTime();
      module.onMembers(i, toMembersUpdate(update));
      long appliedNanos = THREADS.getCurrentThreadCpuTime();
      module.onMembers(i, toMembersUpdate(read(change)));
      long endNanos = THREADS.getCurrentThreadCpuTime();
      if (i >= REPETITIONS / 2) {
        readWholeMs.add((readNanos - beginNanos) / 1e6);
        applyWholeMs.add((appliedNanos - readNanos) / 1e6);
        changeUs.add((endNanos - appliedNanos) / 1e3);
      }
    }
    metrics.add(
        "reading a whole list, ms of the loop",
        SIZE_UNIT,
        hosts,
        LinearFit.quantile(readWholeMs, 0.5));
    metrics.add(
        "taking a whole list, ms of the loop",
        SIZE_UNIT,
        hosts,
        LinearFit.quantile(applyWholeMs, 0.5));
    metrics.add(
        "reading and taking a change, us", SIZE_UNIT, hosts, LinearFit.quantile(changeUs, 0.5));
    module.close();
  }

  private void measureDecisions(int hosts) throws IOException {
    metrics.add(
        "a module's heap with 3 classes, MB", SIZE_UNIT, hosts, heapBytes(hosts, 3, 1) / 1e6);
    metrics.add("a request's decisions, us", SIZE_UNIT, hosts, requestMicros(hosts, 0));
    metrics.add(
        "a request's decisions while one host is cold, us",
        SIZE_UNIT,
        hosts,
        requestMicros(hosts, 1));
  }

  /**
   * Returns the processor time per request in us, with up to {@code MAX_OPEN} requests in flight.
   */
  private static double requestMicros(int hosts, int cold) throws IOException {
    SentRequests sent = new SentRequests();
    LcStarBalancer module = new LcStarBalancer(settings(3, 1), 1, 0, sent);
    module.onMembers(0, toMembersUpdate(read(line(true, 1, 0, hosts, "Ready"))));
    double now = 1_000_000;
    for (int i = 0; i < cold; i++) {
      HostEntry started = toMembersUpdate(read(line(false, 2, i, i + 1, "Ready"))).entries().get(0);
      module.onMembers(
          now,
          new MembersUpdate(
              Kind.DELTA,
              2,
              List.of(
                  new HostEntry(
                      started.host(),
                      started.weight(),
                      started.hardwareType(),
                      started.zone(),
                      started.cell(),
                      started.availability(),
                      now))));
    }
    long beginNanos = 0;
    for (int i = 0; i < 2 * MEASURED_REQUESTS; i++) {
      if (i == MEASURED_REQUESTS) {
        beginNanos = THREADS.getCurrentThreadCpuTime();
      }
      now += 1;
      String id = Integer.toString(i);
      module.onRequest(
          now, new RequestInfo(id, i % 3, 0, now + 2_000, 5, "k" + i % 2_000, false, false));
      if (sent.open.size() > MAX_OPEN) {
        String oldest = sent.open.keySet().iterator().next();
        String host = sent.open.remove(oldest);
        module.onOutcome(now, new Outcome(oldest, host, 0, Outcome.Result.OK, 20, true, List.of()));
      }
    }
    double us = (THREADS.getCurrentThreadCpuTime() - beginNanos) / 1e3 / MEASURED_REQUESTS;
    module.close();
    return us;
  }

  private static double heapBytes(int hosts, int classes, int tenants) throws IOException {
    long before = usedHeapBytes();
    LcStarBalancer module = module(classes, tenants, hosts);
    long after = usedHeapBytes();
    module.close();
    return after - before;
  }

  private static long usedHeapBytes() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private static LcStarBalancer module(int classes, int tenants, int hosts) throws IOException {
    LcStarBalancer module =
        new LcStarBalancer(settings(classes, tenants), 1, 0, new SentRequests());
    module.onMembers(0, toMembersUpdate(read(line(true, 1, 0, hosts, "Ready"))));
    return module;
  }

  private static Settings settings(int classes, int tenants) {
    List<Object> grades = new ArrayList<>();
    for (int i = 0; i < classes; i++) {
      Map<String, Object> grade = new LinkedHashMap<>();
      grade.put("name", "c" + i);
      grade.put("effect", List.of("by_key", "once", "repeatable").get(i % 3));
      grade.put("group", i % 3 == 0 ? "zone" : "all");
      grade.put("aim", 500.0);
      grade.put("hard_limit", 2_000.0);
      grade.put("window", 2_000.0);
      grades.add(grade);
    }
    List<Object> tenantSettings = new ArrayList<>();
    for (int i = 0; i < tenants; i++) {
      tenantSettings.add(Map.of("name", "t" + i, "share", 1.0 / tenants));
    }
    Map<String, Object> settings = new LinkedHashMap<>();
    settings.put("areas", new ArrayList<Object>(zones()));
    settings.put("quantum", 1.0);
    settings.put("instances", 540.0);
    settings.put("discovery", "on_request");
    settings.put("extra", Map.of("warm_keys", true));
    settings.put("grades", grades);
    settings.put("tenants", tenantSettings);
    settings.put(
        "limits",
        Map.of(
            "send_cap", 3.0, "cancelling", true, "connect_timeout", 250.0, "conn_idle", 5_000.0));
    settings.put(
        "rules",
        Map.of(
            "cold_from",
            0.5,
            "cold",
            1e9,
            "fall_multiple",
            3.0,
            "fall",
            3_000.0,
            "must_ask_in",
            10_000.0));
    return SettingsReader.read(JsonTree.of("settings", settings));
  }

  /** Records the host of each open request; ignores all other actions. */
  private static final class SentRequests implements Actions {
    private final LinkedHashMap<String, String> open = new LinkedHashMap<>();

    @Override
    public void send(String requestId, String host, double timeoutMs) {
      open.put(requestId, host);
    }

    @Override
    public void reject(String requestId, double retryAfterMs) {}

    @Override
    public void fail(String requestId) {}

    @Override
    public void cancel(String requestId, int attempt) {}

    @Override
    public void probe(String host) {}

    @Override
    public void closeIdle(String host) {}

    @Override
    public void setTimer(long timer, double delayMs) {}

    @Override
    public void poll() {}

    @Override
    public void watch(boolean on) {}

    @Override
    public void sendToPeer(int peer, String data) {}

    @Override
    public void log(String line) {}
  }
}
