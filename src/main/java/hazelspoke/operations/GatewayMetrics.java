package hazelspoke.operations;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import hazelspoke.core.Answer;
import hazelspoke.core.ByteBudget;
import hazelspoke.core.LateAnswer;
import hazelspoke.core.Meter;
import hazelspoke.core.Violations;
import hazelspoke.net.Buffers;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The metrics of one process since its start. Updated on the event loop; {@link #text} may be
 * called from any thread.
 */
public final class GatewayMetrics implements Meter {
  private static final String PREFIX = "svc.";

  /** The counters of one class, whose index may change when classes are added or removed. */
  private record ClassCounters(Counter passed, Counter dropped, Counter badGateway) {
    void count(Answer.Outcome outcome) {
      switch (outcome) {
        case SERVED -> passed.inc();
        case REFUSED -> dropped.inc();
        case FAILED -> badGateway.inc();
      }
    }
  }

  private final MetricRegistry registry = new MetricRegistry();
  private final Counter inProgress = registry.counter("in_progress");
  private final Counter upstreamTries = registry.counter("upstream_tries");
  private final Counter disconnectedAfterSend = registry.counter("left.sent");
  private final Counter disconnectedWaiting = registry.counter("left.waiting");
  private final Counter reloads = registry.counter("loads");
  private final Counter reloadErrors = registry.counter("load_errors");
  private final List<ClassCounters> classes = new ArrayList<>();
  private final Map<LateAnswer, Counter> late = new EnumMap<>(LateAnswer.class);
  private final Map<Violations.Kind, Counter> violations = new EnumMap<>(Violations.Kind.class);
  private volatile int knownHosts;
  private volatile int skippedHosts;
  private final HeldMemory requests = new HeldMemory("requests");
  private final HeldMemory responses = new HeldMemory("responses");

  /** The memory that one kind of peer makes this process hold, as last reported. */
  private final class HeldMemory {
    private volatile long heldBytes;
    private volatile long gaveWay;
    private volatile long pauses;

    HeldMemory(String kind) {
      registry.register("held_bytes." + kind, (Gauge<Long>) () -> heldBytes);
      registry.register("gave_way." + kind, (Gauge<Long>) () -> gaveWay);
      registry.register("pauses." + kind, (Gauge<Long>) () -> pauses);
    }

    void set(ByteBudget budget) {
      heldBytes = budget.usedBytes();
      gaveWay = budget.gaveWayCount();
      pauses = budget.pauseCount();
    }
  }

  /** Creates the metrics, all at 0, for classes with these names, by index. */
  public GatewayMetrics(List<String> classNames) {
    registry.register("known_hosts", (Gauge<Integer>) () -> knownHosts);
    registry.register("skipped_hosts", (Gauge<Integer>) () -> skippedHosts);
    registry.register(
        "off_heap_bytes", (Gauge<Long>) () -> Buffers.ALLOCATOR.metric().usedDirectMemory());
    for (LateAnswer reason : LateAnswer.values()) {
      late.put(reason, registry.counter("late." + reason.name().toLowerCase(Locale.ROOT)));
    }
    for (Violations.Kind kind : Violations.Kind.values()) {
      String name = kind.name().toLowerCase(Locale.ROOT);
      violations.put(kind, registry.counter("violations." + name));
    }
    setClasses(classNames);
  }

  /** Replaces the classes; a class that existed before keeps its counts. */
  public void setClasses(List<String> names) {
    classes.clear();
    for (String name : names) {
      classes.add(
          new ClassCounters(
              registry.counter("passed." + name),
              registry.counter("dropped." + name),
              registry.counter("bad_gateway." + name)));
    }
  }

  @Override
  public void onAccepted() {
    inProgress.inc();
  }

  @Override
  public void onAnswered(int requestClass, Answer.Outcome outcome) {
    inProgress.dec();
    classes.get(requestClass).count(outcome);
  }

  @Override
  public void onClientDisconnected(boolean sent) {
    inProgress.dec();
    (sent ? disconnectedAfterSend : disconnectedWaiting).inc();
  }

  @Override
  public void onSent() {
    upstreamTries.inc();
  }

  @Override
  public void onLateAnswer(LateAnswer reason) {
    late.get(reason).inc();
  }

  @Override
  public void onViolation(Violations.Kind kind) {
    violations.get(kind).inc();
  }

  /** Counts a reload of the settings, applied or rejected. */
  public void reloaded(boolean succeeded) {
    (succeeded ? reloads : reloadErrors).inc();
  }

  /** Updates the number of listed hosts, and how many of these are skipped now. */
  public void setHostCounts(int known, int skipped) {
    knownHosts = known;
    skippedHosts = skipped;
  }

  /** Updates the memory that peers make this process hold; called on the event loop. */
  public void setHeldMemory(ByteBudget requestBudget, ByteBudget responseBudget) {
    requests.set(requestBudget);
    responses.set(responseBudget);
  }

  /**
   * Registers a gauge, which is read on each call of {@link #text}; {@code value} must not block.
   */
  public void gauge(String name, LongSupplier value) {
    registry.register(name, (Gauge<Long>) value::getAsLong);
  }

  /** Returns a line for each metric, such as {@code svc.passed.reserve=812}, sorted by name. */
  public String text() {
    StringBuilder text = new StringBuilder();
    for (Map.Entry<String, Counter> counter : registry.getCounters().entrySet()) {
      appendLine(text, counter.getKey(), counter.getValue().getCount());
    }
    registry.getGauges().forEach((name, gauge) -> appendLine(text, name, gauge.getValue()));
    return text.toString();
  }

  private static void appendLine(StringBuilder text, String name, Object value) {
    text.append(PREFIX).append(name).append('=').append(value).append('\n');
  }
}
