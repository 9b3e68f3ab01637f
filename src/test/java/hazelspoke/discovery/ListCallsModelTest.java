package hazelspoke.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import hazelspoke.core.HostList;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ternscale.api.HostEntry;
import ternscale.api.HostEntry.Availability;

/**
 * Drives the decisions through interleavings of changes, moves, answers, lines in pieces, late
 * lines and cut connections of one service with several addresses, against what the service wrote.
 */
class ListCallsModelTest {
  private static final int HOSTS = 3;
  private static final int SEQUENCES = 4_000;
  private static final int STEPS = 40;

  /** One line on its way to the gateway: the state of the service when it was written. */
  private record Line(long version, boolean isComplete, Map<String, HostList.Listed> hosts) {}

  /** The service's side of a call. */
  private static final class Connection {
    private final Deque<Line> onTheWay = new ArrayDeque<>();
    private long told = -1;
  }

  private static final class Model implements ListCalls.Listener {
    private final Random random;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final ListCalls calls;
    private final Map<ListCall, Connection> open = new HashMap<>();
    private final Map<String, HostList.Listed> service = new HashMap<>();
    private final Map<String, Long> changedAt = new HashMap<>();
    private final Map<String, HostList.Listed> used = new HashMap<>();

    /** The newest version of a host that was delivered, and its entry then. */
    private final Map<String, Long> deliveredAt = new HashMap<>();

    private final Map<String, HostList.Listed> delivered = new HashMap<>();
    private long version = 1;
    private double nowMs;
    private boolean isMoving;
    private final StringBuilder trace = new StringBuilder();

    Model(long seed) {
      random = new Random(seed);
      for (int i = 0; i < 3; i++) {
        addresses.add(new InetSocketAddress("127.0.0.1", 1 + i));
      }
      for (int i = 0; i < HOSTS; i++) {
        set(host(i, Availability.UP));
      }
      used.putAll(service);
      calls = new ListCalls(addresses.get(0), version, this);
    }

    private static HostList.Listed host(int number, Availability availability) {
      return new HostList.Listed(
          new HostEntry("h" + number, 1, 0, 0, 0, availability, 0),
          new InetSocketAddress("127.0.0.1", 100 + number));
    }

    private void set(HostList.Listed host) {
      service.put(host.entry().host(), host);
      changedAt.put(host.entry().host(), version);
    }

    @Override
    public void close(ListCall call) {
      assertThat(isMoving && open.size() < ListCalls.MAX_WAITING)
          .as("a call closed by a move")
          .isFalse();
      note("close", call);
      open.remove(call);
    }

    @Override
    public void apply(HostList.Update update) {
      if (update.complete()) {
        used.clear();
      }
      update.hosts().forEach(host -> used.put(host.entry().host(), host));
    }

    void step() {
      nowMs += 100;
      switch (random.nextInt(10)) {
        case 0 -> change();
        case 1, 2 -> move();
        case 3 -> pick().ifPresent(this::cut);
        case 4, 5 -> pick().ifPresent(this::write);
        case 6 -> pick().ifPresent(this::deliverPart);
        default -> pick().ifPresent(this::deliver);
      }
      if (calls.needsWatch()) {
        openWatch();
      }
      assertThat(open.size()).isLessThanOrEqualTo(ListCalls.MAX_WAITING + 1);
      checkNothingForgotten();
    }

    private void note(String text, ListCall call) {
      trace.append('\n').append(text);
      if (call != null) {
        trace.append(" of ").append(call.order).append(" at ").append(call.endpoint);
        trace.append(' ').append(call.state);
      }
    }

    private void change() {
      version++;
      Availability[] states = Availability.values();
      HostList.Listed changed = host(random.nextInt(HOSTS), states[random.nextInt(states.length)]);
      set(changed);
      note("change " + version + " " + changed.entry(), null);
    }

    private void move() {
      isMoving = true;
      calls.moveTo(addresses.get(random.nextInt(addresses.size())));
      openWatch();
      isMoving = false;
    }

    private void openWatch() {
      ListCall call = calls.openWatch(nowMs, 2);
      note("open from " + call.from, call);
      open.put(call, new Connection());
    }

    private Optional<ListCall> pick() {
      List<ListCall> candidates = new ArrayList<>(open.keySet());
      candidates.sort((a, b) -> Long.compare(a.order, b.order));
      return candidates.isEmpty()
          ? Optional.empty()
          : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    /** The service writes what a call has not been told. */
    private void write(ListCall call) {
      Connection connection = open.get(call);
      boolean isComplete = connection.told < 0 && call.from == 0;
      long after = Math.max(connection.told, call.from);
      Map<String, HostList.Listed> hosts = new HashMap<>();
      service.forEach(
          (name, host) -> {
            boolean isGone = host.entry().availability() == Availability.GONE;
            if (isComplete ? !isGone : changedAt.get(name) > after) {
              hosts.put(name, host);
            }
          });
      connection.told = version;
      note("write " + version, call);
      connection.onTheWay.add(new Line(version, isComplete, hosts));
    }

    private void cut(ListCall call) {
      note("cut", call);
      open.remove(call);
      boolean hasStandby =
          open.keySet().stream().anyMatch(other -> other.state == ListCall.State.STANDBY);
      calls.onEnded(call);
      assertThat(hasStandby && calls.active() == null).as("a standby that is not used").isFalse();
    }

    private void deliverPart(ListCall call) {
      Line line = open.get(call).onTheWay.peek();
      if (line != null && !line.hosts.isEmpty()) {
        HostList.Listed first = line.hosts.get(new TreeSet<>(line.hosts.keySet()).first());
        note("part " + first.entry(), call);
        calls.onUpdate(call, new HostList.Update(false, -1, List.of(first)), nowMs);
        told(first.entry().host(), line);
      }
    }

    private void deliver(ListCall call) {
      Line line = open.get(call).onTheWay.poll();
      if (line == null) {
        return;
      }
      note("deliver " + line.version + (line.isComplete ? " complete" : ""), call);
      HostList.Update update =
          new HostList.Update(line.isComplete, line.version, List.copyOf(line.hosts.values()));
      calls.onUpdate(call, update, nowMs);
      // A list of a former address that omits a host is not used while the configured one speaks.
      boolean isKeptAside = call.state == ListCall.State.STANDBY;
      for (int i = 0; i < HOSTS; i++) {
        String name = "h" + i;
        boolean isTold = (line.isComplete && !isKeptAside) || line.hosts.containsKey(name);
        if (isTold) {
          told(name, line);
        }
      }
    }

    private void told(String name, Line line) {
      if (line.version >= deliveredAt.getOrDefault(name, 0L)) {
        deliveredAt.put(name, line.version);
        delivered.put(name, line.hosts.get(name));
      }
    }

    /** A host that was delivered as draining or gone is not used before a newer line says so. */
    private void checkNothingForgotten() {
      deliveredAt.forEach(
          (name, at) -> {
            HostList.Listed host = delivered.get(name);
            boolean isUp = host != null && host.entry().availability() == Availability.UP;
            assertThat(isUp || !isUsed(name)).as("%s at version %d:%s", name, at, trace).isTrue();
          });
    }

    private boolean isUsed(String name) {
      HostList.Listed host = used.get(name);
      return host != null && host.entry().availability() == Availability.UP;
    }

    /** Answers and delivers all that is open: then exactly the hosts that are up are used. */
    void settle() {
      for (int i = 0; i < 4; i++) {
        List<ListCall> all = new ArrayList<>(open.keySet());
        all.sort((a, b) -> Long.compare(a.order, b.order));
        for (ListCall call : all) {
          if (open.containsKey(call)) {
            write(call);
          }
          while (open.containsKey(call) && !open.get(call).onTheWay.isEmpty()) {
            deliver(call);
          }
        }
        if (calls.needsWatch()) {
          openWatch();
        }
      }
      assertThat(calls.isCurrentActive()).isTrue();
      assertThat(calls.needsCompleteList()).isFalse();
      for (int i = 0; i < HOSTS; i++) {
        boolean isUp = service.get("h" + i).entry().availability() == Availability.UP;
        assertThat(isUsed("h" + i)).as("h%d:%s", i, trace).isEqualTo(isUp);
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void forgetsNothingAndSettles(long firstSeed) {
    for (int i = 0; i < SEQUENCES; i++) {
      Model model = new Model(firstSeed * SEQUENCES + i);
      for (int step = 0; step < STEPS; step++) {
        model.step();
      }
      model.settle();
    }
  }
}
