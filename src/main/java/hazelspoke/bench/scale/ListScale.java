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
 * One gateway's list and decisions by hosts, classes and tenants: bytes, processor time of the loop
 * and heap. The module and the reader of lists as they are in service, with no sockets round them.
 */
final class ListScale {
  private static final String BY = "hosts";
  private static final int ZONES = 6;
  private static final int TIMES = 12;
  private static final int REQUESTS = 4_000;
  private static final int OPEN = 40;
  private static final int HOSTS_OF_SETTINGS = 1_150;
  private static final List<Integer> CLASSES = List.of(3, 55, 110, 220);
  private static final List<Integer> TENANTS = List.of(100, 6_000, 12_000, 24_000);
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final Names NAMES =
      new Names(List.of(), List.of(), zones(), List.of("m2"), List.of());

  private final Figures figures;

  ListScale(Figures figures) {
    this.figures = figures;
  }

  private static List<String> zones() {
    return List.of("a", "b", "c", "d", "e", "f");
  }

  void play(List<Integer> hosts) throws IOException {
    for (int size : hosts) {
      list(size);
      decisions(size);
    }
    for (int classes : CLASSES) {
      figures.add(
          "a module's heap with 1,150 hosts, MB",
          "classes",
          classes,
          heap(HOSTS_OF_SETTINGS, classes, 1) / 1e6);
    }
    for (int tenants : TENANTS) {
      figures.add(
          "a module's heap with 1,150 hosts and 3 classes, MB",
          "tenants",
          tenants,
          heap(HOSTS_OF_SETTINGS, 3, tenants) / 1e6);
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

  private static byte[] line(boolean whole, int index, int from, int to, String status) {
    List<String> entries = new ArrayList<>();
    for (int i = from; i < to; i++) {
      entries.add(entry(i, status));
    }
    String text =
        "{\"index\":"
            + index
            + ",\"snapshot\":"
            + whole
            + ",\"endpoints\":["
            + String.join(",", entries)
            + "]}\n";
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /** Reads a line as it comes from a socket, and returns what it says. */
  private static HostList.Update read(byte[] line) throws IOException {
    HostListReader reader = new HostListReader(NAMES);
    List<HostList.Update> updates = reader.feed(line);
    return updates.get(updates.size() - 1);
  }

  private static MembersUpdate told(HostList.Update update) {
    return new MembersUpdate(
        update.complete() ? Kind.FULL : Kind.DELTA,
        update.version(),
        update.hosts().stream().map(HostList.Listed::entry).toList());
  }

  private void list(int hosts) throws IOException {
    byte[] whole = line(true, 1, 0, hosts, "Ready");
    byte[] change = line(false, 2, 0, 1, "Terminating");
    figures.add("a whole list, KB", BY, hosts, whole.length / 1e3);
    figures.add("a change of one host, B", BY, hosts, change.length);
    List<Double> readWhole = new ArrayList<>();
    List<Double> takeWhole = new ArrayList<>();
    List<Double> changed = new ArrayList<>();
    LcStarBalancer module = module(3, 1, 1);
    for (int i = 0; i < TIMES; i++) {
      long begun = THREADS.getCurrentThreadCpuTime();
      HostList.Update update = read(whole);
      long between = THREADS.getCurrentThreadCpuTime();
      module.onMembers(i, told(update));
      long taken = THREADS.getCurrentThreadCpuTime();
      module.onMembers(i, told(read(change)));
      long done = THREADS.getCurrentThreadCpuTime();
      if (i >= TIMES / 2) {
        readWhole.add((between - begun) / 1e6);
        takeWhole.add((taken - between) / 1e6);
        changed.add((done - taken) / 1e3);
      }
    }
    figures.add("reading a whole list, ms of the loop", BY, hosts, Slope.quantile(readWhole, 0.5));
    figures.add("taking a whole list, ms of the loop", BY, hosts, Slope.quantile(takeWhole, 0.5));
    figures.add("reading and taking a change, us", BY, hosts, Slope.quantile(changed, 0.5));
    module.close();
  }

  private void decisions(int hosts) throws IOException {
    figures.add("a module's heap with 3 classes, MB", BY, hosts, heap(hosts, 3, 1) / 1e6);
    figures.add("a request's decisions, us", BY, hosts, request(hosts, 0));
    figures.add("a request's decisions while one host is cold, us", BY, hosts, request(hosts, 1));
  }

  /** What a request costs the module, from its coming to its end, with some open meanwhile. */
  private static double request(int hosts, int cold) throws IOException {
    Sent sent = new Sent();
    LcStarBalancer module = new LcStarBalancer(settings(3, 1), 1, 0, sent);
    module.onMembers(0, told(read(line(true, 1, 0, hosts, "Ready"))));
    double now = 1_000_000;
    for (int i = 0; i < cold; i++) {
      HostEntry started = told(read(line(false, 2, i, i + 1, "Ready"))).entries().get(0);
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
    long begun = 0;
    for (int i = 0; i < 2 * REQUESTS; i++) {
      if (i == REQUESTS) {
        begun = THREADS.getCurrentThreadCpuTime();
      }
      now += 1;
      String id = Integer.toString(i);
      module.onRequest(
          now, new RequestInfo(id, i % 3, 0, now + 2_000, 5, "k" + i % 2_000, false, false));
      if (sent.open.size() > OPEN) {
        String oldest = sent.open.keySet().iterator().next();
        String host = sent.open.remove(oldest);
        module.onOutcome(now, new Outcome(oldest, host, 0, Outcome.Result.OK, 20, true, List.of()));
      }
    }
    double us = (THREADS.getCurrentThreadCpuTime() - begun) / 1e3 / REQUESTS;
    module.close();
    return us;
  }

  private static double heap(int hosts, int classes, int tenants) throws IOException {
    long before = used();
    LcStarBalancer module = module(classes, tenants, hosts);
    long after = used();
    module.close();
    return after - before;
  }

  private static long used() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private static LcStarBalancer module(int classes, int tenants, int hosts) throws IOException {
    LcStarBalancer module = new LcStarBalancer(settings(classes, tenants), 1, 0, new Sent());
    module.onMembers(0, told(read(line(true, 1, 0, hosts, "Ready"))));
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
    List<Object> of = new ArrayList<>();
    for (int i = 0; i < tenants; i++) {
      of.add(Map.of("name", "t" + i, "share", 1.0 / tenants));
    }
    Map<String, Object> settings = new LinkedHashMap<>();
    settings.put("areas", new ArrayList<Object>(zones()));
    settings.put("quantum", 1.0);
    settings.put("instances", 540.0);
    settings.put("discovery", "on_request");
    settings.put("extra", Map.of("warm_keys", true));
    settings.put("grades", grades);
    settings.put("tenants", of);
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

  /** Keeps where requests went; all else that the module asks for is passed over. */
  private static final class Sent implements Actions {
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
