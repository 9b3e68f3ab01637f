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
  private static final double MIN_LATE_FRACTION = 0.4;

  private static final double LATE_FRACTION = 0.7;
  private static final double TYPICAL_LATENCY_FACTOR = 2.5;

  /** Typical latency is a low quantile, which queueing affects last; its estimate moves slowly. */
  private static final double TYPICAL_QUANTILE = 0.3;

  private static final double TYPICAL_STEP = 0.02;

  /** Time since the last update from which an outcome moves the estimate by a full step. */
  private static final double TYPICAL_FULL_STEP_MS = 100;

  /**
   * The shed level moves with elapsed time, not per outcome, so its speed does not depend on the
   * request rate. It is in equilibrium when one outcome in 7 is bad.
   */
  private static final double LEVEL_RISE_PER_MS = 0.9e-3;

  /**
   * Late responses do not amplify an overload when clients do not retry (observed at site
   * bc-screening), so the level rises more slowly. Retries are known only where clients mark them.
   */
  private static final double LEVEL_RISE_WITHOUT_RETRIES_PER_MS = 0.3e-3;

  private static final double LOW_CLIENT_RETRY_SHARE = 0.05;

  private static final double LEVEL_FALL_PER_MS = 0.15e-3;

  /** One outcome accounts for at most this much elapsed time, and consumes this share of it. */
  private static final double MAX_OUTCOME_SPAN_MS = 500;

  private static final double OUTCOME_SPAN_SHARE = 0.5;

  /** A few late responses can raise the level this far by chance; nothing is shed below it. */
  private static final double DEAD_BAND = 0.1;

  /** Some traffic always passes; otherwise no outcome would show that the overload has ended. */
  private static final double MAX_LEVEL = 0.9;

  /** The shedding order is recomputed at this interval, as the worst-served class may change. */
  private static final double SORT_INTERVAL_MS = 200;

  /** Time constant of the traffic mix. */
  private static final double MIX_MEMORY_MS = 5_000;

  /** Each first send adds this much to the retry budget, so retries cannot amplify an overload. */
  private static final double RETRY_TOKENS_PER_REQUEST = 0.1;

  private static final double ERROR_RETRY_COST = 0.1;

  private static final double MAX_RETRY_TOKENS = 5;

  /**
   * Only an idle, fast host can serve a request whose cost hint exceeds its target this many times,
   * so such requests are shed first.
   */
  private static final double TOO_EXPENSIVE_FACTOR = 1.5;

  /** No host can meet the target beyond this factor; the request would only delay others. */
  private static final double INFEASIBLE_FACTOR = 4;

  private static final double RETRY_AFTER_FRACTION = 0.1;

  private static final int BUCKETS_PER_CLASS = 4;
  private static final int OVER_QUOTA = 1;
  private static final int TOO_EXPENSIVE = 2;

  private Settings settings;
  private final Random random;
  private final double startedAt;

  /** Decayed offered work by class, over quota or not, and too expensive for its target or not. */
  private double[] offeredWork = new double[0];

  private int[] bucketsByValuePerWork;

  /** Value offered and value served in time, by class; the objective may weight the worst class. */
  private double[] offeredValue;

  private double[] servedValue;
  private double sortedAt;
  private final double[] tenantRequests;
  private double[] typicalLatencyMs = new double[0];
  private double[] typicalUpdatedAt = new double[0];
  private double decayedAt;
  private double shedLevel;
  private double levelUpdatedAt;
  private double clientRetryShare;
  private double retryTokens = MAX_RETRY_TOKENS;

  Admission(Settings settings, Random random, double now) {
    this.random = random;
    startedAt = now;
    decayedAt = now;
    levelUpdatedAt = now;
    tenantRequests = new double[settings.tenants().size()];
    reload(settings, now);
  }

  /** Applies new settings, and restarts the statistics that identify the worst-served class. */
  void reload(Settings next, double now) {
    settings = next;
    int classes = next.classes().size();
    offeredWork = Arrays.copyOf(offeredWork, BUCKETS_PER_CLASS * classes);
    typicalLatencyMs = Arrays.copyOf(typicalLatencyMs, classes);
    typicalUpdatedAt = Arrays.copyOf(typicalUpdatedAt, classes);
    offeredValue = new double[classes];
    servedValue = new double[classes];
    sortBuckets(now);
  }

  /** Sorts the buckets by what the objective loses per unit of work shed. */
  private void sortBuckets(double now) {
    sortedAt = now;
    int worstClass =
        IntStream.range(0, offeredValue.length)
            .reduce(
                0,
                (w, c) ->
                    servedValue[c] * offeredValue[w] < servedValue[w] * offeredValue[c] ? c : w);
    double worstShare =
        offeredValue[worstClass] / Math.max(1e-9, Arrays.stream(offeredValue).sum());
    Settings.Objective objective = settings.objective();
    double overallWeight = Math.max(1e-9, objective.overall() + objective.worstWindow());
    double factor = worstShare > 0 ? 1 + objective.worstClass() / overallWeight / worstShare : 1;
    bucketsByValuePerWork =
        IntStream.range(0, offeredWork.length)
            .boxed()
            .sorted(
                Comparator.comparingDouble(
                    b -> valuePerWork(b) * (b / BUCKETS_PER_CLASS == worstClass ? factor : 1)))
            .mapToInt(Integer::intValue)
            .toArray();
  }

  private double valuePerWork(int bucket) {
    RequestClass c = settings.classes().get(bucket / BUCKETS_PER_CLASS);
    return c.value()
        * ((bucket & OVER_QUOTA) != 0 ? settings.overQuotaValueFactor() : 1)
        * ((bucket & TOO_EXPENSIVE) != 0 ? c.lateValueFactor() : 1);
  }

  /** Whether to accept a request; false means to reject it now. */
  boolean admits(Pending p, double now) {
    decay(now);
    RequestInfo r = p.info;
    int bucket =
        BUCKETS_PER_CLASS * r.requestClass() + (isOverQuota(r.tenant(), now) ? OVER_QUOTA : 0);
    if (r.costHint() > TOO_EXPENSIVE_FACTOR * p.targetLatencyMs()) {
      bucket |= TOO_EXPENSIVE;
    }
    if (valuePerWork(bucket) <= 0
        && r.costHint() > INFEASIBLE_FACTOR * p.requestClass.targetLatencyMs()) {
      return false;
    }
    clientRetryShare += ((r.isClientRetry() ? 1 : 0) - clientRetryShare) * 0.02;
    offeredWork[bucket] += p.work();
    offeredValue[r.requestClass()] += p.value();
    if (now - sortedAt > SORT_INTERVAL_MS) {
      sortBuckets(now);
    }
    if (shedLevel <= DEAD_BAND) {
      return true;
    }
    double workToShed = (shedLevel - DEAD_BAND) * Arrays.stream(offeredWork).sum();
    for (int b : bucketsByValuePerWork) {
      if (b == bucket) {
        return random.nextDouble() * offeredWork[b] >= workToShed;
      }
      workToShed -= offeredWork[b];
      if (workToShed <= 0) {
        return true;
      }
    }
    return true;
  }

  /**
   * Draws at random whether a request counts as over its tenant's quota. The fleet-wide rate is
   * estimated as this gateway's rate times the number of gateways.
   */
  private boolean isOverQuota(int tenant, double now) {
    if (tenant >= tenantRequests.length) {
      return false;
    }
    tenantRequests[tenant]++;
    double quota = settings.tenants().get(tenant).quotaRps();
    double observedMs = MIX_MEMORY_MS * (1 - Math.exp((startedAt - now - 1) / MIX_MEMORY_MS));
    double rate =
        1000 * tenantRequests[tenant] / Math.max(observedMs, 1000) * settings.instanceCount();
    return quota > 0 && rate > quota && random.nextDouble() > quota / rate;
  }

  private double updateTypicalLatencyMs(int c, double elapsedMs, double now) {
    double stepShare = Math.min(1, (now - typicalUpdatedAt[c]) / TYPICAL_FULL_STEP_MS);
    typicalUpdatedAt[c] = now;
    typicalLatencyMs[c] = typicalLatencyMs[c] == 0 ? elapsedMs : typicalLatencyMs[c];
    double direction = elapsedMs < typicalLatencyMs[c] ? TYPICAL_QUANTILE - 1 : TYPICAL_QUANTILE;
    return typicalLatencyMs[c] *= 1 + TYPICAL_STEP * stepShare * direction;
  }

  void onOutcome(Pending p, Result result, double elapsedMs, double now) {
    RequestClass c = p.requestClass;
    double lateThresholdMs = LATE_FRACTION * c.targetLatencyMs();
    if (result == Result.OK) {
      servedValue[p.info.requestClass()] += now <= p.targetAt() ? p.value() : 0;
      double typicalThresholdMs =
          TYPICAL_LATENCY_FACTOR * updateTypicalLatencyMs(p.info.requestClass(), elapsedMs, now);
      lateThresholdMs =
          Math.min(
              lateThresholdMs,
              Math.max(MIN_LATE_FRACTION * c.targetLatencyMs(), typicalThresholdMs));
      // An expensive request takes long on an idle host too; only the excess indicates queueing.
      lateThresholdMs +=
          Math.max(0, p.info.costHint() - typicalThresholdMs / TYPICAL_LATENCY_FACTOR);
    }
    double spanMs = Math.min(MAX_OUTCOME_SPAN_MS, now - levelUpdatedAt);
    if (result == Result.OK && elapsedMs <= lateThresholdMs) {
      shedLevel = Math.max(0, shedLevel - LEVEL_FALL_PER_MS * spanMs);
    } else if (result == Result.OK || result == Result.REJECTED || result == Result.TIMEOUT) {
      shedLevel = Math.min(MAX_LEVEL, shedLevel + risePerMs(result) * spanMs);
    } else {
      return;
    }
    // Outcomes of the same tick share its span; otherwise only the first of them would count.
    levelUpdatedAt = now - spanMs * (1 - OUTCOME_SPAN_SHARE);
  }

  /** Advice on when to retry: soon, as late requests have little value; later as load grows. */
  double retryAfterMs() {
    return RETRY_AFTER_FRACTION * shedLevel * settings.limits().maxRetryAfterMs();
  }

  private double risePerMs(Result result) {
    boolean fewClientRetries =
        settings.clientsMarkRetries() && clientRetryShare < LOW_CLIENT_RETRY_SHARE;
    return fewClientRetries && result == Result.OK
        ? LEVEL_RISE_WITHOUT_RETRIES_PER_MS
        : LEVEL_RISE_PER_MS;
  }

  void onFirstSend() {
    retryTokens = Math.min(MAX_RETRY_TOKENS, retryTokens + RETRY_TOKENS_PER_REQUEST);
  }

  /** Takes a retry from the budget, if it suffices. Errors do not indicate load and cost less. */
  boolean takeRetry(Result after) {
    boolean indicatesLoad = after == Result.REJECTED || after == Result.TIMEOUT;
    double cost = indicatesLoad ? 1 : ERROR_RETRY_COST;
    boolean enough = retryTokens >= cost;
    retryTokens -= enough ? cost : 0;
    return enough;
  }

  private void decay(double now) {
    double decayFactor = Math.exp((decayedAt - now) / MIX_MEMORY_MS);
    decayedAt = now;
    Arrays.setAll(offeredWork, i -> offeredWork[i] * decayFactor);
    Arrays.setAll(tenantRequests, i -> tenantRequests[i] * decayFactor);
  }
}
