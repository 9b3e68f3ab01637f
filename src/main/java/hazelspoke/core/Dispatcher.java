package hazelspoke.core;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
 * Every request in hand: tells the module what happens to it and does what the module says, and
 * sees to it that each gets exactly one final answer, whatever goes wrong.
 */
public final class Dispatcher implements Actions, RequestHandler, Attempt.Listener {
  /** A request still unanswered this long after its deadline is failed here: a bug, not a rule. */
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
  private final Map<String, Exchange> exchanges = new HashMap<>();

  /** The clients' own ids of the requests that are owed an answer. */
  private final Set<String> open = new HashSet<>();

  private Discovery discovery;
  private Balancer balancer;
  private boolean deciding;
  private long taken;
  private int owed;

  /** When this process has to have answered all; infinite until it is told to end. */
  private double endsBy = Double.POSITIVE_INFINITY;

  /** One that takes at most {@code openCap} requests at a time and refuses what comes beyond. */
  public Dispatcher(
      EventLoop loop,
      Settings settings,
      Names names,
      int openCap,
      Clock clock,
      Log log,
      HostTransport hosts,
      Meter meter) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.settings = settings;
    this.names = names;
    this.openCap = openCap;
    this.hosts = hosts;
    this.meter = meter;
    lag = new LoopLag(loop, clock);
    timers = new Timers(loop, clock);
    violations = new Violations(log, meter);
    services =
        new CoreServices(loop, clock, hosts, timers, lag, meter, new SendGuard(clock, violations));
  }

  /** Where whatever must not happen is counted. */
  public Violations violations() {
    return violations;
  }

  public void start(Balancer module, Discovery client) {
    balancer = module;
    discovery = client;
  }

  /**
   * Hands the module one event. It is not made for being called from within its own actions, so
   * what follows from one at once waits for its turn; and if it fails, nobody waits for ever.
   */
  private void decide(Exchange concerned, Runnable event) {
    if (deciding) {
      loop.execute(() -> decide(concerned, event));
      return;
    }
    deciding = true;
    boolean failed = false;
    try {
      event.run();
    } catch (RuntimeException e) {
      log.failure("the module failed", e);
      failed = true;
    } finally {
      deciding = false;
    }
    if (failed && concerned != null) {
      abandon(concerned);
    }
  }

  /**
   * This process ends: whatever is in hand and whatever still comes has to be answered by then, and
   * no host is told that it has longer.
   */
  public void setShutdownDeadline(double byMs) {
    endsBy = byMs;
    for (Exchange x : List.copyOf(exchanges.values())) {
      if (!x.ended && byMs < x.deadline) {
        x.setShutdownDeadline(byMs);
        limit(x);
      }
    }
  }

  /** Sees to it that neither it nor its attempts are waited for beyond its deadline. */
  private void limit(Exchange x) {
    double now = clock.nowMs();
    timers.remove(x.overdue);
    timers.add(x.overdue, x.deadline + OVERDUE_GRACE_MS - now);
    for (Attempt attempt : x.attempts) {
      attempt.limit(x.patienceMs(now));
    }
  }

  /** Fails all that is in hand: this process ends before they could be answered otherwise. */
  public void failAll() {
    List<Exchange> left = exchanges.values().stream().filter(x -> !x.ended).toList();
    if (!left.isEmpty()) {
      log.line("leaving with requests in hand, failed: " + left.size());
      left.forEach(this::abandon);
    }
  }

  /** Fails a request that the module has lost track of. */
  private void abandon(Exchange x) {
    if (!x.ended) {
      answer(x, Answer.failed(false));
      decide(null, () -> balancer.onClientDisconnected(clock.nowMs(), x.id));
      List.copyOf(x.attempts).forEach(Attempt::cancel);
    }
  }

  public void onMembers(MembersUpdate.Kind kind, HostList.Update update) {
    List<HostEntry> entries = new ArrayList<>();
    List<HostEntry> gone = new ArrayList<>();
    for (HostList.Listed host : update.hosts()) {
      HostEntry entry = host.entry();
      entries.add(entry);
      if (entry.availability() == Availability.GONE) {
        hosts.remove(entry.host());
      } else if (host.address() != null) {
        HostEntry displaced = hosts.setAddress(entry, host.address());
        if (displaced != null) {
          gone.add(displaced);
        }
      }
    }
    // Its address has another host now, whatever the list says of it yet.
    gone.forEach(entry -> entries.add(entry.withAvailability(Availability.GONE)));
    if (kind == MembersUpdate.Kind.FULL) {
      hosts.retainOnly(entries.stream().map(HostEntry::host).collect(Collectors.toSet()));
    }
    MembersUpdate news = new MembersUpdate(kind, update.version(), entries);
    decide(null, () -> balancer.onMembers(clock.nowMs(), news));
    if (kind.hasEntries()) {
      cancelAtDraining(kind, entries);
    }
  }

  /**
   * Cancels what waits for its turn or for a connection to a host that drains or is gone: the
   * connection may come up after the grace, and the request can go elsewhere now.
   */
  private void cancelAtDraining(MembersUpdate.Kind kind, List<HostEntry> entries) {
    Set<String> up = new HashSet<>();
    Set<String> named = new HashSet<>();
    for (HostEntry entry : entries) {
      named.add(entry.host());
      if (entry.availability() == Availability.UP) {
        up.add(entry.host());
      }
    }
    boolean changes = kind == MembersUpdate.Kind.DELTA;
    if (changes && up.size() == named.size()) {
      return;
    }
    for (Exchange x : List.copyOf(exchanges.values())) {
      for (Attempt a : List.copyOf(x.attempts)) {
        if (!up.contains(a.host()) && (!changes || named.contains(a.host()))) {
          a.cancelIfNotBegun();
        }
      }
    }
  }

  /** Other settings are in force; see {@link Balancer#onSettings}. */
  public void onSettings(Settings next) {
    settings = next;
    decide(null, () -> balancer.onSettings(clock.nowMs(), next));
  }

  /** A call to discovery failed; whether because nothing was heard. */
  public void onDiscoveryFailed(boolean silent) {
    MembersUpdate.Kind kind = silent ? MembersUpdate.Kind.SILENT : MembersUpdate.Kind.FAILED;
    onMembers(kind, new HostList.Update(false, 0, List.of()));
  }

  @Override
  public boolean isOpen(String txn) {
    return open.contains(txn);
  }

  @Override
  public void onRequest(Exchange x) {
    answerOverdue();
    double now = clock.nowMs();
    x.lostBefore = lag.lostMs();
    RequestInfo info = x.accept(Long.toString(taken++), now, lag.waitedMs(), endsBy);
    owed++;
    meter.onAccepted();
    if (owed > openCap) {
      answer(x, Answer.refused(0));
      return;
    }
    exchanges.put(x.id, x);
    open.add(x.request().txn());
    x.overdue = new Overdue(x);
    if (x.deadline < Double.POSITIVE_INFINITY) {
      timers.add(x.overdue, x.deadline + OVERDUE_GRACE_MS - now);
    }
    decide(x, () -> balancer.onRequest(clock.nowMs(), info));
  }

  @Override
  public void onHostAnswer(Exchange x, Answer answer) {
    answerOverdue();
    if (x.ended) {
      answer.share().release();
      answer.body().abandon();
    } else {
      answer(x, answer);
    }
  }

  @Override
  public void onAttemptEnded(Attempt attempt, Result result, String loadReport) {
    Exchange x = attempt.exchange();
    x.out--;
    if (x.ended && x.out == 0) {
      exchanges.remove(x.id);
    }
    List<Double> report =
        settings.reportMode() == Settings.ReportMode.WITH_ANSWERS
            ? names.parseReport(loadReport)
            : List.of();
    double elapsedMs = attempt.elapsedMs();
    double ownMs = attempt.ownMs();
    decide(
        x,
        () ->
            balancer.onOutcome(
                clock.nowMs(),
                new Outcome(
                    x.id,
                    attempt.host(),
                    attempt.number(),
                    result,
                    elapsedMs,
                    x.ended,
                    report,
                    ownMs)));
  }

  /**
   * Whose client's time is over for certain is answered before anything is done for others: where
   * the loop stood still, that is owed longest.
   */
  private void answerOverdue() {
    if (!deciding) {
      timers.runDueBy(clock.nowMs() - Exchange.MOST_SPARE_MS);
    }
  }

  @Override
  public void onAnswerWritten(Exchange x) {
    double lateMs = clock.nowMs() - x.deadline;
    if (lateMs > LateAnswer.SLACK_MS) {
      double lostMs = lag.lostMs() - x.lostBefore;
      LateAnswer why = LateAnswer.of(lateMs, x.decidedAt - x.deadline, lostMs, x.leftOpen);
      meter.onLateAnswer(why);
      log.line(
          "the answer to request %s left %.0f ms after its deadline, %s; lost here %.0f ms, "
                  .formatted(x.id, lateMs, why.description(), lostMs)
              + "the longest turn ever %.0f ms, attempts %d"
                  .formatted(lag.longestMs(), x.attempts.size()));
    }
  }

  @Override
  public void onRequestComplete(Exchange x) {
    if (x.ended) {
      return;
    }
    x.complete(clock.nowMs(), lag.waitedMs(), endsBy);
    limit(x);
  }

  /** What is kept of requests: those in hand, attempts still out, and what is to become due. */
  int retainedCount() {
    return exchanges.size() + open.size() + timers.size();
  }

  @Override
  public void onClientDisconnected(Exchange x) {
    if (x.ended) {
      return;
    }
    boolean sent = x.attempts.stream().anyMatch(Attempt::wasSent);
    end(x);
    meter.onClientDisconnected(sent);
    decide(x, () -> balancer.onClientDisconnected(clock.nowMs(), x.id));
  }

  private void end(Exchange x) {
    owed--;
    open.remove(x.request().txn());
    if (x.overdue != null) {
      timers.remove(x.overdue);
    }
    x.letGo();
    if (x.out == 0) {
      exchanges.remove(x.id);
    }
    // Nothing more goes out for it: what has not been written by now must not be.
    for (int i = 0; i < x.attempts.size(); i++) {
      x.attempts.get(i).cancelIfNotSent();
    }
  }

  private void answer(Exchange x, Answer answer) {
    if (!x.ended) {
      x.decidedAt = clock.nowMs();
      Client client = x.client();
      int requestClass = x.request().requestClass();
      end(x);
      meter.onAnswered(requestClass, answer.outcome());
      client.answer(answer);
    }
  }

  @Override
  public void send(String requestId, String host, double timeoutMs) {
    Exchange x = exchanges.get(requestId);
    double now = clock.nowMs();
    if (x == null) {
      log.line("the module sent request " + requestId + " after its end");
      return;
    }
    Attempt attempt = new Attempt(services, this, x, host, repeatBy(x));
    x.attempts.add(attempt);
    x.out++;
    double leftMs = x.deadline - now;
    boolean mayGo = !x.ended && leftMs > 0 && x.request().body().isRepeatable();
    if (!mayGo || x.attempts.size() > settings.limits().maxAttempts()) {
      loop.execute(attempt::endUnsent);
      return;
    }
    double mostMs = x.patienceMs(now);
    attempt.start(timeoutMs > 0 ? Math.min(timeoutMs, mostMs) : mostMs);
  }

  /**
   * Until when one more attempt may be written: hosts drop the repeat of a request with a key for
   * as long as the window of its class, counted from the first that may have run. The module sees
   * to it at its decision, and the connection may come up much later.
   */
  private double repeatBy(Exchange x) {
    double by = Double.POSITIVE_INFINITY;
    if (!x.ended && x.request().effect() == Settings.Effect.BY_KEY) {
      int c = x.request().requestClass();
      double windowMs = settings.classes().get(c).dedupWindowMs() - settings.tickMs();
      for (Attempt earlier : x.attempts) {
        if (earlier.mayRun()) {
          by = Math.min(by, earlier.startedAt() + windowMs);
        }
      }
    }
    return by;
  }

  @Override
  public void reject(String requestId, double retryAfterMs) {
    Exchange x = exchanges.get(requestId);
    if (x != null) {
      answer(x, Answer.refused(retryAfterMs));
    }
  }

  @Override
  public void fail(String requestId) {
    Exchange x = exchanges.get(requestId);
    if (x != null) {
      answer(x, Answer.failed(clock.nowMs() >= x.answerBy));
    }
  }

  @Override
  public void cancel(String requestId, int attempt) {
    Exchange x = exchanges.get(requestId);
    if (x != null && attempt >= 0 && attempt < x.attempts.size()) {
      x.attempts.get(attempt).cancelSoon();
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
    ProbeResult news = new ProbeResult(probe.host(), result, probe.elapsedMs(), report);
    decide(null, () -> balancer.onProbeResult(clock.nowMs(), news));
  }

  @Override
  public void closeIdle(String host) {
    hosts.closeIdle(host);
  }

  @Override
  public void setTimer(long timer, double delayMs) {
    timers.add(
        new Deadlines.Entry() {
          @Override
          void due() {
            decide(null, () -> balancer.onTimer(clock.nowMs(), timer));
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

  /** No site that this gateway is built for lets gateways talk to one another. */
  @Override
  public void sendToPeer(int peer, String data) {
    log.line("a message to a peer was dropped: there is no way to one");
  }

  @Override
  public void log(String line) {
    log.line(line);
  }

  /** A request that the module has left without an answer. */
  private final class Overdue extends Deadlines.Entry {
    private final Exchange x;

    Overdue(Exchange x) {
      this.x = x;
    }

    @Override
    void due() {
      log.line("request " + x.id + " was left without an answer");
      x.leftOpen = true;
      abandon(x);
    }
  }
}
