package ternscale.policy;

import java.util.Arrays;
import java.util.Comparator;
import java.util.Random;
import java.util.stream.IntStream;
import ternscale.api.Outcome.Result;
import ternscale.api.RequestInfo;
import ternscale.api.Settings;
import ternscale.api.Settings.RequestClass;

/**
 * Load shedding and the retry budget. Under overload, requests that would miss their latency target
 * are rejected on arrival, lowest value per unit of work first: traffic over a tenant's quota, then
 * classes of lower value.
 */
final class Admission {
  /**
   * A response that takes longer than a multiple of the typical latency of its class counts as
   * late, so that queues show early; the threshold stays between these fractions of the latency
   * target.
   */
  private static final double LEAST_LATE = 0.4;

  private static final double NEARLY_LATE = 0.7;
  private static final double USUAL_FACTOR = 2.5;

  /** Typical latency is a low quantile, which queueing affects last; its estimate moves slowly. */
  private static final double USUAL_QUANTILE = 0.3;

  private static final double USUAL_STEP = 0.02;

  private static final double USUAL_SPAN_MS = 100;

  /**
   * The shed level moves with elapsed time, not per outcome, so its speed does not depend on the
   * request rate. It is in equilibrium when one outcome in 7 is bad.
   */
  private static final double RISE_PER_MS = 0.9e-3;

  /**
   * Late responses do not amplify an overload when clients do not retry (observed at site
   * bc-screening), so the level rises more slowly. Retries are known only where clients mark them.
   */
  private static final double CALM_RISE_PER_MS = 0.3e-3;

  private static final double CALM_REPEATS = 0.05;

  private static final double FALL_PER_MS = 0.15e-3;

  /** One outcome accounts for at most this much elapsed time, and consumes this share of it. */
  private static final double OUTCOME_SPAN_MS = 500;

  private static final double OUTCOME_PART = 0.5;

  /** A few late responses can raise the level this far by chance; nothing is shed below it. */
  private static final double DEAD_BAND = 0.1;

  /** Some traffic always passes; otherwise no outcome would show that the overload has ended. */
  private static final double MOST_SHED = 0.9;

  /** The shedding order is recomputed at this interval, as the worst-served class may change. */
  private static final double ORDER_MS = 200;

  /** Time constant of the traffic mix. */
  private static final double MIX_MEMORY_MS = 5_000;

  /** Each first send adds this much to the retry budget, so retries cannot amplify an overload. */
  private static final double RETRY_SHARE = 0.1;

  private static final double RETRY_COST_OF_ERROR = 0.1;

  private static final double RETRY_BURST = 5;

  /**
   * Only an idle, fast host can serve a request whose cost hint exceeds its target this many times,
   * so such requests are shed first.
   */
  private static final double TOO_HEAVY_FACTOR = 1.5;

  /** No host can meet the target beyond this factor; the request would only delay others. */
  private static final double HOPELESS_FACTOR = 4;

  private static final double RETRY_AFTER_PART = 0.1;

  private static final int BUCKETS = 4;
  private static final int OVER_SHARE = 1;
  private static final int TOO_HEAVY = 2;

  private Settings settings;
  private final Random random;
  private final double startedAt;

  /** Decayed offered work by class, over quota or not, and too expensive for its target or not. */
  private double[] work = new double[0];

  private int[] byDensity;

  /** Value offered and value served in time, by class; the objective may weight the worst class. */
  private double[] asked;

  private double[] served;
  private double orderedAt;
  private final double[] tenantCount;
  private double[] usual = new double[0];
  private double[] usualAt = new double[0];
  private double at;
  private double level;
  private double heardAt;
  private double repeats;
  private double retryTokens = RETRY_BURST;

  Admission(Settings settings, Random random, double now) {
    this.random = random;
    startedAt = now;
    at = now;
    heardAt = now;
    tenantCount = new double[settings.tenants().size()];
    reload(settings, now);
  }

  /** Applies new settings, and restarts the statistics that identify the worst-served class. */
  void reload(Settings next, double now) {
    settings = next;
    int classes = next.classes().size();
    work = Arrays.copyOf(work, BUCKETS * classes);
    usual = Arrays.copyOf(usual, classes);
    usualAt = Arrays.copyOf(usualAt, classes);
    asked = new double[classes];
    served = new double[classes];
    order(now);
  }

  /** Sorts the buckets by what the objective loses per unit of work shed. */
  private void order(double now) {
    orderedAt = now;
    int worst =
        IntStream.range(0, asked.length)
            .reduce(0, (w, c) -> served[c] * asked[w] < served[w] * asked[c] ? c : w);
    double share = asked[worst] / Math.max(1e-9, Arrays.stream(asked).sum());
    Settings.Objective goal = settings.objective();
    double general = Math.max(1e-9, goal.overall() + goal.worstWindow());
    double factor = share > 0 ? 1 + goal.worstClass() / general / share : 1;
    byDensity =
        IntStream.range(0, work.length)
            .boxed()
            .sorted(
                Comparator.comparingDouble(b -> density(b) * (b / BUCKETS == worst ? factor : 1)))
            .mapToInt(Integer::intValue)
            .toArray();
  }

  private double density(int bucket) {
    RequestClass c = settings.classes().get(bucket / BUCKETS);
    return c.value()
        * ((bucket & OVER_SHARE) != 0 ? settings.overQuotaValueFactor() : 1)
        * ((bucket & TOO_HEAVY) != 0 ? c.lateValueFactor() : 1);
  }

  /** Whether to accept a request; false means to reject it now. */
  boolean admits(Pending p, double now) {
    age(now);
    RequestInfo r = p.info;
    int bucket = BUCKETS * r.requestClass() + (overShare(r.tenant(), now) ? OVER_SHARE : 0);
    if (r.costHint() > TOO_HEAVY_FACTOR * p.aimMs()) {
      bucket |= TOO_HEAVY;
    }
    if (density(bucket) <= 0 && r.costHint() > HOPELESS_FACTOR * p.type.targetLatencyMs()) {
      return false;
    }
    repeats += ((r.isClientRetry() ? 1 : 0) - repeats) * 0.02;
    work[bucket] += p.work();
    asked[r.requestClass()] += p.worth();
    if (now - orderedAt > ORDER_MS) {
      order(now);
    }
    if (level <= DEAD_BAND) {
      return true;
    }
    double left = (level - DEAD_BAND) * Arrays.stream(work).sum();
    for (int b : byDensity) {
      if (b == bucket) {
        return random.nextDouble() * work[b] >= left;
      }
      left -= work[b];
      if (left <= 0) {
        return true;
      }
    }
    return true;
  }

  /**
   * Draws at random whether a request counts as over its tenant's quota. The fleet-wide rate is
   * estimated as this gateway's rate times the number of gateways.
   */
  private boolean overShare(int tenant, double now) {
    if (tenant >= tenantCount.length) {
      return false;
    }
    tenantCount[tenant]++;
    double quota = settings.tenants().get(tenant).quotaRps();
    double seen = MIX_MEMORY_MS * (1 - Math.exp((startedAt - now - 1) / MIX_MEMORY_MS));
    double rate = 1000 * tenantCount[tenant] / Math.max(seen, 1000) * settings.instanceCount();
    return quota > 0 && rate > quota && random.nextDouble() > quota / rate;
  }

  private double usual(int c, double elapsedMs, double now) {
    double part = Math.min(1, (now - usualAt[c]) / USUAL_SPAN_MS);
    usualAt[c] = now;
    usual[c] = usual[c] == 0 ? elapsedMs : usual[c];
    double toward = elapsedMs < usual[c] ? USUAL_QUANTILE - 1 : USUAL_QUANTILE;
    return usual[c] *= 1 + USUAL_STEP * part * toward;
  }

  void onOutcome(Pending p, Result result, double elapsedMs, double now) {
    RequestClass c = p.type;
    double late = NEARLY_LATE * c.targetLatencyMs();
    if (result == Result.OK) {
      served[p.info.requestClass()] += now <= p.aimAt() ? p.worth() : 0;
      double usual = USUAL_FACTOR * usual(p.info.requestClass(), elapsedMs, now);
      late = Math.min(late, Math.max(LEAST_LATE * c.targetLatencyMs(), usual));
      // An expensive request takes long on an idle host too; only the excess indicates queueing.
      late += Math.max(0, p.info.costHint() - usual / USUAL_FACTOR);
    }
    double span = Math.min(OUTCOME_SPAN_MS, now - heardAt);
    if (result == Result.OK && elapsedMs <= late) {
      level = Math.max(0, level - FALL_PER_MS * span);
    } else if (result == Result.OK || result == Result.REJECTED || result == Result.TIMEOUT) {
      level = Math.min(MOST_SHED, level + risePerMs(result) * span);
    } else {
      return;
    }
    // Outcomes of the same tick share its span; otherwise only the first of them would count.
    heardAt = now - span * (1 - OUTCOME_PART);
  }

  /** Advice on when to retry: soon, as late requests have little value; later as load grows. */
  double retryAfterMs() {
    return RETRY_AFTER_PART * level * settings.limits().maxRetryAfterMs();
  }

  private double risePerMs(Result result) {
    boolean calm = settings.clientsMarkRetries() && repeats < CALM_REPEATS;
    return calm && result == Result.OK ? CALM_RISE_PER_MS : RISE_PER_MS;
  }

  void onFirstSend() {
    retryTokens = Math.min(RETRY_BURST, retryTokens + RETRY_SHARE);
  }

  /** Takes a retry from the budget, if it suffices. Errors do not indicate load and cost less. */
  boolean takeRetry(Result after) {
    boolean load = after == Result.REJECTED || after == Result.TIMEOUT;
    double cost = load ? 1 : RETRY_COST_OF_ERROR;
    boolean enough = retryTokens >= cost;
    retryTokens -= enough ? cost : 0;
    return enough;
  }

  private void age(double now) {
    double keep = Math.exp((at - now) / MIX_MEMORY_MS);
    at = now;
    Arrays.setAll(work, i -> work[i] * keep);
    Arrays.setAll(tenantCount, i -> tenantCount[i] * keep);
  }
}
