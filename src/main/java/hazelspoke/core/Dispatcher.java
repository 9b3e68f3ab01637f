package hazelspoke.core;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import ternscale.api.Actions;
import ternscale.api.Balancer;
import ternscale.api.HostEntry;
import ternscale.api.HostEntry.Availability;
import ternscale.api.MembersUpdate;
import ternscale.api.Outcome;
import ternscale.api.Outcome.Result;
import ternscale.api.ProbeResult;
import ternscale.api.RequestInfo;
import ternscale.api.Settings;

/**
 * Manages all open requests: reports events to the balancer, carries out its actions, and
 * guarantees exactly one final answer for each request in the event of any failure.
 */
public final class Dispatcher implements Actions, RequestHandler, Attempt.Listener {
  /**
   * A request without an answer this long after its deadline is failed by the dispatcher. This
   * occurs only if the balancer has a bug.
   */
  static final double OVERDUE_GRACE_MS = 15;

  private final EventLoop loop;
  private final Clock clock;
  private final Log log;
  private Settings settings;
  private final Names names;
  private final int openCap;
  private final HostTransport hosts;
  private final Meter meter;
  private final LoopLag lag;
  private final Timers timers;
  private final CoreServices services;
  private final Violations violations;
  private final HostLimit hostLimit = new HostLimit();
  private final Map<String, Exchange> exchanges = new HashMap<>();

  private final RequestIds ids;
  private Discovery discovery;
  private Balancer balancer;
  private boolean inBalancerCall;
  private long acceptedCount;
  private int pendingCount;

  /** When this process must have answered all requests; infinite until shutdown begins. */
  private double shutdownDeadlineMs = Double.POSITIVE_INFINITY;

  /**
   * Creates a dispatcher that accepts at most {@code openCap} requests at a time and refuses
   * further ones.
   *
   * @param ids the client-assigned ids that are taken, possibly shared with other processes
   */
  public Dispatcher(
      EventLoop loop,
      Settings settings,
      Names names,
      int openCap,
      Clock clock,
      Log log,
      HostTransport hosts,
      RequestIds ids,
      Meter meter) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.settings = settings;
    this.names = names;
    this.openCap = openCap;
    this.hosts = hosts;
    this.meter = meter;
    this.ids = ids;
    lag = new LoopLag(loop, clock);
    timers = new Timers(loop, clock);
    violations = new Violations(log, meter);
    services =
        new CoreServices(loop, clock, hosts, timers, lag, meter, new SendGuard(clock, violations));
    loop.scheduleWithFixedDelay(
        this::renewIds,
        RequestIds.RENEWAL_INTERVAL_MS,
        RequestIds.RENEWAL_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  private void renewIds() {
    for (Exchange exchange : exchanges.values()) {
      if (!exchange.ended) {
        ids.renew(exchange.request().txn());
      }
    }
  }

  /** The counter of invariant violations. */
  public Violations violations() {
    return violations;
  }

  public void start(Balancer newBalancer, Discovery discoveryClient) {
    balancer = newBalancer;
    discovery = discoveryClient;
  }

  /**
   * Passes one event to the balancer. The balancer is not reentrant, so an event caused by one of
   * its actions is queued for a later event-loop iteration. If the balancer throws, the request
   * affected is failed, so that its client does not wait for an answer.
   */
  private void callBalancer(Exchange affected, Runnable event) {
    if (inBalancerCall) {
      loop.execute(() -> callBalancer(affected, event));
      return;
    }
    inBalancerCall = true;
    boolean failed = false;
    try {
      event.run();
    } catch (RuntimeException e) {
      log.failure("the balancer failed", e);
      failed = true;
    } finally {
      inBalancerCall = false;
    }
    if (failed && affected != null) {
      failRequest(affected);
    }
  }

  /**
   * Begins shutdown: all open and future requests must be answered by this time, and hosts are
   * given no later deadline.
   */
  public void setShutdownDeadline(double deadlineMs) {
    shutdownDeadlineMs = deadlineMs;
    for (Exchange exchange : List.copyOf(exchanges.values())) {
      if (!exchange.ended && deadlineMs < exchange.deadlineMs) {
        exchange.setShutdownDeadline(deadlineMs);
        updateTimeouts(exchange);
      }
    }
  }

  /** Updates the overdue timer and the timeouts of all attempts to the request's deadline. */
  private void updateTimeouts(Exchange exchange) {
    double nowMs = clock.nowMs();
    timers.remove(exchange.overdueTimer);
    if (exchange.deadlineMs < Double.POSITIVE_INFINITY) {
      timers.add(exchange.overdueTimer, exchange.deadlineMs + OVERDUE_GRACE_MS - nowMs);
    }
    for (Attempt attempt : exchange.attempts) {
      attempt.setTimeout(exchange.attemptTimeoutMs(nowMs));
    }
  }

  /** Fails all open requests because the process ends before they can be answered. */
  public void failAll() {
    List<Exchange> unanswered =
        exchanges.values().stream().filter(exchange -> !exchange.ended).toList();
    if (!unanswered.isEmpty()) {
      log.line("shutting down with open requests, failed: " + unanswered.size());
      unanswered.forEach(this::failRequest);
    }
  }

  /** Fails a request for which the balancer will send no answer. */
  private void failRequest(Exchange exchange) {
    if (!exchange.ended) {
      answer(exchange, Answer.failed(false));
      callBalancer(null, () -> balancer.onClientDisconnected(clock.nowMs(), exchange.id));
      List.copyOf(exchange.attempts).forEach(Attempt::cancel);
    }
  }

  public void onMembers(MembersUpdate.Kind kind, HostList.Update update) {
    List<HostEntry> entries = new ArrayList<>();
    List<HostEntry> displacedHosts = new ArrayList<>();
    List<HostList.Listed> admittedHosts = hostLimit.admit(kind, update.hosts());
    if (admittedHosts.size() < update.hosts().size()) {
      log.line(
          "discovery lists more than %d hosts, left out: %d"
              .formatted(HostLimit.MAX_HOSTS, update.hosts().size() - admittedHosts.size()));
    }
    for (HostList.Listed host : admittedHosts) {
      HostEntry entry = host.entry();
      entries.add(entry);
      if (entry.availability() == Availability.GONE) {
        hosts.remove(entry.host());
      } else if (host.address() != null) {
        HostEntry displaced = hosts.setAddress(entry, host.address());
        if (displaced != null) {
          hostLimit.remove(displaced.host());
          displacedHosts.add(displaced);
        }
      }
    }
    // The address now belongs to another host, even if discovery still lists the previous one.
    displacedHosts.forEach(entry -> entries.add(entry.withAvailability(Availability.GONE)));
    if (kind == MembersUpdate.Kind.FULL) {
      hosts.retainOnly(entries.stream().map(HostEntry::host).collect(Collectors.toSet()));
    }
    MembersUpdate event = new MembersUpdate(kind, update.version(), entries);
    callBalancer(null, () -> balancer.onMembers(clock.nowMs(), event));
    if (kind.hasEntries()) {
      cancelUnsentToUnavailable(kind, entries);
    }
  }

  /**
   * Cancels attempts that wait for a connection to a draining or removed host, or for their
   * event-loop iteration: the connection may be established after the drain's grace period, and the
   * request can be sent to another host now.
   */
  private void cancelUnsentToUnavailable(MembersUpdate.Kind kind, List<HostEntry> entries) {
    Set<String> up = new HashSet<>();
    Set<String> listed = new HashSet<>();
    for (HostEntry entry : entries) {
      listed.add(entry.host());
      if (entry.availability() == Availability.UP) {
        up.add(entry.host());
      }
    }
    boolean isDelta = kind == MembersUpdate.Kind.DELTA;
    if (isDelta && up.size() == listed.size()) {
      return;
    }
    for (Exchange exchange : List.copyOf(exchanges.values())) {
      for (Attempt waitingAttempt : List.copyOf(exchange.attempts)) {
        if (!up.contains(waitingAttempt.host())
            && (!isDelta || listed.contains(waitingAttempt.host()))) {
          waitingAttempt.cancelIfFirstByteUnsent();
        }
      }
    }
  }

  /** Applies reloaded settings; see {@link Balancer#onSettings}. */
  public void onSettings(Settings next) {
    settings = next;
    callBalancer(null, () -> balancer.onSettings(clock.nowMs(), next));
  }

  /**
   * Reports a failed discovery call.
   *
   * @param isUnresponsive whether nothing was received from discovery
   */
  public void onDiscoveryFailed(boolean isUnresponsive) {
    MembersUpdate.Kind kind =
        isUnresponsive ? MembersUpdate.Kind.SILENT : MembersUpdate.Kind.FAILED;
    onMembers(kind, new HostList.Update(false, 0, List.of()));
  }

  @Override
  public double estimatedWaitMs() {
    return lag.estimatedWaitMs();
  }

  @Override
  public boolean claimId(Exchange exchange) {
    exchange.holdsId = ids.claim(exchange.request().txn());
    return exchange.holdsId;
  }

  /** Whether a request has this client-assigned id; used by tests. */
  boolean isTaken(String txn) {
    return ids.contains(txn);
  }

  @Override
  public void onRequest(Exchange exchange) {
    failOverdue();
    double nowMs = clock.nowMs();
    exchange.lagAtStartMs = lag.totalLagMs();
    RequestInfo info =
        exchange.accept(
            Long.toString(acceptedCount++), nowMs, lag.estimatedWaitMs(), shutdownDeadlineMs);
    pendingCount++;
    meter.onAccepted();
    if (pendingCount > openCap) {
      answer(exchange, Answer.refused(0));
      return;
    }
    exchanges.put(exchange.id, exchange);
    exchange.overdueTimer = new OverdueTimer(exchange);
    if (exchange.deadlineMs < Double.POSITIVE_INFINITY) {
      timers.add(exchange.overdueTimer, exchange.deadlineMs + OVERDUE_GRACE_MS - nowMs);
    }
    callBalancer(exchange, () -> balancer.onRequest(clock.nowMs(), info));
  }

  @Override
  public void onHostAnswer(Exchange exchange, Answer answer) {
    failOverdue();
    if (exchange.ended) {
      answer.share().release();
      answer.body().abandon();
    } else {
      answer(exchange, answer);
    }
  }

  @Override
  public void onAttemptEnded(Attempt attempt, Result result, String loadReport) {
    Exchange exchange = attempt.exchange();
    logEnd(attempt, result);
    exchange.pendingOutcomes--;
    if (exchange.ended && exchange.pendingOutcomes == 0) {
      exchanges.remove(exchange.id);
    }
    List<Double> report =
        settings.reportMode() == Settings.ReportMode.WITH_ANSWERS
            ? names.parseReport(loadReport)
            : List.of();
    double elapsedMs = attempt.elapsedMs();
    double gatewayDelayMs = attempt.gatewayDelayMs();
    callBalancer(
        exchange,
        () ->
            balancer.onOutcome(
                clock.nowMs(),
                new Outcome(
                    exchange.id,
                    attempt.host(),
                    attempt.index(),
                    result,
                    elapsedMs,
                    exchange.ended,
                    report,
                    gatewayDelayMs)));
    if (cannotBeSentAgain(exchange)) {
      // In a later iteration, as the client may be the cause, which is then reported next.
      loop.execute(() -> failIfUnsendable(exchange));
    }
  }

  private void logEnd(Attempt attempt, Result result) {
    if (result != Result.OK && result != Result.CANCELLED) {
      log.detail(
          () ->
              "request %s, attempt %d at %s ended after %.0f ms as %s, %s"
                  .formatted(
                      attempt.exchange().id,
                      attempt.index(),
                      attempt.host(),
                      attempt.elapsedMs(),
                      result,
                      attempt.describeWait()));
    }
  }

  /** Whether no attempt is in flight and the streamed body was sent in part. */
  private static boolean cannotBeSentAgain(Exchange exchange) {
    return !exchange.ended
        && exchange.pendingOutcomes == 0
        && !exchange.request().body().isRepeatable();
  }

  /**
   * Fails a request that cannot be sent again. It may have no deadline yet, so the balancer could
   * wait for another host without an end.
   */
  private void failIfUnsendable(Exchange exchange) {
    if (cannotBeSentAgain(exchange)) {
      failRequest(exchange);
    }
  }

  /**
   * Answers requests whose deadline has definitely passed before any other work is done, because
   * after a stall of the event loop these have waited longest.
   */
  private void failOverdue() {
    if (!inBalancerCall) {
      timers.runDueUntil(clock.nowMs() - Exchange.MAX_RESERVE_MS);
    }
  }

  @Override
  public void onAnswerWritten(Exchange exchange, double unreadMs) {
    double lateMs = clock.nowMs() - exchange.deadlineMs;
    if (lateMs > LateAnswer.SLACK_MS) {
      double lagMs = lag.totalLagMs() - exchange.lagAtStartMs;
      LateAnswer reason =
          LateAnswer.of(
              lateMs,
              exchange.answeredAtMs - exchange.deadlineMs,
              unreadMs,
              lagMs,
              exchange.endedAsOverdue);
      meter.onLateAnswer(reason);
      log.line(
          "the answer to request %s left %.0f ms after its deadline, %s; it began %.0f ms after, "
                  .formatted(
                      exchange.id,
                      lateMs,
                      reason.description(),
                      exchange.answeredAtMs - exchange.deadlineMs)
              + "unread %.0f ms, event-loop lag %.0f ms, largest lag so far %.0f ms, attempts %d"
                  .formatted(unreadMs, lagMs, lag.maxLagMs(), exchange.attempts.size()));
    }
  }

  @Override
  public void onRequestComplete(Exchange exchange) {
    if (exchange.ended) {
      return;
    }
    exchange.complete(clock.nowMs(), lag.estimatedWaitMs(), shutdownDeadlineMs);
    updateTimeouts(exchange);
  }

  @Override
  public void onRequestMayBeComplete(Exchange exchange, double sinceMs) {
    if (exchange.ended) {
      return;
    }
    exchange.mayBeCompleteSince(sinceMs, shutdownDeadlineMs);
    updateTimeouts(exchange);
  }

  /**
   * The number of retained objects: open requests, ids that are taken, attempts in flight and
   * timers. Used by tests.
   */
  int retainedCount() {
    return exchanges.size() + ids.size() + timers.size();
  }

  @Override
  public void onClientDisconnected(Exchange exchange) {
    if (exchange.ended) {
      return;
    }
    boolean sent = exchange.attempts.stream().anyMatch(Attempt::isFullySent);
    end(exchange);
    meter.onClientDisconnected(sent);
    callBalancer(exchange, () -> balancer.onClientDisconnected(clock.nowMs(), exchange.id));
  }

  private void end(Exchange exchange) {
    pendingCount--;
    settleId(exchange);
    if (exchange.overdueTimer != null) {
      timers.remove(exchange.overdueTimer);
    }
    exchange.release();
    if (exchange.pendingOutcomes == 0) {
      exchanges.remove(exchange.id);
    }
    // Nothing more may be sent for this request; cancel what has not been written.
    for (int i = 0; i < exchange.attempts.size(); i++) {
      exchange.attempts.get(i).cancelIfLastByteUnsent();
    }
  }

  /**
   * Retains the id of a request that has run or may still run: the same request must not run again,
   * whatever became of its client and its answer. Clients use a new id for each request, also for a
   * retry.
   */
  private void settleId(Exchange exchange) {
    if (!exchange.holdsId) {
      return;
    }
    exchange.holdsId = false;
    if (exchange.mayHaveTakenEffect()) {
      ids.retain(exchange.request().txn());
    } else {
      ids.release(exchange.request().txn());
    }
  }

  private void answer(Exchange exchange, Answer answer) {
    if (!exchange.ended) {
      exchange.answeredAtMs = clock.nowMs();
      Client client = exchange.client();
      int requestClass = exchange.request().requestClass();
      logAnswer(exchange, answer);
      end(exchange);
      meter.onAnswered(requestClass, answer.outcome());
      client.answer(answer);
    }
  }

  private void logAnswer(Exchange exchange, Answer answer) {
    if (answer.outcome() != Answer.Outcome.SERVED) {
      log.detail(
          () ->
              "request %s (%s) is %s %.0f ms before its deadline, attempts %d, its connection is %s"
                  .formatted(
                      exchange.id,
                      exchange.request().txn(),
                      answer.outcome(),
                      exchange.deadlineMs - clock.nowMs(),
                      exchange.attempts.size(),
                      exchange.client().describeWait()));
    }
  }

  @Override
  public void send(String requestId, String host, double timeoutMs) {
    Exchange exchange = exchanges.get(requestId);
    double nowMs = clock.nowMs();
    if (exchange == null) {
      log.line("the balancer sent request " + requestId + " after it had ended");
      return;
    }
    Attempt attempt = new Attempt(services, this, exchange, host, repeatDeadlineMs(exchange));
    exchange.attempts.add(attempt);
    exchange.pendingOutcomes++;
    double leftMs = exchange.deadlineMs - nowMs;
    boolean canSend = !exchange.ended && leftMs > 0 && exchange.request().body().isRepeatable();
    if (!canSend || exchange.attempts.size() > settings.limits().maxAttempts()) {
      loop.execute(attempt::endNotSent);
      return;
    }
    double maxTimeoutMs = exchange.attemptTimeoutMs(nowMs);
    attempt.start(timeoutMs > 0 ? Math.min(timeoutMs, maxTimeoutMs) : maxTimeoutMs);
  }

  /**
   * Returns the time until which another attempt may be written. Hosts discard a repeated
   * idempotency key within the window of the class, counted from the first attempt that may have
   * been executed. The balancer checks this at its decision, but the connection may be established
   * much later.
   */
  private double repeatDeadlineMs(Exchange exchange) {
    double deadlineMs = Double.POSITIVE_INFINITY;
    if (!exchange.ended && exchange.request().effect() == Settings.Effect.BY_KEY) {
      int requestClass = exchange.request().requestClass();
      double windowMs = settings.classes().get(requestClass).dedupWindowMs() - settings.tickMs();
      for (Attempt earlier : exchange.attempts) {
        if (earlier.mayHaveRun()) {
          deadlineMs = Math.min(deadlineMs, earlier.startedAtMs() + windowMs);
        }
      }
    }
    return deadlineMs;
  }

  @Override
  public void reject(String requestId, double retryAfterMs) {
    Exchange exchange = exchanges.get(requestId);
    if (exchange != null) {
      answer(exchange, Answer.refused(retryAfterMs));
    }
  }

  @Override
  public void fail(String requestId) {
    Exchange exchange = exchanges.get(requestId);
    if (exchange != null) {
      answer(exchange, Answer.failed(clock.nowMs() >= exchange.attemptDeadlineMs));
    }
  }

  @Override
  public void cancel(String requestId, int attempt) {
    Exchange exchange = exchanges.get(requestId);
    if (exchange != null && attempt >= 0 && attempt < exchange.attempts.size()) {
      exchange.attempts.get(attempt).cancelAsync();
    }
  }

  @Override
  public void probe(String host) {
    new LoadProbe(services, this::onProbeEnded, host).start();
  }

  private void onProbeEnded(LoadProbe probe, Result result, String loadReport) {
    List<Double> report =
        settings.reportMode() == Settings.ReportMode.NONE
            ? List.of()
            : names.parseReport(loadReport);
    ProbeResult event = new ProbeResult(probe.host(), result, probe.elapsedMs(), report);
    callBalancer(null, () -> balancer.onProbeResult(clock.nowMs(), event));
  }

  @Override
  public void closeIdle(String host) {
    hosts.closeIdle(host);
  }

  @Override
  public void setTimer(long timer, double delayMs) {
    timers.add(
        new DeadlineQueue.Entry() {
          @Override
          void onDue() {
            callBalancer(null, () -> balancer.onTimer(clock.nowMs(), timer));
          }
        },
        delayMs);
  }

  @Override
  public void poll() {
    discovery.poll();
  }

  @Override
  public void watch(boolean on) {
    discovery.watch(on);
  }

  /**
   * Logs and drops the message: no supported deployment lets gateways communicate with each other.
   */
  @Override
  public void sendToPeer(int peer, String data) {
    log.line("dropped a message to a peer: gateways are not connected to each other");
  }

  @Override
  public void log(String line) {
    log.line(line);
  }

  /** Fails a request that the balancer has left without an answer. */
  private final class OverdueTimer extends DeadlineQueue.Entry {
    private final Exchange exchange;

    OverdueTimer(Exchange exchange) {
      this.exchange = exchange;
    }

    @Override
    void onDue() {
      log.line("request " + exchange.id + " was left without an answer");
      exchange.endedAsOverdue = true;
      failRequest(exchange);
    }
  }
}
