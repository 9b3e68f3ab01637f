package hazelspoke.operations;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import hazelspoke.core.Answer;
import hazelspoke.core.LateAnswer;
import hazelspoke.core.Meter;
import hazelspoke.core.Violations;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The figures of one process since its start. Counted on the loop; {@link #text} may be asked by
 * any thread.
 */
public final class GatewayMetrics implements Meter {
  private static final String PREFIX = "svc.";

  /** The counts of one class, whose place may change when others come and go. */
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
  private final Counter tries = registry.counter("upstream_tries");
  private final Counter leftSent = registry.counter("left.sent");
  private final Counter leftWaiting = registry.counter("left.waiting");
  private final Counter loads = registry.counter("loads");
  private final Counter loadErrors = registry.counter("load_errors");
  private final List<ClassCounters> classes = new ArrayList<>();
  private final Map<LateAnswer, Counter> late = new EnumMap<>(LateAnswer.class);
  private final Map<Violations.Kind, Counter> violations = new EnumMap<>(Violations.Kind.class);
  private volatile int knownHosts;
  private volatile int skippedHosts;

  /** All at 0, for classes of these names, each at its place. */
  public GatewayMetrics(List<String> classNames) {
    registry.register("known_hosts", (Gauge<Integer>) () -> knownHosts);
    registry.register("skipped_hosts", (Gauge<Integer>) () -> skippedHosts);
    for (LateAnswer why : LateAnswer.values()) {
      late.put(why, registry.counter("late." + why.name().toLowerCase(Locale.ROOT)));
    }
    for (Violations.Kind kind : Violations.Kind.values()) {
      String name = kind.name().toLowerCase(Locale.ROOT);
      violations.put(kind, registry.counter("violations." + name));
    }
    setClasses(classNames);
  }

  /** The classes are these from now on; one that was there before goes on from its counts. */
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
    (sent ? leftSent : leftWaiting).inc();
  }

  @Override
  public void onSent() {
    tries.inc();
  }

  @Override
  public void onLateAnswer(LateAnswer why) {
    late.get(why).inc();
  }

  @Override
  public void onViolation(Violations.Kind kind) {
    violations.get(kind).inc();
  }

  /** Counts a file of new settings, taken or turned down. */
  public void reloaded(boolean good) {
    (good ? loads : loadErrors).inc();
  }

  /** Notes how many hosts are listed, and how many of these the gateway avoids now. */
  public void setHostCounts(int known, int skipped) {
    knownHosts = known;
    skippedHosts = skipped;
  }

  /** Another figure, asked for whenever the text is; it must not wait. */
  public void gauge(String name, LongSupplier value) {
    registry.register(name, (Gauge<Long>) value::getAsLong);
  }

  /** A line for each figure, such as {@code svc.passed.reserve=812}, by name. */
  public String text() {
    StringBuilder text = new StringBuilder();
    for (Map.Entry<String, Counter> counter : registry.getCounters().entrySet()) {
      line(text, counter.getKey(), counter.getValue().getCount());
    }
    registry.getGauges().forEach((name, gauge) -> line(text, name, gauge.getValue()));
    return text.toString();
  }

  private static void line(StringBuilder text, String name, Object value) {
    text.append(PREFIX).append(name).append('=').append(value).append('\n');
  }
}
